#include "Emulator/EngineEmulator.h"

#include "EngineFixture.h"

namespace bulrushfold {

using Json = nlohmann::json;

// Guards against tokens that differ from the definition in docs/interfaces.md,
// which the load tool checks.
TEST_CASE("engines prefill, transfer and decode")
{
  Engines engines;
  const Json work = Work("r");
  const std::string kv = engines.Prepare(work);
  CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 0);
  CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 1);
  const auto answer = engines.Decode(work, kv, 5);
  REQUIRE(engines.Until([&] { return answer->mIsOver; }));
  CHECK(answer->Text() == ExpectedText(0, 5));
  CHECK(answer->mEvents.front().mId == "0");
  CHECK(Json::parse(answer->mEvents.back().mData) ==
        Json{ { "finish", "length" }, { "tokens", 5 } });
  CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 0);
  CHECK(answer->mReply.mHeaders.Find("Incarnation").value_or("") ==
        engines.mCaller.Get(engines.mDecodeAddress,
                            "/engine/status")["incarnation"]);
  const auto holdings =
    engines.mCaller.Get(engines.mDecodeAddress, "/engine/holdings")["holdings"];
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

  // Guards against missing or repeated tokens in a resumed stream.
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
  // Guards against a silence fault that ends without a command or affects new
  // connections.
  SUBCASE("after all open connections became silent")
  {
    engines.mCaller.Post(
      engines.mDecodeAddress, "/faults", { { "silent", true } });
    const std::size_t received = first->mEvents.size();
    const auto next = [&]() -> std::size_t {
      return engines.mCaller.Get(engines.mDecodeAddress,
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

TEST_CASE("an engine frees unused results and streams after a timeout")
{
  EngineEmulatorSettings prefill = FastSettings(EngineRole::Prefill);
  EngineEmulatorSettings decode = FastSettings(EngineRole::Decode);
  const Json work = Work("r");

  // Guards against unused prefill results that occupy memory for ever.
  SUBCASE("a prefill result that is not transferred is evicted")
  {
    prefill.mEvictionTime = std::chrono::milliseconds(10);
    Engines engines(prefill, decode);
    const HttpCallReply reply = engines.Prefill(work);
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mPrefillAddress) == 0; }));
    CHECK(engines.Count(engines.mPrefillAddress, "evictions") == 1);
    const HttpCallReply late =
      engines.Transfer(work, Json::parse(reply.mBody)["kv"]);
    CHECK(late.mStatus == 410);
    CHECK(ProblemCodeOf(late) == "evicted");
    CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 0);
  }
  SUBCASE("an import that is not decoded is evicted")
  {
    decode.mEvictionTime = std::chrono::milliseconds(10);
    Engines engines(prefill, decode);
    const std::string kv = engines.Prepare(work);
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mDecodeAddress) == 0; }));
    const auto answer = engines.Decode(work, kv, 5);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->mReply.mStatus == 410);
  }
  SUBCASE("a stream without a connection ends after the resume timeout")
  {
    decode.mResumeTimeout = std::chrono::milliseconds(10);
    Engines engines(prefill, decode);
    auto answer = engines.Decode(work, engines.Prepare(work), 15'000);
    REQUIRE(engines.Until([&] { return !answer->mEvents.empty(); }));
    answer.reset();
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mDecodeAddress) == 0; }));
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

  // Guards against work that starts although its cancel arrived first.
  SUBCASE("before the work arrives")
  {
    Engines engines;
    CHECK(engines.Cancel(engines.mPrefillAddress, all) == 0);
    CHECK(engines.Cancel(engines.mDecodeAddress, work) == 0);
    CHECK(ProblemCodeOf(engines.Prefill(work)) == "cancelled");
    CHECK(engines.Prefill(Work("r", 2)).mStatus == 409);
    CHECK(ProblemCodeOf(engines.Transfer(work, "kv1")) == "cancelled");
    const auto answer = engines.Decode(work, "kv1", 5);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->mReply.mStatus == 409);
    CHECK(engines.Prefill(Work("other")).mStatus == 200);
  }
  // Guards against a cancel of one attempt that also ends the next attempt.
  SUBCASE("of one attempt only")
  {
    Engines engines;
    engines.Prefill(Work("r", 1));
    engines.Prefill(Work("r", 2));
    CHECK(engines.Cancel(engines.mPrefillAddress, Work("r", 1)) == 1);
    CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 1);
    CHECK(engines.Cancel(engines.mPrefillAddress, Work("r", 2)) == 1);
    CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 0);
    CHECK(engines.Cancel(engines.mPrefillAddress, Work("r", 2)) == 0);
  }
  SUBCASE("during its prefill, and the next prefill starts")
  {
    prefill.mPrefillTokensPerSecond = 1e-3;
    Engines engines(prefill);
    Json body = work;
    body["model"] = "m";
    body["prompt"] = kPrompt;
    body["max_tokens"] = 10;
    const auto running = engines.mCaller.Stream(engines.mPrefillAddress,
                                                HttpMethod::Post,
                                                "/engine/prefill",
                                                body.dump());
    body["request"] = "waiting";
    const auto waiting = engines.mCaller.Stream(engines.mPrefillAddress,
                                                HttpMethod::Post,
                                                "/engine/prefill",
                                                body.dump());
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mPrefillAddress) == 2; }));
    CHECK(engines.Cancel(engines.mPrefillAddress, all) == 1);
    REQUIRE(engines.Until([&] { return running->mIsOver; }));
    CHECK(running->mReply.mStatus == 409);
    CHECK(engines.Cancel(engines.mPrefillAddress, Work("waiting")) == 1);
    CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 0);
  }
  SUBCASE("during its transfer")
  {
    Engines engines;
    const auto kv = Json::parse(engines.Prefill(work).mBody)["kv"];
    engines.mCaller.Post(
      engines.mPrefillAddress, "/faults", { { "stall_transfers", true } });
    Json body = work;
    body["source"] = FormatAddress(engines.mPrefillAddress);
    body["kv"] = kv;
    const auto transfer = engines.mCaller.Stream(engines.mDecodeAddress,
                                                 HttpMethod::Post,
                                                 "/engine/transfer",
                                                 body.dump());
    REQUIRE(engines.Until(
      [&] { return engines.PiecesUsed(engines.mDecodeAddress) == 1; }));
    CHECK(engines.Cancel(engines.mDecodeAddress, all) == 1);
    CHECK(engines.Cancel(engines.mPrefillAddress, all) == 1);
    REQUIRE(engines.Until([&] { return transfer->mIsOver; }));
    CHECK(transfer->mReply.mStatus == 409);
    CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 0);
    CHECK(engines.PiecesUsed(engines.mPrefillAddress) == 0);
  }
  SUBCASE("during its decode")
  {
    Engines engines;
    const auto answer = engines.Decode(work, engines.Prepare(work), 15'000);
    REQUIRE(engines.Until([&] { return answer->mEvents.size() > 3; }));
    CHECK(engines.Cancel(engines.mDecodeAddress, work) == 1);
    CHECK(engines.PiecesUsed(engines.mDecodeAddress) == 0);
    CHECK(engines.mCaller.Get(engines.mDecodeAddress, "/stats")["running"] ==
          0);
    REQUIRE(engines.Until([&] { return answer->mIsOver; }));
    CHECK(answer->mReply.mResult == HttpCallResult::ConnectionLost);
  }
}

// Guards against a crash fault that has no effect.
TEST_CASE("an engine crashes on a prompt with the crash marker")
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
