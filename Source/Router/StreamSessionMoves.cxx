#include "Router/StreamSession.h"

#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

void
StreamSession::HandleMove(const std::string& aTarget)
{
  const auto self = mSelf;
  mCall.StartMove(aTarget, mServices.mClock.Now());
}

void
StreamSession::Move(const std::string& aEndpoint, const std::string& aTarget)
{
  const EndpointRecord* source = mServices.mDirectory.Find(aEndpoint);
  const EndpointRecord* target = mServices.mDirectory.Find(aTarget);
  const Instant now = mServices.mClock.Now();
  absl::StatusOr<HttpCallRequest> call =
    absl::UnavailableError("an engine left the registry");
  if (source != nullptr && target != nullptr) {
    call =
      mServices.mProtocol.MoveCache(*source, mRequest->mMetadata.mId, *target);
  }
  if (!call.ok()) {
    mServices.mLog.MoveSkipped(*mRequest, aEndpoint, call.status());
    mServices.mLoop.Defer([this, self = mSelf, now] {
      mCall.OnMoveAnswered({ MoveOutcome::NotStopped, {} }, now);
    });
    return;
  }
  mServices.mLog.Sent(*mRequest, "move", aEndpoint, 0, 0);
  HttpCallHooks hooks;
  hooks.mOnDone = [this, aEndpoint, now](const HttpCallReply& aReply) {
    HandleMoveAnswer(aReply, aEndpoint, now);
  };
  mMoveCall =
    mServices.mClient.Start(*source, *std::move(call), std::move(hooks));
}

void
StreamSession::HandleMoveAnswer(const HttpCallReply& aReply,
                                const std::string& aSource,
                                Instant aSentAt)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  mMoveCall.reset();
  mServices.mLog.SendEnded(*mRequest,
                           "move",
                           aSource,
                           HttpCallResultName(aReply.mResult),
                           aReply.mStatus,
                           now - aSentAt);
  mCall.OnMoveAnswered(ReadMoveAnswer(aReply, aSource), now);
}

MoveAnswer
StreamSession::ReadMoveAnswer(const HttpCallReply& aReply,
                              const std::string& aSource) const
{
  MoveAnswer answer;
  const EndpointRecord* source = mServices.mDirectory.Find(aSource);
  if (aReply.mResult == HttpCallResult::ConnectFailed) {
    answer.mOutcome = MoveOutcome::NotStopped;
  }
  if (aReply.mResult != HttpCallResult::Complete || source == nullptr) {
    return answer;
  }
  if (aReply.mStatus == kHttpNotFound || aReply.mStatus == kHttpConflict ||
      aReply.mStatus == kHttpMisdirected) {
    answer.mOutcome = MoveOutcome::NotStopped;
  } else if (auto handle = mServices.mProtocol.ReadCacheHandle(aReply.mBody);
             handle.ok()) {
    answer.mOutcome =
      aReply.mStatus == kHttpOk ? MoveOutcome::Copied : MoveOutcome::Stopped;
    answer.mCache = KvCache{ aSource, source->mAddress, *std::move(handle) };
  }
  return answer;
}

void
StreamSession::DropReservation(const std::string& aEndpoint,
                               const std::string& aReservation)
{
  if (const auto* endpoint = mServices.mDirectory.Find(aEndpoint); endpoint) {
    SendDetached(*endpoint,
                 mServices.mProtocol.DropReservation(*endpoint, aReservation));
  }
}

void
StreamSession::SendDetached(const EndpointRecord& aEndpoint,
                            HttpCallRequest aRequest)
{
  auto call = std::make_shared<std::unique_ptr<HttpCall>>();
  HttpCallHooks hooks;
  hooks.mOnDone = [call,
                   id = mRequest->mMetadata.mId,
                   target = aRequest.mTarget](const HttpCallReply& aReply) {
    call->reset();
    if (aReply.mResult != HttpCallResult::Complete) {
      LogEvent(LogLevel::Info,
               "release_failed",
               { { "id", id },
                 { "target", target },
                 { "result", HttpCallResultName(aReply.mResult) } });
    }
  };
  *call =
    mServices.mClient.Start(aEndpoint, std::move(aRequest), std::move(hooks));
}

void
StreamSession::DropCache(const KvCache& aCache)
{
  if (const auto* endpoint = mServices.mDirectory.Find(aCache.mEndpoint);
      endpoint != nullptr) {
    SendDetached(*endpoint,
                 mServices.mProtocol.DropCache(*endpoint, aCache.mHandle));
  }
}

} // namespace bulrushfold
