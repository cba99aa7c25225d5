#include "Router/PlainCall.h"

#include <optional>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Notes what a call orders. */
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

/** A call to a service of three endpoints. */
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
    mRoute.mLatencyTarget = milliseconds(300);
    CallTerms terms;
    terms.mRoute = &mRoute;
    terms.mService = "s";
    terms.mArrival = mNow;
    terms.mDeadline = mNow + milliseconds(800);
    mCall.emplace(mPort, mSelector, mRetryBudget, terms);
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
  SharedRetryBudget mRetryBudget{ { 0.2, 10, seconds(10) },
                                  Instant(seconds(0)) };
  Route mRoute;
  FakePort mPort;
  std::optional<PlainCall> mCall;
};

} // namespace

// Guards against a booking that runs twice, and against a refusal that says
// "not run" of one that may have run.
TEST_CASE("A request that may run once")
{
  Story story(RequestKind::NonIdempotent);
  story.mCall->Start(story.mNow);
  REQUIRE(story.mPort.mSends.size() == 1);

  SUBCASE("is answered by its endpoint, whatever the status")
  {
    story.End(SendEnd::Answered, 500);
    CHECK(story.mPort.mDelivered == std::vector{ 500 });
    CHECK(story.mPort.mSends.size() == 1);
  }
  SUBCASE("is not sent again when it may have run")
  {
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.mSends.size() == 1);
    CHECK(story.Status() == 502);
  }
  SUBCASE("is not sent again when no answer comes")
  {
    story.Wake();
    CHECK(story.mPort.mCancels == 1);
    CHECK(story.Status() == 504);
    CHECK(story.mPort.mRefusals[0].mReason == RefusalReason::Timeout);
  }
  SUBCASE("goes to others after it certainly did not run")
  {
    story.End(SendEnd::NotRun, 503);
    story.End(SendEnd::OtherEndpoint, 421);
    REQUIRE(story.mPort.mSends.size() == 3);
    CHECK(std::set<std::string>(story.mPort.mSends.begin(),
                                story.mPort.mSends.end())
            .size() == 3);
    SUBCASE("and is refused truthfully when all refused it")
    {
      // It was sent six times to the only runner that was known.
      story.End(SendEnd::NotRun, 503);
      CHECK(story.mPort.mSends.size() == 3);
      CHECK(story.Status() == 503);
      CHECK(story.mPort.mRefusals[0].mRetryAfter > Duration::zero());
    }
    SUBCASE("and is not refused as not run after a broken one")
    {
      story.End(SendEnd::Unknown);
      CHECK(story.Status() == 502);
    }
  }
}

TEST_CASE("A request that may run again")
{
  Story story(RequestKind::Idempotent);
  story.mCall->Start(story.mNow);

  SUBCASE("is sent to another endpoint after a failure")
  {
    story.End(SendEnd::Answered, 500);
    REQUIRE(story.mPort.mSends.size() == 2);
    CHECK(story.mPort.mSends[0] != story.mPort.mSends[1]);
    SUBCASE("and gets the better answer")
    {
      story.End(SendEnd::Answered, 200);
      CHECK(story.mPort.mDelivered == std::vector{ 200 });
    }
    SUBCASE("or the first failure, not one of the router's own")
    {
      story.End(SendEnd::Unknown);
      CHECK(story.mPort.mDelivered == std::vector{ 500 });
      CHECK(story.mPort.mRefusals.empty());
    }
    SUBCASE("but not more often than its route allows")
    {
      story.End(SendEnd::Answered, 500);
      CHECK(story.mPort.mSends.size() == 2);
      CHECK(story.mPort.mDelivered == std::vector{ 500 });
    }
  }
  SUBCASE("is not sent again after a proper answer, also a refusal of it")
  {
    story.End(SendEnd::Answered, 404);
    CHECK(story.mPort.mDelivered == std::vector{ 404 });
  }
  // An endpoint may take a request and never answer.
  SUBCASE("is given to another one at its goal")
  {
    CHECK(*story.mPort.mWake == story.mNow + milliseconds(300));
    story.Wake();
    CHECK(story.mPort.mCancels == 1);
    REQUIRE(story.mPort.mSends.size() == 2);
    story.Wake();
    CHECK(story.Status() == 504);
  }
  SUBCASE("waits on when no repeated send is left")
  {
    while (story.mRetryBudget.TryConsume("s", 1, story.mNow)) {
    }
    story.Wake();
    CHECK(story.mPort.mCancels == 0);
    CHECK(story.mPort.mSends.size() == 1);
    story.End(SendEnd::Answered, 200);
    CHECK(story.mPort.mDelivered == std::vector{ 200 });
  }
  SUBCASE("is sent again for nothing while no connection comes about")
  {
    while (story.mRetryBudget.TryConsume("s", 1, story.mNow)) {
    }
    story.End(SendEnd::NotSent);
    CHECK(story.mPort.mSends.size() == 2);
  }
}

TEST_CASE("A request without an endpoint is refused at once")
{
  Story story(RequestKind::NonIdempotent);
  for (const std::string id : { "a", "b", "c" }) {
    story.mDirectory.Remove(id, 2, story.mNow);
  }
  story.mCall->Start(story.mNow);
  CHECK(story.Status() == 503);
  CHECK(story.mPort.mRefusals[0].mReason == RefusalReason::NoEndpoint);
}

TEST_CASE("The end of a send is judged strictly")
{
  AnswerMetadata metadata;
  metadata.mHasServerStamp = true;
  metadata.mRequestId = "r";
  using Result = HttpCallResult;

  CHECK(JudgeSend(Result::Complete, metadata, "r") == SendEnd::Answered);
  CHECK(JudgeSend(Result::ConnectFailed, {}, "r") == SendEnd::NotSent);
  CHECK(JudgeSend(Result::ConnectionLost, metadata, "r") == SendEnd::Unknown);
  CHECK(JudgeSend(Result::ReadTimeout, metadata, "r") == SendEnd::Unknown);
  // Guards against the late answer to an earlier request on the connection.
  CHECK(JudgeSend(Result::Complete, metadata, "other") == SendEnd::Unknown);
  SUBCASE("an answer without proof says nothing")
  {
    metadata.mHasServerStamp = false;
    CHECK(JudgeSend(Result::Complete, metadata, "r") == SendEnd::Unknown);
  }
  SUBCASE("nor does one that names no request")
  {
    metadata.mRequestId.clear();
    CHECK(JudgeSend(Result::Complete, metadata, "r") == SendEnd::Unknown);
  }
  SUBCASE("but a refusal needs no proof")
  {
    metadata = AnswerMetadata();
    metadata.mIsNotRun = true;
    CHECK(JudgeSend(Result::Complete, metadata, "r") == SendEnd::NotRun);
    metadata.mRequestId = "other";
    CHECK(JudgeSend(Result::Complete, metadata, "r") == SendEnd::Unknown);
  }
}

} // namespace bulrushfold
