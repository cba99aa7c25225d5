#include "Booking/BookingRegistry.h"

#include <doctest/doctest.h>

#include "Booking/BookingLedger.h"

namespace bulrushfold {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/** Sorts the actions of the registry by kind. */
struct CollectedActions
{
  void Collect(const RegistryActions& aActions)
  {
    for (const auto& it : aActions) {
      if (const auto* answer = std::get_if<AnswerCaller>(&it)) {
        mAnswers.push_back(*answer);
      } else if (const auto* result = std::get_if<SendResult>(&it)) {
        mResults.push_back(*result);
      } else if (std::holds_alternative<SendBegin>(it)) {
        ++mBegins;
      } else {
        ++mDispatched;
      }
    }
  }

  std::vector<AnswerCaller> mAnswers;
  std::vector<SendResult> mResults;
  int mBegins = 0;
  int mDispatched = 0;
};

wire::BookingAnswer
MakeAnswer(const std::string& aBody)
{
  wire::BookingAnswer answer;
  answer.status = 200;
  answer.body = aBody;
  answer.truncated = false;
  return answer;
}

wire::BookingResultReply
ResultReply(wire::BookingResultVerdict::type aVerdict)
{
  wire::BookingResultReply reply;
  reply.verdict = aVerdict;
  return reply;
}

} // namespace

TEST_CASE("An entry daemon dispatches, answers and reports a booking")
{
  ManualClock clock;
  BookingRegistryOptions options;
  options.mHolder = "a/1";
  options.mBookings.mShards = 16;
  options.mBookings.mMaxPending = 4;
  options.mBookings.mMaxAnswerBytes = 100;
  options.mBookings.mRetention = std::chrono::hours(1);
  BookingRegistry registry(options, clock);
  CollectedActions collected;
  const auto permit = MakeBeginReply(wire::BookingVerdict::PERMIT, "");
  const auto notRun = MakeBeginReply(wire::BookingVerdict::NOT_RUN, "late");
  const auto deadline = clock.Now() + kSecond;
  collected.Collect(registry.Begin("r", "w/key", "body", deadline));
  REQUIRE(collected.mBegins == 1);

  SUBCASE("a call is dispatched once when its permit arrives twice")
  {
    collected.Collect(registry.OnBeginReply("r", permit));
    collected.Collect(registry.OnBeginReply("r", permit));
    CHECK(collected.mDispatched == 1);
    SUBCASE("a NOT_RUN verdict after the dispatch does not reach the caller")
    {
      collected.Collect(registry.OnBeginReply("r", notRun));
      CHECK(collected.mAnswers.empty());
    }
    SUBCASE("the result is sent to the owner until it is confirmed")
    {
      collected.Collect(registry.OnAnswer("r", MakeAnswer("x")));
      REQUIRE(collected.mAnswers.size() == 1);
      CHECK(collected.mAnswers[0].mOutcome == BookingOutcome::Done);
      collected.Collect(
        registry.OnResultReply("r", absl::UnavailableError("")));
      clock.Advance(kSecond);
      collected.Collect(registry.OnTimer());
      CHECK(collected.mResults.size() == 2);
      collected.Collect(registry.OnResultReply(
        "r", ResultReply(wire::BookingResultVerdict::RECORDED)));
      CHECK(registry.Size() == 0);
    }
    SUBCASE("an answer over the size limit is recorded without its body")
    {
      collected.Collect(
        registry.OnAnswer("r", MakeAnswer(std::string(101, 'x'))));
      CHECK(collected.mAnswers[0].mAnswer->body.size() == 101);
      CHECK(collected.mResults[0].mResult.answer.truncated);
      CHECK(collected.mResults[0].mResult.answer.body.empty());
    }
    SUBCASE("a call of which no byte was sent is released and not run")
    {
      collected.Collect(registry.OnNotSent("r", "connect_failed"));
      CHECK(collected.mAnswers[0].mOutcome == BookingOutcome::NotRun);
      CHECK_FALSE(collected.mResults[0].mResult.ran);
    }
    // Guards against "not run" for a call whose bytes may have reached the
    // endpoint, and against a late answer that is not recorded.
    SUBCASE("the outcome is unknown after a lost connection")
    {
      collected.Collect(registry.OnInterrupted("r", "silent"));
      CHECK(collected.mAnswers[0].mOutcome == BookingOutcome::Unknown);
      collected.Collect(registry.OnNotSent("r", "wrong"));
      CHECK(collected.mResults.empty());
      collected.Collect(registry.OnAnswer("r", MakeAnswer("x")));
      CHECK(collected.mAnswers.size() == 1);
      REQUIRE(collected.mResults.size() == 1);
      CHECK(collected.mResults[0].mResult.ran);
    }
    SUBCASE("the result is recorded after the caller disconnected")
    {
      collected.Collect(registry.OnCallerDisconnected("r"));
      collected.Collect(registry.OnAnswer("r", MakeAnswer("x")));
      CHECK(collected.mAnswers.empty());
      CHECK(collected.mResults.size() == 1);
    }
  }
  SUBCASE("a permit after the NOT_RUN verdict is released, not used")
  {
    collected.Collect(registry.OnBeginReply("r", notRun));
    CHECK(collected.mAnswers[0].mOutcome == BookingOutcome::NotRun);
    collected.Collect(registry.OnBeginReply("r", permit));
    CHECK(collected.mDispatched == 0);
    REQUIRE(collected.mResults.size() == 1);
    CHECK_FALSE(collected.mResults[0].mResult.ran);
  }
  // Guards against a holder that was paused past the deadline, answers "not
  // run" and then dispatches the call nevertheless.
  SUBCASE("a permit that arrives after the deadline is released")
  {
    clock.Advance(5 * kSecond);
    collected.Collect(registry.OnBeginReply("r", permit));
    CHECK(collected.mDispatched == 0);
    CHECK(collected.mAnswers[0].mOutcome == BookingOutcome::NotRun);
    CHECK(collected.mResults.size() == 1);
  }
  SUBCASE("without a verdict the outcome is unknown, a late permit unused")
  {
    clock.Advance(2 * kSecond);
    collected.Collect(registry.OnTimer());
    // The deadline passed during a pause, so a verdict may already have arrived
    // that is not processed yet; the registry must wait for it.
    CHECK(collected.mAnswers.empty());
    CHECK(collected.mBegins == 2);
    clock.Advance(kSecond);
    collected.Collect(registry.OnTimer());
    REQUIRE(collected.mAnswers.size() == 1);
    CHECK(collected.mAnswers[0].mOutcome == BookingOutcome::Unknown);
    collected.Collect(registry.OnBeginReply("r", permit));
    CHECK(collected.mDispatched == 0);
  }
  SUBCASE("a begin is sent again after a NOT_OWNER verdict")
  {
    collected.Collect(registry.OnBeginReply(
      "r", MakeBeginReply(wire::BookingVerdict::NOT_OWNER, "")));
    clock.Advance(kSecond / 10);
    collected.Collect(registry.OnTimer());
    CHECK(collected.mBegins == 2);
  }
  SUBCASE("the number of requests is limited")
  {
    for (int i = 0; i < 100; ++i) {
      collected.Collect(
        registry.Begin("x" + std::to_string(i), "w/key", "body", deadline));
    }
    CHECK(registry.Size() == 64);
    CHECK(collected.mAnswers.back().mOutcome == BookingOutcome::NotRun);
  }
}

} // namespace bulrushfold
