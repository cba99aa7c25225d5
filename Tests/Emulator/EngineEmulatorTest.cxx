#include "Emulator/EngineEmulator.h"

#include "Emulator/TokenSource.h"
#include "EmulatorFixture.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

const std::string kPrompt = "a prompt of some length";

EngineEmulatorSettings
FastSettings(EngineRole aRole)
{
  EngineEmulatorSettings settings;
  settings.mAddress = FreeAddress();
  settings.mRole = aRole;
  settings.mModels = { "m" };
  settings.mSlots = 2;
  settings.mPieces = 10;
  settings.mPrefillTokensPerSecond = 1e6;
  settings.mTokenInterval = std::chrono::milliseconds(1);
  // Long enough for each test that does not wait for an eviction.
  settings.mEvictionTime = std::chrono::seconds(60);
  settings.mResumeTime = std::chrono::seconds(60);
  settings.mStallTime = std::chrono::milliseconds(100);
  settings.mLoadInterval = std::chrono::milliseconds(10);
  settings.mEventLag = Duration(0);
  settings.mEventGap = 0;
  return settings;
}

Json
Work(const std::string& aRequest, std::uint64_t aAttempt = 1)
{
  return { { "request", aRequest },
           { "attempt", aAttempt },
           { "owner", "daemon/1" } };
}

std::string
ExpectedText(std::uint64_t aFrom, std::uint64_t aTo)
{
  TokenSource source("m", kPrompt);
  std::string text;
  for (std::uint64_t i = aFrom; i < aTo; ++i) {
    text += source.Token(i);
  }
  return text;
}

/** Two engines and the calls that a router makes to them. */
struct Engines
{
  explicit Engines(
    const EngineEmulatorSettings& aPrefill = FastSettings(EngineRole::Prefill),
    const EngineEmulatorSettings& aDecode = FastSettings(EngineRole::Decode))
    : mPrefillAt(aPrefill.mAddress)
    , mDecodeAt(aDecode.mAddress)
    , mPrefill(mLoop, mClock, mRandom, aPrefill, [this] { ++mCrashes; })
    , mDecode(mLoop, mClock, mRandom, aDecode, [this] { ++mCrashes; })
    , mCaller(mLoop)
  {
    REQUIRE(mPrefill.Listen().ok());
    REQUIRE(mDecode.Listen().ok());
  }

  HttpCallReply Prefill(Json aWork,
                        const std::string& aPrompt = kPrompt,
                        const std::string& aModel = "m")
  {
    aWork["model"] = aModel;
    aWork["prompt"] = aPrompt;
    aWork["max_tokens"] = 10;
    return mCaller.Post(mPrefillAt, "/engine/prefill", aWork);
  }
  HttpCallReply Transfer(Json aWork, const std::string& aKv)
  {
    aWork["source"] = FormatAddress(mPrefillAt);
    aWork["kv"] = aKv;
    return mCaller.Post(mDecodeAt, "/engine/transfer", aWork);
  }
  std::unique_ptr<StreamedAnswer> Decode(Json aWork,
                                         const std::string& aKv,
                                         std::uint64_t aMaxTokens,
                                         std::uint64_t aOffset = 0)
  {
    aWork["kv"] = aKv;
    aWork["max_tokens"] = aMaxTokens;
    aWork["offset"] = aOffset;
    return mCaller.Stream(
      mDecodeAt, HttpMethod::Post, "/engine/decode", aWork.dump());
  }
  /** Prefill and transfer; returns the handle at the decode engine. */
  std::string Prepare(const Json& aWork)
  {
    const HttpCallReply prefill = Prefill(aWork);
    REQUIRE(prefill.mStatus == 200);
    const HttpCallReply transfer =
      Transfer(aWork, Json::parse(prefill.mBody)["kv"]);
    REQUIRE(transfer.mStatus == 200);
    return Json::parse(transfer.mBody)["kv"];
  }
  std::uint64_t PiecesUsed(const SocketAddress& aAddress)
  {
    return mCaller.Get(aAddress, "/stats")["pieces_used"];
  }
  std::uint64_t Count(const SocketAddress& aAddress, const std::string& aName)
  {
    return mCaller.Get(aAddress, "/stats")["calls"].value(aName, 0);
  }
  std::uint64_t Cancel(const SocketAddress& aAddress, const Json& aWork)
  {
    const auto reply = mCaller.Post(aAddress, "/engine/cancel", aWork);
    REQUIRE(reply.mStatus == 200);
    return Json::parse(reply.mBody)["cancelled"];
  }
  bool Until(const std::function<bool()>& aCondition)
  {
    return Eventually(mLoop, aCondition);
  }

  EventLoop mLoop;
  SystemClock mClock;
  Random mRandom{ 1 };
  int mCrashes = 0;
  SocketAddress mPrefillAt;
  SocketAddress mDecodeAt;
  EngineEmulator mPrefill;
  EngineEmulator mDecode;
  TestCaller mCaller;
};

} // namespace

// Guards against tokens that differ from the definition that callers check.
TEST_CASE("engines prefill, transfer and decode")
{
  Engines engines;
  const Json work = Work("r");
  const std::string kv = engines.Prepare(work);
  CHECK(engines.PiecesUsed(engines.mPrefillAt) == 0);
  CHECK(engines.PiecesUsed(engines.mDecodeAt) == 1);
  const auto answer = engines.Decode(work, kv, 5);
  REQUIRE(engines.Until([&] { return answer->mIsOver; }));
  CHECK(answer->Text() == ExpectedText(0, 5));
  CHECK(answer->mEvents.front().mId == "0");
  CHECK(Json::parse(answer->mEvents.back().mData) ==
        Json{ { "finish", "length" }, { "tokens", 5 } });
  CHECK(engines.PiecesUsed(engines.mDecodeAt) == 0);
  CHECK(
    answer->mReply.mHeaders.Find("Incarnation").value_or("") ==
    engines.mCaller.Get(engines.mDecodeAt, "/engine/status")["incarnation"]);
  const auto holdings =
    engines.mCaller.Get(engines.mDecodeAt, "/engine/holdings")["holdings"];
  REQUIRE(holdings.size() == 1);
  CHECK(holdings[0]["state"] == "finished");
  CHECK(holdings[0]["owner"] == "daemon/1");
}

TEST_CASE("an engine resumes a stream at an offset")
{
  Engines engines;
  const Json work = Work("r");
  const std::string kv = engines.Prepare(work);
  auto first = engines.Decode(work, kv, 200);
  REQUIRE(engines.Until([&] { return first->mEvents.size() >= 10; }));

  // Guards against a resumed stream with a gap or with repeated tokens.
  SUBCASE("after the connection was lost")
  {
    first.reset();
    const auto second = engines.Decode(work, "", 200, 7);
    REQUIRE(engines.Until([&] { return second->mIsOver; }));
    CHECK(second->Text() == ExpectedText(7, 200));
  }
  SUBCASE("while the old connection is still open, which is closed")
  {
    const auto second = engines.Decode(work, kv, 200, 3);
    REQUIRE(engines.Until([&] { return second->mIsOver && first->mIsOver; }));
    CHECK(second->Text() == ExpectedText(3, 200));
    CHECK(first->mReply.mResult == HttpCallResult::ConnectionLost);
  }
  SUBCASE("after the stream has ended")
  {
    REQUIRE(engines.Until([&] { return first->mIsOver; }));
    const auto second = engines.Decode(work, "", 200, 150);
    REQUIRE(engines.Until([&] { return second->mIsOver; }));
    CHECK(second->Text() == ExpectedText(150, 200));
  }
  // Guards against silence that ends by itself or that affects new
  // connections.
  SUBCASE("when all open connections went silent")
  {
    engines.mCaller.Post(engines.mDecodeAt, "/faults", { { "silent", true } });
    const std::size_t received = first->mEvents.size();
    const auto next = [&]() -> std::size_t {
      return engines.mCaller.Get(engines.mDecodeAt,
                                 "/engine/status")["streams"][0]["next_offset"];
    };
    const std::size_t before = next();
    REQUIRE(engines.Until([&] { return next() > before + 20; }));
    CHECK(first->mEvents.size() <= received + 1);
    CHECK_FALSE(first->mIsOver);
    const auto second = engines.Decode(work, "", 200, received);
    REQUIRE(engines.Until([&] { return second->mIsOver; }));
    CHECK(second->Text() == ExpectedText(received, 200));
    CHECK_FALSE(first->mIsOver);
  }
}

TEST_CASE("an engine ends what nobody wants")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  EngineEmulatorSettings decode = FastSettings(EngineRole::Decode);
  const Json work = Work("r");

  // Guards against wasted prefills that keep their memory.
  SUBCASE("a prefill that no transfer took is evicted")
  {
    prefill.mEvictionTime = std::chrono::milliseconds(10);
    Engines engines(prefill, decode);
    const HttpCallReply reply = engines.Prefill(work);
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mPrefillAt) == 0; }));
    CHECK(engines.Count(engines.mPrefillAt, "evictions") == 1);
    const HttpCallReply late =
      engines.Transfer(work, Json::parse(reply.mBody)["kv"]);
    CHECK(late.mStatus == 410);
    CHECK(ProblemCodeOf(late) == "evicted");
    CHECK(engines.PiecesUsed(engines.mDecodeAt) == 0);
  }
  SUBCASE("an import that no decode took is evicted")
  {
    decode.mEvictionTime = std::chrono::milliseconds(10);
    Engines engines(prefill, decode);
    const std::string kv = engines.Prepare(work);
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mDecodeAt) == 0; }));
    const auto answer = engines.Decode(work, kv, 5);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->mReply.mStatus == 410);
  }
  SUBCASE("a stream without a connection ends after its resume time")
  {
    decode.mResumeTime = std::chrono::milliseconds(10);
    Engines engines(prefill, decode);
    auto answer = engines.Decode(work, engines.Prepare(work), 15'000);
    REQUIRE(engines.Until([&] { return !answer->mEvents.empty(); }));
    answer.reset();
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mDecodeAt) == 0; }));
    const auto late = engines.Decode(work, "", 15'000, 1);
    REQUIRE(engines.Until([&] { return late->mIsOver; }));
    CHECK(late->mReply.mStatus == 404);
  }
}

TEST_CASE("an engine cancels work at every stage and frees its memory")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  const Json work = Work("r");
  const Json all = Work("r", 0);

  // Guards against work that starts after its caller was gone.
  SUBCASE("before it arrives")
  {
    Engines engines;
    CHECK(engines.Cancel(engines.mPrefillAt, all) == 0);
    CHECK(engines.Cancel(engines.mDecodeAt, work) == 0);
    CHECK(ProblemCodeOf(engines.Prefill(work)) == "cancelled");
    CHECK(engines.Prefill(Work("r", 2)).mStatus == 409);
    CHECK(ProblemCodeOf(engines.Transfer(work, "kv1")) == "cancelled");
    const auto answer = engines.Decode(work, "kv1", 5);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->mReply.mStatus == 409);
    CHECK(engines.Prefill(Work("other")).mStatus == 200);
  }
  // Guards against a cancel that also ends the attempt that replaced it.
  SUBCASE("of one attempt only")
  {
    Engines engines;
    engines.Prefill(Work("r", 1));
    engines.Prefill(Work("r", 2));
    CHECK(engines.Cancel(engines.mPrefillAt, Work("r", 1)) == 1);
    CHECK(engines.PiecesUsed(engines.mPrefillAt) == 1);
    CHECK(engines.Cancel(engines.mPrefillAt, Work("r", 2)) == 1);
    CHECK(engines.PiecesUsed(engines.mPrefillAt) == 0);
    CHECK(engines.Cancel(engines.mPrefillAt, Work("r", 2)) == 0);
  }
  SUBCASE("while it is prefilled, and the next one starts")
  {
    prefill.mPrefillTokensPerSecond = 1e-3;
    Engines engines(prefill);
    Json body = work;
    body["model"] = "m";
    body["prompt"] = kPrompt;
    body["max_tokens"] = 10;
    const auto running = engines.mCaller.Stream(
      engines.mPrefillAt, HttpMethod::Post, "/engine/prefill", body.dump());
    body["request"] = "waiting";
    const auto waiting = engines.mCaller.Stream(
      engines.mPrefillAt, HttpMethod::Post, "/engine/prefill", body.dump());
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mPrefillAt) == 2; }));
    CHECK(engines.Cancel(engines.mPrefillAt, all) == 1);
    REQUIRE(engines.Until([&] { return running->mIsOver; }));
    CHECK(running->mReply.mStatus == 409);
    CHECK(engines.Cancel(engines.mPrefillAt, Work("waiting")) == 1);
    CHECK(engines.PiecesUsed(engines.mPrefillAt) == 0);
  }
  SUBCASE("while it is transferred")
  {
    Engines engines;
    const auto kv = Json::parse(engines.Prefill(work).mBody)["kv"];
    engines.mCaller.Post(
      engines.mPrefillAt, "/faults", { { "stall_transfers", true } });
    Json body = work;
    body["source"] = FormatAddress(engines.mPrefillAt);
    body["kv"] = kv;
    const auto transfer = engines.mCaller.Stream(
      engines.mDecodeAt, HttpMethod::Post, "/engine/transfer", body.dump());
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mDecodeAt) == 1; }));
    CHECK(engines.Cancel(engines.mDecodeAt, all) == 1);
    CHECK(engines.Cancel(engines.mPrefillAt, all) == 1);
    REQUIRE(engines.Until([&] { return transfer->mIsOver; }));
    CHECK(transfer->mReply.mStatus == 409);
    CHECK(engines.PiecesUsed(engines.mDecodeAt) == 0);
    CHECK(engines.PiecesUsed(engines.mPrefillAt) == 0);
  }
  SUBCASE("while it is decoded")
  {
    Engines engines;
    const auto answer = engines.Decode(work, engines.Prepare(work), 15'000);
    REQUIRE(engines.Until([&] { return answer->mEvents.size() > 3; }));
    CHECK(engines.Cancel(engines.mDecodeAt, work) == 1);
    CHECK(engines.PiecesUsed(engines.mDecodeAt) == 0);
    CHECK(engines.mCaller.Get(engines.mDecodeAt, "/stats")["running"] == 0);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->mReply.mResult == HttpCallResult::ConnectionLost);
  }
}

TEST_CASE("an engine refuses what it has no room for")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  EngineEmulatorSettings decode = FastSettings(EngineRole::Decode);

  // Guards against admission that hands out more memory than there is.
  SUBCASE("no memory for a prompt")
  {
    prefill.mPieces = 3;
    Engines engines(prefill, decode);
    const std::string prompt(4 * kTokensPerPiece * 2, 'x');
    CHECK(Json::parse(engines.Prefill(Work("a"), prompt).mBody)["pieces"] == 2);
    const HttpCallReply refused = engines.Prefill(Work("b"), prompt);
    CHECK(refused.mStatus == 503);
    CHECK(ProblemCodeOf(refused) == "no_memory");
    CHECK(engines.PiecesUsed(engines.mPrefillAt) == 2);
  }
  // Guards against a prefill lost because its import was refused.
  SUBCASE("no memory for an import; the other engine keeps the cache")
  {
    decode.mPieces = 0;
    Engines engines(prefill, decode);
    const auto kv = Json::parse(engines.Prefill(Work("a")).mBody)["kv"];
    CHECK(ProblemCodeOf(engines.Transfer(Work("a"), kv)) == "no_memory");
    REQUIRE(engines.Until([&] {
      return engines.Count(engines.mPrefillAt, "exports_broken") == 1;
    }));
    CHECK(engines.PiecesUsed(engines.mPrefillAt) == 1);
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
    // 6 pieces for 10,000 tokens, and one for each of the others.
    CHECK(engines.PiecesUsed(engines.mDecodeAt) == 8);
    for (const char* it : { "a", "b", "c" }) {
      CHECK(engines.Cancel(engines.mDecodeAt, Work(it, 0)) == 1);
    }
    CHECK(engines.PiecesUsed(engines.mDecodeAt) == 0);
  }
  SUBCASE("a transfer that stalls")
  {
    Engines engines(prefill, decode);
    engines.mCaller.Post(
      engines.mPrefillAt, "/faults", { { "stall_transfers", true } });
    const auto kv = Json::parse(engines.Prefill(Work("a")).mBody)["kv"];
    const HttpCallReply stalled = engines.Transfer(Work("a"), kv);
    CHECK(stalled.mStatus == 504);
    CHECK(ProblemCodeOf(stalled) == "stalled");
    CHECK(engines.PiecesUsed(engines.mDecodeAt) == 0);
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
            engines.mDecodeAt, "/engine/prefill", body)) == "wrong_role");
    engines.mCaller.Post(engines.mPrefillAt, "/faults", { { "refuse", true } });
    CHECK(ProblemCodeOf(engines.Prefill(Work("a"))) == "no_memory");
  }
}

TEST_CASE("an engine obeys orders")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  prefill.mRoleChangeTime = std::chrono::milliseconds(5);
  prefill.mWeightBytes = 5;
  prefill.mWeightBytesPerSecond = 1000;
  prefill.mChecksFencing = true;
  EngineEmulatorSettings decode = FastSettings(EngineRole::Both);
  // Loads of this one never end within the test.
  decode.mWeightBytesPerSecond = 1;
  Engines engines(prefill, decode);
  const auto order = [&](const SocketAddress& aAt, const Json& aOrder) {
    return engines.mCaller.Post(aAt, "/engine/order", aOrder);
  };
  const auto load = [&](const char* aKey) {
    return engines.mCaller.Get(engines.mPrefillAt, "/engine/load")[aKey];
  };

  // Guards against a former holder of orders that still changes an engine.
  SUBCASE("and refuses old fencing numbers only if it checks them")
  {
    const Json high = { { "order", "drain" }, { "fencing", 7 } };
    const Json low = { { "order", "resume" }, { "fencing", 6 } };
    CHECK(order(engines.mPrefillAt, high).mStatus == 200);
    const HttpCallReply stale = order(engines.mPrefillAt, low);
    CHECK(stale.mStatus == 412);
    CHECK(Json::parse(stale.mBody)["highest"] == 7);
    CHECK(ProblemCodeOf(engines.Prefill(Work("a"))) == "draining");
    CHECK(order(engines.mDecodeAt, high).mStatus == 200);
    CHECK(order(engines.mDecodeAt, low).mStatus == 200);
  }
  // Guards against a drain that interrupts what is in progress.
  SUBCASE("and decodes what it holds while it drains")
  {
    const std::string kv = engines.Prepare(Work("a"));
    order(engines.mDecodeAt, { { "order", "drain" } });
    const auto answer = engines.Decode(Work("a"), kv, 5);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->Text() == ExpectedText(0, 5));
    const auto next = Json::parse(engines.Prefill(Work("b")).mBody)["kv"];
    CHECK(ProblemCodeOf(engines.Transfer(Work("b"), next)) == "draining");
  }
  SUBCASE("and changes its role after some time")
  {
    order(engines.mPrefillAt, { { "order", "role" }, { "role", "both" } });
    CHECK(engines.Until([&] { return load("role") == "both"; }));
  }
  SUBCASE("and loads one model after the other")
  {
    order(engines.mPrefillAt, { { "order", "load_model" }, { "model", "n" } });
    order(engines.mPrefillAt,
          { { "order", "load_model" }, { "model", "n" }, { "adapter", "x" } });
    order(engines.mDecodeAt, { { "order", "load_model" }, { "model", "n" } });
    Json body = Work("a");
    body["model"] = "n";
    body["prompt"] = "p";
    body["max_tokens"] = 1;
    CHECK(ProblemCodeOf(engines.mCaller.Post(
            engines.mDecodeAt, "/engine/prefill", body)) == "unknown_model");
    const Json expected = { "m", "n", "n:x" };
    CHECK(engines.Until([&] { return load("models") == expected; }));
    CHECK(engines.Prefill(Work("a"), kPrompt, "n").mStatus == 200);
  }
  SUBCASE("unless they are not known")
  {
    CHECK(order(engines.mPrefillAt, { { "order", "dance" } }).mStatus == 400);
    CHECK(order(engines.mPrefillAt, { { "fencing", 1 } }).mStatus == 400);
  }
}

TEST_CASE("an engine caches prompt prefixes and reports them late")
{
  Engines engines;
  const std::string prompt(5 * kPrefixBlockBytes, 'x');
  CHECK(Json::parse(
          engines.Prefill(Work("a"), prompt).mBody)["cached_tokens"] == 0);
  CHECK(Json::parse(
          engines.Prefill(Work("b"), prompt + "y").mBody)["cached_tokens"] ==
        5 * 256);
  const Json events =
    engines.mCaller.Get(engines.mPrefillAt, "/engine/events?from=1");
  CHECK(events["events"].size() == 5);
  CHECK(events["next"] == 6);
  CHECK(
    engines.mCaller.Get(engines.mPrefillAt, "/engine/events?from=6")["events"]
      .empty());
}

// Guards against a crash switch that never fires.
TEST_CASE("an engine crashes on the marked prompt")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  prefill.mCrashPoint = EngineCrashPoint::Prefill;
  Engines engines(prefill);
  engines.Prefill(Work("a"));
  CHECK(engines.mCrashes == 0);
  engines.Prefill(Work("b"), "please crash-engine now");
  CHECK(engines.mCrashes == 1);
}

} // namespace bulrushfold
