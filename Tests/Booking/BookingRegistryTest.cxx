#include "Booking/BookingRegistry.h"

#include <doctest/doctest.h>

#include "Booking/BookingLedger.h"

namespace bulrushfold {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/** Collects what the registry decided. */
struct Seen
{
  void Take(const RegistryActions& aActions)
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

TEST_CASE("The entry daemon's side of a booking")
{
  ManualClock clock;
  BookingRegistryOptions options;
  options.mHolder = "a/1";
  options.mBookings.mShards = 16;
  options.mBookings.mMaxPending = 4;
  options.mBookings.mMaxAnswerBytes = 100;
  options.mBookings.mRetention = std::chrono::hours(1);
  BookingRegistry registry(options, clock);
  Seen seen;
  const auto permit = MakeBeginReply(wire::BookingVerdict::PERMIT, "");
  const auto notRun = MakeBeginReply(wire::BookingVerdict::NOT_RUN, "late");
  const auto deadline = clock.Now() + kSecond;
  seen.Take(registry.Begin("r", "w/key", "body", deadline));
  REQUIRE(seen.mBegins == 1);

  SUBCASE("a permit that arrives twice is dispatched once")
  {
    seen.Take(registry.OnBeginReply("r", permit));
    seen.Take(registry.OnBeginReply("r", permit));
    CHECK(seen.mDispatched == 1);
    SUBCASE("and a refusal that comes late is not passed on")
    {
      seen.Take(registry.OnBeginReply("r", notRun));
      CHECK(seen.mAnswers.empty());
    }
    SUBCASE("the answer goes to the caller and to the owner until confirmed")
    {
      seen.Take(registry.OnAnswer("r", MakeAnswer("x")));
      REQUIRE(seen.mAnswers.size() == 1);
      CHECK(seen.mAnswers[0].mOutcome == BookingOutcome::Done);
      seen.Take(registry.OnResultReply("r", absl::UnavailableError("")));
      clock.Advance(kSecond);
      seen.Take(registry.OnTimer());
      CHECK(seen.mResults.size() == 2);
      seen.Take(registry.OnResultReply(
        "r", ResultReply(wire::BookingResultVerdict::RECORDED)));
      CHECK(registry.Size() == 0);
    }
    SUBCASE("an answer over the limit is recorded without its body")
    {
      seen.Take(registry.OnAnswer("r", MakeAnswer(std::string(101, 'x'))));
      CHECK(seen.mAnswers[0].mAnswer->body.size() == 101);
      CHECK(seen.mResults[0].mResult.answer.truncated);
      CHECK(seen.mResults[0].mResult.answer.body.empty());
    }
    SUBCASE("a call that left no byte is released and was not run")
    {
      seen.Take(registry.OnNotSent("r", "connect_failed"));
      CHECK(seen.mAnswers[0].mOutcome == BookingOutcome::NotRun);
      CHECK_FALSE(seen.mResults[0].mResult.ran);
    }
    // Guards against "not run" after bytes may have reached the endpoint.
    SUBCASE("a lost connection means unknown; a late answer is still recorded")
    {
      seen.Take(registry.OnInterrupted("r", "silent"));
      CHECK(seen.mAnswers[0].mOutcome == BookingOutcome::Unknown);
      seen.Take(registry.OnNotSent("r", "wrong"));
      CHECK(seen.mResults.empty());
      seen.Take(registry.OnAnswer("r", MakeAnswer("x")));
      CHECK(seen.mAnswers.size() == 1);
      REQUIRE(seen.mResults.size() == 1);
      CHECK(seen.mResults[0].mResult.ran);
    }
    SUBCASE("a caller that is gone gets no answer, the result is recorded")
    {
      seen.Take(registry.OnCallerDisconnected("r"));
      seen.Take(registry.OnAnswer("r", MakeAnswer("x")));
      CHECK(seen.mAnswers.empty());
      CHECK(seen.mResults.size() == 1);
    }
  }
  SUBCASE("a permit after the refusal is returned, not used")
  {
    seen.Take(registry.OnBeginReply("r", notRun));
    CHECK(seen.mAnswers[0].mOutcome == BookingOutcome::NotRun);
    seen.Take(registry.OnBeginReply("r", permit));
    CHECK(seen.mDispatched == 0);
    REQUIRE(seen.mResults.size() == 1);
    CHECK_FALSE(seen.mResults[0].mResult.ran);
  }
  // Guards against a holder that wakes after its deadline and tells its caller
  // "not run" although it goes on to dispatch.
  SUBCASE("a holder that wakes after the deadline returns its permit")
  {
    clock.Advance(5 * kSecond);
    seen.Take(registry.OnBeginReply("r", permit));
    CHECK(seen.mDispatched == 0);
    CHECK(seen.mAnswers[0].mOutcome == BookingOutcome::NotRun);
    CHECK(seen.mResults.size() == 1);
  }
  SUBCASE("without a verdict the outcome is unknown and a permit is returned")
  {
    clock.Advance(2 * kSecond);
    seen.Take(registry.OnTimer());
    // A pause must not hide a verdict that has already arrived.
    CHECK(seen.mAnswers.empty());
    CHECK(seen.mBegins == 2);
    clock.Advance(kSecond);
    seen.Take(registry.OnTimer());
    REQUIRE(seen.mAnswers.size() == 1);
    CHECK(seen.mAnswers[0].mOutcome == BookingOutcome::Unknown);
    seen.Take(registry.OnBeginReply("r", permit));
    CHECK(seen.mDispatched == 0);
  }
  SUBCASE("the owner is asked again when it was not the owner")
  {
    seen.Take(registry.OnBeginReply(
      "r", MakeBeginReply(wire::BookingVerdict::NOT_OWNER, "")));
    clock.Advance(kSecond / 10);
    seen.Take(registry.OnTimer());
    CHECK(seen.mBegins == 2);
  }
  SUBCASE("open requests are bounded")
  {
    for (int i = 0; i < 100; ++i) {
      seen.Take(
        registry.Begin("x" + std::to_string(i), "w/key", "body", deadline));
    }
    CHECK(registry.Size() == 64);
    CHECK(seen.mAnswers.back().mOutcome == BookingOutcome::NotRun);
  }
}

} // namespace bulrushfold
