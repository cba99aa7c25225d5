#include "Router/PlainCall.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RefusalReason, 10> kReasonNames{ {
  { RefusalReason::NoConfiguration, "no_configuration" },
  { RefusalReason::NoRoute, "no_route" },
  { RefusalReason::NoEndpoint, "no_endpoint" },
  { RefusalReason::EndpointsFull, "endpoints_full" },
  { RefusalReason::Overload, "overload" },
  { RefusalReason::WaitedTooLong, "waited_too_long" },
  { RefusalReason::CrashSuspect, "crash_suspect" },
  { RefusalReason::Stopping, "stopping" },
  { RefusalReason::Timeout, "timeout" },
  { RefusalReason::OutcomeUnknown, "outcome_unknown" },
} };

/** Sends of one request, refused ones included; bounds a loop. */
constexpr std::uint32_t kMaxSends = 6;
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
/** Least time in which a further send can still be answered. */
constexpr Duration kLeastUsefulTime = std::chrono::milliseconds(20);
} // namespace

std::string_view
RefusalReasonName(RefusalReason aReason)
{
  return FindEnumName(kReasonNames, aReason);
}

PlainCall::PlainCall(PlainCallPort& aPort,
                     const PlainSelector& aSelector,
                     SharedRetryBudget& aRetryBudget,
                     CallTerms aTerms)
  : mPort(aPort)
  , mSelector(aSelector)
  , mRetryBudget(aRetryBudget)
  , mTerms(std::move(aTerms))
{
}

void
PlainCall::Start(Instant aNow)
{
  mRetryBudget.OnRequest(mTerms.mService, aNow);
  const auto choice = mSelector.Choose(mTerms.mService, mTried, aNow);
  if (choice && aNow < mTerms.mDeadline) {
    Send(*choice, aNow);
  } else {
    Finish();
  }
}

bool
PlainCall::MayRunAgain() const
{
  if (mRuns == 0) {
    return true;
  }
  return mTerms.mRoute->mKind == RequestKind::Idempotent &&
         mRuns < mTerms.mRoute->mMaxAttempts;
}

void
PlainCall::Send(const EndpointChoice& aChoice, Instant aNow)
{
  ++mSends;
  mTried.insert(aChoice.mEndpoint);
  mIsSending = true;
  // A request that may run again is given up at its goal, because its endpoint
  // may never answer.
  const bool hasSecondTry = mTerms.mRoute->mKind == RequestKind::Idempotent &&
                            mRuns + 1 < mTerms.mRoute->mMaxAttempts &&
                            aChoice.mCandidateCount > 1;
  const Instant giveUp = aNow + mTerms.mRoute->mLatencyTarget;
  mPort.Send(aChoice, mTerms.mDeadline);
  if (mIsSending) {
    mPort.WakeAt(hasSecondTry ? std::min(giveUp, mTerms.mDeadline)
                              : mTerms.mDeadline);
  }
}

void
PlainCall::OnSendEnded(SendEnd aEnd, EndpointAnswer aAnswer, Instant aNow)
{
  if (mIsOver) {
    return;
  }
  mIsSending = false;
  mLastEnd = aEnd;
  if (!IsCertainlyNotRun(aEnd)) {
    ++mRuns;
  }
  if (aEnd == SendEnd::Answered) {
    if (aAnswer.mStatus < kHttpFirstServerError || !MayRunAgain()) {
      mIsOver = true;
      mPort.Deliver(aAnswer);
      return;
    }
    mFailure = std::move(aAnswer);
  }
  Retry(aNow);
}

void
PlainCall::Retry(Instant aNow)
{
  const bool isUseful = aNow + kLeastUsefulTime < mTerms.mDeadline &&
                        mSends < kMaxSends && MayRunAgain();
  const auto choice = mSelector.Choose(mTerms.mService, mTried, aNow);
  // An endpoint that refused the request is full; asking it again at once only
  // adds to its load.
  const bool hasOther = choice && !(IsCertainlyNotRun(mLastEnd) &&
                                    mTried.count(choice->mEndpoint) > 0);
  // A send that reached nobody counts nowhere.
  if (isUseful && hasOther &&
      (mLastEnd == SendEnd::NotSent ||
       mRetryBudget.TryConsume(mTerms.mService, 1, aNow))) {
    Send(*choice, aNow);
    return;
  }
  Finish();
}

void
PlainCall::OnWake(Instant aNow)
{
  if (mIsOver || !mIsSending) {
    return;
  }
  const bool isTimeout = aNow >= mTerms.mDeadline;
  const auto choice = mSelector.Choose(mTerms.mService, mTried, aNow);
  const bool hasOther = choice && mTried.count(choice->mEndpoint) == 0;
  if (!isTimeout &&
      (!hasOther || !mRetryBudget.TryConsume(mTerms.mService, 1, aNow))) {
    mPort.WakeAt(mTerms.mDeadline);
    return;
  }
  mIsSending = false;
  mLastEnd = SendEnd::Unknown;
  ++mRuns;
  mPort.CancelSend(SendResult::Slow);
  if (isTimeout) {
    FinishWith(
      { kHttpGatewayTimeout, RefusalReason::Timeout, Duration::zero() });
  } else {
    Send(*choice, aNow);
  }
}

void
PlainCall::Finish()
{
  if (mFailure) {
    mIsOver = true;
    mPort.Deliver(*mFailure);
  } else if (mRuns > 0) {
    FinishWith(
      { kHttpBadGateway, RefusalReason::OutcomeUnknown, Duration::zero() });
  } else {
    FinishWith(
      { kHttpUnavailable,
        mSends == 0 ? RefusalReason::NoEndpoint : RefusalReason::EndpointsFull,
        kRetryAfter });
  }
}

void
PlainCall::FinishWith(const Refusal& aRefusal)
{
  mIsOver = true;
  mPort.Refuse(aRefusal);
}

} // namespace bulrushfold
