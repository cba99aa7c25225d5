#include "Emulator/EngineEmulator.h"

#include "EngineFixture.h"

namespace bulrushfold {

using Json = nlohmann::json;

TEST_CASE("an engine refuses work that it cannot accept")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  EngineEmulatorSettings decode = FastSettings(EngineRole::Decode);

  // Guards against allocating more memory than the engine has.
  SUBCASE("no memory for a prompt")
  {
    prefill.mPieces = 3;
    Engines engines(prefill, decode);
    const std::string prompt(4 * kTokensPerPiece * 2, 'x');
    CHECK(Json::parse(engines.Prefill(Work("a"), prompt).mBody)["pieces"] == 2);
    const HttpCallReply refused = engines.Prefill(Work("b"), prompt);
    CHECK(refused.mStatus == 503);
    CHECK(ProblemCodeOf(refused) == "no_memory");
    CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 2);
  }
  // Guards against losing a prefill result when its import is refused.
  SUBCASE("no memory for an import; the source engine keeps the KV cache")
  {
    decode.mPieces = 0;
    Engines engines(prefill, decode);
    const auto kv = Json::parse(engines.Prefill(Work("a")).mBody)["kv"];
    CHECK(ProblemCodeOf(engines.Transfer(Work("a"), kv)) == "no_memory");
    REQUIRE(engines.Until([&] {
      return engines.Count(engines.mPrefillAddress, "exports_broken") == 1;
    }));
    CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 1);
  }
  SUBCASE("no memory for the answer, and no slot")
  {
    Engines engines(prefill, decode);
    const std::string kv = engines.Prepare(Work("a"));
    const auto large = engines.Decode(Work("a"), kv, 11 * kTokensPerPiece);
    REQUIRE(engines.Until([&] { return large->mIsOver; }));
    CHECK(large->mReply.mStatus == 503);
    const auto first = engines.Decode(Work("a"), kv, 10'000);
    const auto second =
      engines.Decode(Work("b"), engines.Prepare(Work("b")), 1000);
    REQUIRE(engines.Until([&] { return !second->mEvents.empty(); }));
    const auto third =
      engines.Decode(Work("c"), engines.Prepare(Work("c")), 1000);
    REQUIRE(engines.Until([&] { return third->mIsOver; }));
    CHECK(third->mBody.find("no_slot") != std::string::npos);
    // The 10,000 tokens of "a" need 6 pieces; "b" and "c" need one piece each.
    CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 8);
    for (const char* it : { "a", "b", "c" }) {
      CHECK(engines.Cancel(engines.mDecodeAddress, Work(it, 0)) == 1);
    }
    CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 0);
  }
  SUBCASE("a transfer that stalls")
  {
    Engines engines(prefill, decode);
    engines.mCaller.Post(
      engines.mPrefillAddress, "/faults", { { "stall_transfers", true } });
    const auto kv = Json::parse(engines.Prefill(Work("a")).mBody)["kv"];
    const HttpCallReply stalled = engines.Transfer(Work("a"), kv);
    CHECK(stalled.mStatus == 504);
    CHECK(ProblemCodeOf(stalled) == "stalled");
    CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 0);
  }
  SUBCASE("another role, an unknown model or a fault")
  {
    Engines engines(prefill, decode);
    CHECK(ProblemCodeOf(engines.Prefill(Work("a"), kPrompt, "x")) ==
          "unknown_model");
    Json body = Work("a");
    body["model"] = "m";
    body["prompt"] = "p";
    body["max_tokens"] = 1;
    CHECK(ProblemCodeOf(engines.mCaller.Post(
            engines.mDecodeAddress, "/engine/prefill", body)) == "wrong_role");
    engines.mCaller.Post(
      engines.mPrefillAddress, "/faults", { { "refuse", true } });
    CHECK(ProblemCodeOf(engines.Prefill(Work("a"))) == "no_memory");
  }
}

TEST_CASE("an engine executes orders")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  prefill.mRoleChangeTime = std::chrono::milliseconds(5);
  prefill.mWeightBytes = 5;
  prefill.mWeightBytesPerSecond = 1000;
  prefill.mChecksFencing = true;
  EngineEmulatorSettings decode = FastSettings(EngineRole::Both);
  // At this rate a model load does not end within the test.
  decode.mWeightBytesPerSecond = 1;
  Engines engines(prefill, decode);
  const auto order = [&](const SocketAddress& aAddress, const Json& aOrder) {
    return engines.mCaller.Post(aAddress, "/engine/order", aOrder);
  };
  const auto load = [&](const char* aKey) {
    return engines.mCaller.Get(engines.mPrefillAddress, "/engine/load")[aKey];
  };

  // Guards against a daemon that has lost the lease and still changes an
  // engine.
  SUBCASE("and refuses old fencing numbers only if it checks them")
  {
    const Json high = { { "order", "drain" }, { "fencing", 7 } };
    const Json low = { { "order", "resume" }, { "fencing", 6 } };
    CHECK(order(engines.mPrefillAddress, high).mStatus == 200);
    const HttpCallReply stale = order(engines.mPrefillAddress, low);
    CHECK(stale.mStatus == 412);
    CHECK(Json::parse(stale.mBody)["highest"] == 7);
    CHECK(ProblemCodeOf(engines.Prefill(Work("a"))) == "draining");
    CHECK(order(engines.mDecodeAddress, high).mStatus == 200);
    CHECK(order(engines.mDecodeAddress, low).mStatus == 200);
  }
  // Guards against a drain that interrupts work in progress.
  SUBCASE("and decodes the KV caches that it has while it drains")
  {
    const std::string kv = engines.Prepare(Work("a"));
    order(engines.mDecodeAddress, { { "order", "drain" } });
    const auto answer = engines.Decode(Work("a"), kv, 5);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->Text() == ExpectedText(0, 5));
    const auto next = Json::parse(engines.Prefill(Work("b")).mBody)["kv"];
    CHECK(ProblemCodeOf(engines.Transfer(Work("b"), next)) == "draining");
  }
  SUBCASE("and changes its role after some time")
  {
    order(engines.mPrefillAddress, { { "order", "role" }, { "role", "both" } });
    CHECK(engines.Until([&] { return load("role") == "both"; }));
  }
  SUBCASE("and loads one model after the other")
  {
    order(engines.mPrefillAddress,
          { { "order", "load_model" }, { "model", "n" } });
    order(engines.mPrefillAddress,
          { { "order", "load_model" }, { "model", "n" }, { "adapter", "x" } });
    order(engines.mDecodeAddress,
          { { "order", "load_model" }, { "model", "n" } });
    Json body = Work("a");
    body["model"] = "n";
    body["prompt"] = "p";
    body["max_tokens"] = 1;
    CHECK(ProblemCodeOf(engines.mCaller.Post(engines.mDecodeAddress,
                                             "/engine/prefill",
                                             body)) == "unknown_model");
    const Json expected = { "m", "n", "n:x" };
    CHECK(engines.Until([&] { return load("models") == expected; }));
    CHECK(engines.Prefill(Work("a"), kPrompt, "n").mStatus == 200);
  }
  SUBCASE("and rejects unknown and incomplete orders")
  {
    CHECK(order(engines.mPrefillAddress, { { "order", "dance" } }).mStatus ==
          400);
    CHECK(order(engines.mPrefillAddress, { { "fencing", 1 } }).mStatus == 400);
  }
}

TEST_CASE("an engine caches prompt prefixes and reports them as events")
{
  Engines engines;
  const std::string prompt(5 * kPrefixBlockBytes, 'x');
  CHECK(Json::parse(
          engines.Prefill(Work("a"), prompt).mBody)["cached_tokens"] == 0);
  CHECK(Json::parse(
          engines.Prefill(Work("b"), prompt + "y").mBody)["cached_tokens"] ==
        5 * kPrefixBlockBytes / 4);
  const Json events =
    engines.mCaller.Get(engines.mPrefillAddress, "/engine/events?from=1");
  REQUIRE(events["events"].size() == 5);
  // The cache stores the longest prefix first.
  CHECK(events["events"][0]["tokens"] == 5 * kPrefixBlockBytes / 4);
  CHECK(events["events"][4]["tokens"] == kPrefixBlockBytes / 4);
  CHECK(events["next"] == 6);
  CHECK(engines.mCaller
          .Get(engines.mPrefillAddress, "/engine/events?from=6")["events"]
          .empty());
}

} // namespace bulrushfold
