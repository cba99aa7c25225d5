#include "Router/PlainCall.h"

#include <optional>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records the actions that a call requests. */
class FakeDelegate : public PlainCallDelegate
{
public:
  void RequestEndpoint(const PlainDemand& aDemand) override
  {
    mDemands.push_back(aDemand);
    if (mAnswersDemands) {
      mOnDemand(aDemand);
    }
  }
  void WithdrawRequest() override { ++mWithdrawals; }
  void Send(const EndpointChoice& aChoice, Instant) override
  {
    mSends.push_back(aChoice.mEndpoint);
  }
  SendOutcome CancelSend(SendResult) override
  {
    ++mCancels;
    return mIsConnected ? SendOutcome::Unknown : SendOutcome::NotSent;
  }
  bool IsCrashSuspect() override { return mIsCrashSuspect; }
  void Deliver(const EndpointAnswer& aAnswer) override
  {
    mDelivered.push_back(aAnswer.mStatus);
  }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusals.push_back(aRefusal);
  }
  void WakeAt(Instant aTime) override { mWakeTime = aTime; }

  /** Answers a demand; not called while mAnswersDemands is false. */
  std::function<void(const PlainDemand&)> mOnDemand;
  bool mAnswersDemands = true;
  std::vector<PlainDemand> mDemands;
  int mWithdrawals = 0;
  std::vector<std::string> mSends;
  int mCancels = 0;
  /** The sends have connections. */
  bool mIsConnected = true;
  bool mIsCrashSuspect = false;
  std::vector<int> mDelivered;
  std::vector<Refusal> mRefusals;
  std::optional<Instant> mWakeTime;
};

/** A call to a service with three endpoints. */
struct PlainCallFixture
{
  explicit PlainCallFixture(RequestKind aKind, std::uint32_t aAttempts = 2)
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
    CallParameters parameters;
    parameters.mRoute = &mRoute;
    parameters.mService = "s";
    parameters.mArrival = mNow;
    parameters.mDeadline = mNow + milliseconds(800);
    mCall.emplace(mDelegate, mRetryBudget, parameters);
    mDelegate.mOnDemand = [this](const PlainDemand& aDemand) {
      mCall->OnGranted(*mQueue.Submit(aDemand, mNow), mNow);
    };
  }

  void EndSend(SendOutcome aOutcome, int aStatus = 0)
  {
    mNow += milliseconds(20);
    mCall->OnSendEnded(aOutcome, { aStatus, {}, "" }, mNow);
  }
  void Wake()
  {
    mNow = *mDelegate.mWakeTime;
    mCall->OnWake(mNow);
  }
  int RefusalStatus() const
  {
    return mDelegate.mRefusals.size() == 1 && mDelegate.mDelivered.empty()
             ? mDelegate.mRefusals[0].mStatus
             : 0;
  }

  Instant mNow{ seconds(1000) };
  Random mRandom{ 1 };
  EndpointDirectory mDirectory{ seconds(2) };
  EndpointLoads mLoads;
  EndpointHealth mHealth{ mRandom };
  PlainSelector mSelector{ mDirectory, mLoads, mHealth, "x", mRandom };
  PlainQueue mQueue{ mSelector };
  SharedRetryBudget mRetryBudget{ { 0.2, 10, seconds(10) },
                                  Instant(seconds(0)) };
  Route mRoute;
  FakeDelegate mDelegate;
  std::optional<PlainCall> mCall;
};

} // namespace

// Guards against a booking that runs twice because it was sent again although
// it may have run, and against a refusal that claims that such a booking has
// not run.
TEST_CASE("A request that may run only once")
{
  PlainCallFixture fixture(RequestKind::NonIdempotent);
  fixture.mCall->Start(fixture.mNow);
  REQUIRE(fixture.mDelegate.mSends.size() == 1);

  SUBCASE("the caller gets the answer of the endpoint, whatever its status")
  {
    fixture.EndSend(SendOutcome::Answered, 500);
    CHECK(fixture.mDelegate.mDelivered == std::vector{ 500 });
    CHECK(fixture.mDelegate.mSends.size() == 1);
  }
  SUBCASE("the request is not sent again when it may have run")
  {
    fixture.EndSend(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.mSends.size() == 1);
    CHECK(fixture.RefusalStatus() == 502);
  }
  SUBCASE("the request is not sent again when no answer arrives")
  {
    fixture.Wake();
    CHECK(fixture.mDelegate.mCancels == 1);
    CHECK(fixture.RefusalStatus() == 504);
    CHECK(fixture.mDelegate.mRefusals[0].mReason == RefusalReason::Timeout);
  }
  // Guards against a caller that may not repeat its booking although no byte of
  // it was sent.
  SUBCASE("the request is refused as not run when it never had a connection")
  {
    fixture.mDelegate.mIsConnected = false;
    fixture.Wake();
    CHECK(fixture.RefusalStatus() == 503);
    CHECK(fixture.mDelegate.mRefusals[0].mRetryAfter > Duration::zero());
  }
  SUBCASE("the request is sent to other endpoints when it did not run")
  {
    fixture.EndSend(SendOutcome::NotRun, 503);
    fixture.EndSend(SendOutcome::OtherEndpoint, 421);
    REQUIRE(fixture.mDelegate.mSends.size() == 3);
    CHECK(std::set<std::string>(fixture.mDelegate.mSends.begin(),
                                fixture.mDelegate.mSends.end())
            .size() == 3);
    SUBCASE("and is refused as not run when all endpoints refused it")
    {
      // Guards against repeated sends to an endpoint that refused the request:
      // a request was sent six times to the only known endpoint.
      fixture.EndSend(SendOutcome::NotRun, 503);
      CHECK(fixture.mDelegate.mSends.size() == 3);
      CHECK(fixture.RefusalStatus() == 503);
      CHECK(fixture.mDelegate.mRefusals[0].mRetryAfter > Duration::zero());
    }
    SUBCASE("and is not refused as not run when one outcome is unknown")
    {
      fixture.EndSend(SendOutcome::Unknown);
      CHECK(fixture.RefusalStatus() == 502);
    }
  }
}

TEST_CASE("A request that may run more than once")
{
  PlainCallFixture fixture(RequestKind::Idempotent);
  fixture.mCall->Start(fixture.mNow);

  SUBCASE("the request is sent to another endpoint after a server error")
  {
    fixture.EndSend(SendOutcome::Answered, 500);
    REQUIRE(fixture.mDelegate.mSends.size() == 2);
    CHECK(fixture.mDelegate.mSends[0] != fixture.mDelegate.mSends[1]);
    SUBCASE("and the caller gets the answer of the other endpoint")
    {
      fixture.EndSend(SendOutcome::Answered, 200);
      CHECK(fixture.mDelegate.mDelivered == std::vector{ 200 });
    }
    SUBCASE("and the caller gets the first error when no other answer arrives")
    {
      fixture.EndSend(SendOutcome::Unknown);
      CHECK(fixture.mDelegate.mDelivered == std::vector{ 500 });
      CHECK(fixture.mDelegate.mRefusals.empty());
    }
    SUBCASE("but not more often than the route allows")
    {
      fixture.EndSend(SendOutcome::Answered, 500);
      CHECK(fixture.mDelegate.mSends.size() == 2);
      CHECK(fixture.mDelegate.mDelivered == std::vector{ 500 });
    }
  }
  SUBCASE("the request is not sent again after a client error")
  {
    fixture.EndSend(SendOutcome::Answered, 404);
    CHECK(fixture.mDelegate.mDelivered == std::vector{ 404 });
  }
  // Guards against a late answer when an endpoint accepts the request and never
  // answers.
  SUBCASE("the request is sent to another endpoint at its latency target")
  {
    CHECK(*fixture.mDelegate.mWakeTime == fixture.mNow + milliseconds(300));
    fixture.Wake();
    CHECK(fixture.mDelegate.mCancels == 1);
    REQUIRE(fixture.mDelegate.mSends.size() == 2);
    fixture.Wake();
    CHECK(fixture.RefusalStatus() == 504);
  }
  SUBCASE("the first send continues when the retry budget is used up")
  {
    while (fixture.mRetryBudget.TryConsume("s", 1, fixture.mNow)) {
    }
    fixture.Wake();
    CHECK(fixture.mDelegate.mCancels == 0);
    CHECK(fixture.mDelegate.mSends.size() == 1);
    fixture.EndSend(SendOutcome::Answered, 200);
    CHECK(fixture.mDelegate.mDelivered == std::vector{ 200 });
  }
  SUBCASE("a send without a connection uses no retry budget")
  {
    while (fixture.mRetryBudget.TryConsume("s", 1, fixture.mNow)) {
    }
    fixture.EndSend(SendOutcome::NotSent);
    CHECK(fixture.mDelegate.mSends.size() == 2);
  }
}

// Guards against a request that waits for an endpoint beyond its deadline, and
// against an answer that is lost because another endpoint was asked for.
TEST_CASE("A request whose demand for an endpoint is not answered at once")
{
  PlainCallFixture fixture(RequestKind::Idempotent);
  const auto grant = [&](const std::string& aEndpoint) {
    fixture.mCall->OnGranted(
      { 0, EndpointChoice{ aEndpoint, 0, 3 }, Duration::zero(), "" },
      fixture.mNow);
  };
  fixture.mDelegate.mAnswersDemands = false;
  fixture.mCall->Start(fixture.mNow);
  REQUIRE(fixture.mDelegate.mDemands.size() == 1);
  CHECK(fixture.mDelegate.mSends.empty());

  SUBCASE("is refused as not run at its deadline")
  {
    fixture.Wake();
    CHECK(fixture.mDelegate.mWithdrawals == 1);
    CHECK(fixture.RefusalStatus() == 503);
  }
  SUBCASE("is refused when no endpoint is available in time")
  {
    fixture.mCall->OnGranted({ 0, std::nullopt, seconds(1), "" }, fixture.mNow);
    CHECK(fixture.RefusalStatus() == 503);
    CHECK(fixture.mDelegate.mRefusals[0].mRetryAfter == seconds(1));
  }
  SUBCASE("is refused when the process ends")
  {
    fixture.mCall->OnStopEnd(fixture.mNow);
    CHECK(fixture.mDelegate.mWithdrawals == 1);
    CHECK(fixture.RefusalStatus() == 503);
  }
  SUBCASE("is sent to the endpoint that is granted")
  {
    grant("a");
    CHECK(fixture.mDelegate.mSends == std::vector<std::string>{ "a" });
    // At the latency target, another endpoint is asked for.
    fixture.Wake();
    REQUIRE(fixture.mDelegate.mDemands.size() == 2);
    CHECK(fixture.mDelegate.mDemands[1].mNeedsUntried);
    CHECK(fixture.mDelegate.mCancels == 0);
    SUBCASE("and delivers the answer of the first one if it comes first")
    {
      fixture.EndSend(SendOutcome::Answered, 200);
      CHECK(fixture.mDelegate.mWithdrawals == 1);
      CHECK(fixture.mDelegate.mDelivered == std::vector{ 200 });
    }
    SUBCASE("and cancels the first send when the other one is granted")
    {
      grant("b");
      CHECK(fixture.mDelegate.mCancels == 1);
      CHECK(fixture.mDelegate.mSends == std::vector<std::string>{ "a", "b" });
    }
    SUBCASE("and uses the other one for a retry when the first send failed")
    {
      fixture.EndSend(SendOutcome::Unknown);
      CHECK(fixture.mDelegate.mDemands.size() == 2);
      grant("b");
      CHECK(fixture.mDelegate.mSends == std::vector<std::string>{ "a", "b" });
      CHECK(fixture.mDelegate.mCancels == 0);
    }
    SUBCASE("and goes on waiting when no other one is available")
    {
      fixture.mCall->OnGranted({ 0, std::nullopt, {}, "" }, fixture.mNow);
      CHECK(fixture.mDelegate.mRefusals.empty());
      fixture.EndSend(SendOutcome::Answered, 200);
      CHECK(fixture.mDelegate.mDelivered == std::vector{ 200 });
    }
  }
}

TEST_CASE("A request is refused at once when the service has no endpoint")
{
  PlainCallFixture fixture(RequestKind::NonIdempotent);
  for (const std::string id : { "a", "b", "c" }) {
    fixture.mDirectory.Remove(id, 2, fixture.mNow);
  }
  fixture.mCall->Start(fixture.mNow);
  CHECK(fixture.RefusalStatus() == 503);
  CHECK(fixture.mDelegate.mRefusals[0].mReason == RefusalReason::NoEndpoint);
}

TEST_CASE("The outcome of a send is unknown unless the reply shows it")
{
  AnswerMetadata metadata;
  metadata.mHasServerStamp = true;
  metadata.mRequestId = "r";
  using Result = HttpCallResult;

  CHECK(ClassifySend(Result::Complete, metadata, "r") == SendOutcome::Answered);
  CHECK(ClassifySend(Result::ConnectFailed, {}, "r") == SendOutcome::NotSent);
  CHECK(ClassifySend(Result::ConnectionLost, metadata, "r") ==
        SendOutcome::Unknown);
  CHECK(ClassifySend(Result::ReadTimeout, metadata, "r") ==
        SendOutcome::Unknown);
  // Guards against a late answer to an earlier request on the same connection.
  CHECK(ClassifySend(Result::Complete, metadata, "other") ==
        SendOutcome::Unknown);
  SUBCASE("an answer without a server stamp leaves the outcome unknown")
  {
    metadata.mHasServerStamp = false;
    CHECK(ClassifySend(Result::Complete, metadata, "r") ==
          SendOutcome::Unknown);
  }
  SUBCASE("an answer that names no request leaves the outcome unknown")
  {
    metadata.mRequestId.clear();
    CHECK(ClassifySend(Result::Complete, metadata, "r") ==
          SendOutcome::Unknown);
  }
  SUBCASE("a refusal needs no server stamp")
  {
    metadata = AnswerMetadata();
    metadata.mIsNotRun = true;
    CHECK(ClassifySend(Result::Complete, metadata, "r") == SendOutcome::NotRun);
    metadata.mRequestId = "other";
    CHECK(ClassifySend(Result::Complete, metadata, "r") ==
          SendOutcome::Unknown);
  }
}

// Guards against a request that crashes a second endpoint because it is sent
// again within one attempt of its caller.
TEST_CASE("A request that crashes endpoints is not sent again")
{
  PlainCallFixture fixture(RequestKind::Idempotent, 3);
  fixture.mCall->Start(fixture.mNow);
  REQUIRE(fixture.mDelegate.mSends.size() == 1);
  fixture.mDelegate.mIsCrashSuspect = true;
  SUBCASE("after its connection was lost")
  {
    fixture.EndSend(SendOutcome::Unknown);
    CHECK(fixture.RefusalStatus() == 502);
  }
  SUBCASE("while its endpoint is silent")
  {
    fixture.Wake();
    CHECK(fixture.mDelegate.mCancels == 0);
  }
  CHECK(fixture.mDelegate.mSends.size() == 1);
}

} // namespace bulrushfold
