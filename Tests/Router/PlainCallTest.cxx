#include "Router/PlainCall.h"

#include <optional>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records the actions that a call requests. */
class FakePort : public PlainCallPort
{
public:
  void Send(const EndpointChoice& aChoice, Instant) override
  {
    mSends.push_back(aChoice.mEndpoint);
  }
  void CancelSend(SendResult) override { ++mCancels; }
  void Deliver(const EndpointAnswer& aAnswer) override
  {
    mDelivered.push_back(aAnswer.mStatus);
  }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusals.push_back(aRefusal);
  }
  void WakeAt(Instant aTime) override { mWake = aTime; }

  std::vector<std::string> mSends;
  int mCancels = 0;
  std::vector<int> mDelivered;
  std::vector<Refusal> mRefusals;
  std::optional<Instant> mWake;
};

/** A call to a service with three endpoints. */
struct Story
{
  explicit Story(RequestKind aKind, std::uint32_t aAttempts = 2)
  {
    for (const std::string id : { "a", "b", "c" }) {
      EndpointRecord record;
      record.mId = id;
      record.mService = "s";
      record.mSlots = 6;
      mDirectory.Put(record, 1, mNow);
    }
    mRoute.mKind = aKind;
    mRoute.mMaxAttempts = aAttempts;
    mRoute.mLatencyGoal = milliseconds(300);
    CallTerms terms;
    terms.mRoute = &mRoute;
    terms.mService = "s";
    terms.mArrival = mNow;
    terms.mDeadline = mNow + milliseconds(800);
    mCall.emplace(mPort, mSelector, mRetries, terms);
  }

  void End(SendEnd aEnd, int aStatus = 0)
  {
    mNow += milliseconds(20);
    mCall->OnSendEnded(aEnd, { aStatus, {}, "" }, mNow);
  }
  void Wake()
  {
    mNow = *mPort.mWake;
    mCall->OnWake(mNow);
  }
  int Status() const
  {
    return mPort.mRefusals.size() == 1 && mPort.mDelivered.empty()
             ? mPort.mRefusals[0].mStatus
             : 0;
  }

  Instant mNow{ seconds(1000) };
  Random mRandom{ 1 };
  EndpointDirectory mDirectory{ seconds(2) };
  EndpointLoads mLoads;
  EndpointHealth mHealth{ mRandom };
  PlainSelector mSelector{ mDirectory, mLoads, mHealth, "x", mRandom };
  RetryAllowance mRetries{ { 0.2, 10, seconds(10) }, Instant(seconds(0)) };
  Route mRoute;
  FakePort mPort;
  std::optional<PlainCall> mCall;
};

} // namespace

// Guards against a booking that runs twice because it was sent again although
// it may have run, and against a refusal that claims that such a booking has
// not run.
TEST_CASE("A request that may run only once")
{
  Story story(RequestKind::NonIdempotent);
  story.mCall->Start(story.mNow);
  REQUIRE(story.mPort.mSends.size() == 1);

  SUBCASE("the caller gets the answer of the endpoint, whatever its status")
  {
    story.End(SendEnd::Answered, 500);
    CHECK(story.mPort.mDelivered == std::vector{ 500 });
    CHECK(story.mPort.mSends.size() == 1);
  }
  SUBCASE("the request is not sent again when it may have run")
  {
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.mSends.size() == 1);
    CHECK(story.Status() == 502);
  }
  SUBCASE("the request is not sent again when no answer arrives")
  {
    story.Wake();
    CHECK(story.mPort.mCancels == 1);
    CHECK(story.Status() == 504);
    CHECK(story.mPort.mRefusals[0].mReason == RefusalReason::Timeout);
  }
  SUBCASE("the request is sent to other endpoints when it did not run")
  {
    story.End(SendEnd::NotRun, 503);
    story.End(SendEnd::OtherEndpoint, 421);
    REQUIRE(story.mPort.mSends.size() == 3);
    CHECK(std::set<std::string>(story.mPort.mSends.begin(),
                                story.mPort.mSends.end())
            .size() == 3);
    SUBCASE("and is refused as not run when all endpoints refused it")
    {
      // Guards against repeated sends to an endpoint that refused the request:
      // a request was sent six times to the only known endpoint.
      story.End(SendEnd::NotRun, 503);
      CHECK(story.mPort.mSends.size() == 3);
      CHECK(story.Status() == 503);
      CHECK(story.mPort.mRefusals[0].mRetryAfter > Duration::zero());
    }
    SUBCASE("and is not refused as not run when one outcome is unknown")
    {
      story.End(SendEnd::Unknown);
      CHECK(story.Status() == 502);
    }
  }
}

TEST_CASE("A request that may run more than once")
{
  Story story(RequestKind::Idempotent);
  story.mCall->Start(story.mNow);

  SUBCASE("the request is sent to another endpoint after a server error")
  {
    story.End(SendEnd::Answered, 500);
    REQUIRE(story.mPort.mSends.size() == 2);
    CHECK(story.mPort.mSends[0] != story.mPort.mSends[1]);
    SUBCASE("and the caller gets the answer of the other endpoint")
    {
      story.End(SendEnd::Answered, 200);
      CHECK(story.mPort.mDelivered == std::vector{ 200 });
    }
    SUBCASE("and the caller gets the first error when no other answer arrives")
    {
      story.End(SendEnd::Unknown);
      CHECK(story.mPort.mDelivered == std::vector{ 500 });
      CHECK(story.mPort.mRefusals.empty());
    }
    SUBCASE("but not more often than the route allows")
    {
      story.End(SendEnd::Answered, 500);
      CHECK(story.mPort.mSends.size() == 2);
      CHECK(story.mPort.mDelivered == std::vector{ 500 });
    }
  }
  SUBCASE("the request is not sent again after a client error")
  {
    story.End(SendEnd::Answered, 404);
    CHECK(story.mPort.mDelivered == std::vector{ 404 });
  }
  // Guards against a late answer when an endpoint accepts the request and never
  // answers.
  SUBCASE("the request is sent to another endpoint at its latency goal")
  {
    CHECK(*story.mPort.mWake == story.mNow + milliseconds(300));
    story.Wake();
    CHECK(story.mPort.mCancels == 1);
    REQUIRE(story.mPort.mSends.size() == 2);
    story.Wake();
    CHECK(story.Status() == 504);
  }
  SUBCASE("the first send continues when the retry allowance is used up")
  {
    while (story.mRetries.Take("s", 1, story.mNow)) {
    }
    story.Wake();
    CHECK(story.mPort.mCancels == 0);
    CHECK(story.mPort.mSends.size() == 1);
    story.End(SendEnd::Answered, 200);
    CHECK(story.mPort.mDelivered == std::vector{ 200 });
  }
  SUBCASE("a send without a connection uses no retry allowance")
  {
    while (story.mRetries.Take("s", 1, story.mNow)) {
    }
    story.End(SendEnd::NotSent);
    CHECK(story.mPort.mSends.size() == 2);
  }
}

TEST_CASE("A request is refused at once when the service has no endpoint")
{
  Story story(RequestKind::NonIdempotent);
  for (const std::string id : { "a", "b", "c" }) {
    story.mDirectory.Remove(id, 2, story.mNow);
  }
  story.mCall->Start(story.mNow);
  CHECK(story.Status() == 503);
  CHECK(story.mPort.mRefusals[0].mReason == RefusalReason::NoEndpoint);
}

TEST_CASE("The outcome of a send is unknown unless the reply shows it")
{
  AnswerFacts facts;
  facts.mHasProof = true;
  facts.mRequestId = "r";
  using Result = HttpCallResult;

  CHECK(JudgeSend(Result::Complete, facts, "r") == SendEnd::Answered);
  CHECK(JudgeSend(Result::ConnectFailed, {}, "r") == SendEnd::NotSent);
  CHECK(JudgeSend(Result::ConnectionLost, facts, "r") == SendEnd::Unknown);
  CHECK(JudgeSend(Result::Silent, facts, "r") == SendEnd::Unknown);
  // Guards against a late answer to an earlier request on the same connection.
  CHECK(JudgeSend(Result::Complete, facts, "other") == SendEnd::Unknown);
  SUBCASE("an answer without proof leaves the outcome unknown")
  {
    facts.mHasProof = false;
    CHECK(JudgeSend(Result::Complete, facts, "r") == SendEnd::Unknown);
  }
  SUBCASE("an answer that names no request leaves the outcome unknown")
  {
    facts.mRequestId.clear();
    CHECK(JudgeSend(Result::Complete, facts, "r") == SendEnd::Unknown);
  }
  SUBCASE("a refusal needs no proof")
  {
    facts = AnswerFacts();
    facts.mIsNotRun = true;
    CHECK(JudgeSend(Result::Complete, facts, "r") == SendEnd::NotRun);
    facts.mRequestId = "other";
    CHECK(JudgeSend(Result::Complete, facts, "r") == SendEnd::Unknown);
  }
}

} // namespace bulrushfold
