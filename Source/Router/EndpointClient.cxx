#include "Router/EndpointClient.h"

#include <utility>

namespace bulrushfold {

EndpointClient::EndpointClient(const Clock& aClock,
                               HttpClient& aClient,
                               const EndpointProtocol& aProtocol,
                               EndpointDirectory& aDirectory)
  : mClock(aClock)
  , mClient(aClient)
  , mProtocol(aProtocol)
  , mDirectory(aDirectory)
{
}

std::unique_ptr<HttpCall>
EndpointClient::Start(const EndpointRecord& aEndpoint,
                      HttpCallRequest aRequest,
                      HttpCallHooks aHooks)
{
  aHooks.mOnHeaders = [this,
                       id = aEndpoint.mId,
                       incarnation = aEndpoint.mIncarnation,
                       next = std::move(aHooks.mOnHeaders)](
                        int aStatus, const HttpHeaders& aHeaders) {
    HandleHead(id, incarnation, aStatus, aHeaders);
    if (next) {
      next(aStatus, aHeaders);
    }
  };
  return mClient.Start(std::move(aRequest), std::move(aHooks));
}

void
EndpointClient::HandleHead(const std::string& aEndpoint,
                           std::int64_t aIncarnation,
                           int aStatus,
                           const HttpHeaders& aHeaders)
{
  const AnswerMetadata metadata = mProtocol.ReadAnswer(aStatus, aHeaders);
  // A misdirected call was answered by another endpoint.
  if (metadata.mIsMisdirected) {
    return;
  }
  if (metadata.mIsLeaving) {
    mDirectory.OnLeavingAnnounced(aEndpoint, aIncarnation);
  }
  if (metadata.mRetryAfter) {
    mDirectory.OnBackoffRequested(
      aEndpoint, aIncarnation, mClock.Now() + *metadata.mRetryAfter);
  }
}

} // namespace bulrushfold
