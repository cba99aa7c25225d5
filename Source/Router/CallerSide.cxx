#include "Router/CallerSide.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

CallerSide::CallerSide(RouterServices& aServices, RoutedRequestPointer aRequest)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
{
}

void
CallerSide::NoteFirstByte()
{
  if (mRequest->mFirstByteAt == Instant()) {
    mRequest->mFirstByteAt = mServices.mClock.Now();
  }
}

void
CallerSide::Deliver(const EndpointAnswer& aAnswer, const std::string& aEndpoint)
{
  NoteFirstByte();
  mRequest->mExchange->Reply(
    aAnswer.mStatus,
    mServices.mProtocol.ForwardedHeaders(aAnswer.mHeaders),
    aAnswer.mBody);
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::Answered, aAnswer.mStatus, "", aEndpoint);
}

void
CallerSide::Refuse(const Refusal& aRefusal, const std::string& aEndpoint)
{
  NoteFirstByte();
  const std::string_view reason = RefusalReasonName(aRefusal.mReason);
  mRequest->mExchange->Reply(aRefusal.mStatus,
                             mServices.mProtocol.RouterAnswerHeaders(
                               mRequest->mMetadata, aRefusal.mRetryAfter),
                             std::string(reason) + "\n");
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::Refused, aRefusal.mStatus, reason, aEndpoint);
}

void
CallerSide::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  mStreamStatus = aStatus;
  mRequest->mExchange->StartStream(
    aStatus, mServices.mProtocol.ForwardedHeaders(aHeaders));
}

void
CallerSide::Send(std::string_view aData)
{
  NoteFirstByte();
  const Instant now = mServices.mClock.Now();
  if (mLastPartAt != Instant()) {
    mRequest->mLongestEventInterval =
      std::max(mRequest->mLongestEventInterval, now - mLastPartAt);
  }
  mLastPartAt = now;
  mRequest->mExchange->SendChunk(aData);
}

void
CallerSide::EndStream(const std::string& aEndpoint)
{
  mRequest->mExchange->EndStream();
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::Answered, mStreamStatus, "", aEndpoint);
}

void
CallerSide::Break(RefusalReason aReason, const std::string& aEndpoint)
{
  mRequest->mExchange->Abort();
  mServices.mLog.Ended(*mRequest,
                       RequestOutcome::Broken,
                       mStreamStatus,
                       RefusalReasonName(aReason),
                       aEndpoint);
}

void
CallerSide::NoteGone(const std::string& aEndpoint)
{
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::CallerDisconnected, 0, "", aEndpoint);
}

} // namespace bulrushfold
