#include "Router/StreamSession.h"

#include <utility>

namespace bulrushfold {

namespace {
/** The engine's answer is no longer read when more than this many bytes wait to
 * be sent to the caller. */
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
} // namespace

void
StreamSession::StartAnswer(int aStatus, const HttpHeaders& aHeaders)
{
  mAnswerWriter.StartStream(aStatus, aHeaders);
}

void
StreamSession::SendAnswer(std::string_view aData)
{
  mAnswerWriter.Send(aData);
  if (mRequest->mExchange->PendingBytes() > kMaxUnreadBytes && !mIsReadPaused) {
    // If the caller does not read at all, the write timeout closes its
    // connection.
    mIsReadPaused = true;
    mAttempt.mSend->SetReading(false);
  }
}

void
StreamSession::ResumeReading()
{
  if (std::exchange(mIsReadPaused, false) && mAttempt.mSend) {
    mAttempt.mSend->SetReading(true);
  }
}

void
StreamSession::EndAnswer()
{
  RecordWholeAnswer();
  mAnswerWriter.EndStream(mAttempt.mRun.mEndpoint);
  Close();
}

void
StreamSession::AbortAnswer(RefusalReason aReason)
{
  mAnswerWriter.Abort(aReason, mAttempt.mRun.mEndpoint);
  Close();
}

void
StreamSession::Deliver(const EndpointAnswer& aAnswer)
{
  mAnswerWriter.Deliver(aAnswer, mAttempt.mRun.mEndpoint);
  Close();
}

void
StreamSession::Refuse(const Refusal& aRefusal)
{
  if (aRefusal.mRetryAfter > Duration::zero()) {
    const Instant now = mServices.mClock.Now();
    mServices.mDeferredRequests.OnDeferred(
      mRequest->mHash,
      mServices.mDeferredRequests.FirstArrival(mRequest->mHash, now)
        .value_or(mRequest->mParameters.mArrival),
      now);
  }
  mAnswerWriter.Refuse(aRefusal, mAttempt.mRun.mEndpoint);
  Close();
}

} // namespace bulrushfold
