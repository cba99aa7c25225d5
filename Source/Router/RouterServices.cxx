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

} // namespace bulrushfold
