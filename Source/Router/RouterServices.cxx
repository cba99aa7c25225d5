#include "Router/RouterServices.h"

namespace bulrushfold {

void
RouterServices::RecordSendOutcome(const RoutedRequest& aRequest,
                                  const std::string& aEndpoint,
                                  SendOutcome aOutcome,
                                  HttpCallResult aResult)
{
  if (aOutcome == SendOutcome::OtherEndpoint) {
    mDirectory.OnAddressReused(aEndpoint);
  }
  if (aOutcome == SendOutcome::Answered) {
    mGuard.OnAnswered(aRequest.mHash);
  } else if (aResult == HttpCallResult::ConnectionLost) {
    mGuard.OnConnectionLost(aRequest.mHash, mClock.Now());
  }
}

bool
RouterServices::RefusesPrompt(const RoutedRequest& aRequest)
{
  const RefusedPart* part = mPromptGuard.FindRefused(
    aRequest.mMetadata.mSharedPromptParts, mClock.Now());
  if (part != nullptr) {
    mLog.PromptRefused(aRequest, *part);
  }
  return part != nullptr;
}

} // namespace bulrushfold
