#include "Router/AnswerWriter.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

AnswerWriter::AnswerWriter(RouterServices& aServices,
                           RoutedRequestPointer aRequest)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
{
}

void
AnswerWriter::RecordFirstByte()
{
  if (mRequest->mFirstByteAt == Instant()) {
    mRequest->mFirstByteAt = mServices.mClock.Now();
  }
}

void
AnswerWriter::Deliver(const EndpointAnswer& aAnswer,
                      const std::string& aEndpoint)
{
  RecordFirstByte();
  mRequest->mExchange->Reply(
    aAnswer.mStatus,
    mServices.mProtocol.ForwardedHeaders(aAnswer.mHeaders),
    aAnswer.mBody);
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::Answered, aAnswer.mStatus, "", aEndpoint);
}

void
AnswerWriter::Refuse(const Refusal& aRefusal, const std::string& aEndpoint)
{
  RecordFirstByte();
  const std::string_view reason = RefusalReasonName(aRefusal.mReason);
  HttpHeaders headers = mServices.mProtocol.RouterAnswerHeaders(
    mRequest->mMetadata, aRefusal.mRetryAfter);
  if (aRefusal.mStatus == kHttpUnauthorized) {
    // RFC 9110, 11.6.1.
    headers.Add("WWW-Authenticate", "Bearer");
  }
  mRequest->mExchange->Reply(
    aRefusal.mStatus, headers, std::string(reason) + "\n");
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::Refused, aRefusal.mStatus, reason, aEndpoint);
}

void
AnswerWriter::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  mStreamStatus = aStatus;
  mRequest->mExchange->StartStream(
    aStatus, mServices.mProtocol.ForwardedHeaders(aHeaders));
}

void
AnswerWriter::Send(std::string_view aData)
{
  RecordFirstByte();
  const Instant now = mServices.mClock.Now();
  if (mLastEventAt != Instant()) {
    mRequest->mLongestEventInterval =
      std::max(mRequest->mLongestEventInterval, now - mLastEventAt);
  }
  mLastEventAt = now;
  mRequest->mExchange->SendChunk(aData);
}

void
AnswerWriter::EndStream(const std::string& aEndpoint)
{
  mRequest->mExchange->EndStream();
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::Answered, mStreamStatus, "", aEndpoint);
}

void
AnswerWriter::Abort(RefusalReason aReason, const std::string& aEndpoint)
{
  mRequest->mExchange->Abort();
  mServices.mLog.Ended(*mRequest,
                       RequestOutcome::Aborted,
                       mStreamStatus,
                       RefusalReasonName(aReason),
                       aEndpoint);
}

void
AnswerWriter::LogCallerDisconnected(const std::string& aEndpoint)
{
  mServices.mLog.Ended(
    *mRequest, RequestOutcome::CallerDisconnected, 0, "", aEndpoint);
}

} // namespace bulrushfold
