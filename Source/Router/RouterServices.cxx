#include "Router/RouterServices.h"

namespace bulrushfold {

void
RouterServices::NoteSendEnd(const RoutedRequest& aRequest,
                            const std::string& aEndpoint,
                            SendEnd aEnd,
                            HttpCallResult aResult)
{
  if (aEnd == SendEnd::OtherEndpoint) {
    mDirectory.OnAddressReused(aEndpoint);
  }
  if (aEnd == SendEnd::Answered) {
    mGuard.OnAnswered(aRequest.mHash);
  } else if (aResult == HttpCallResult::ConnectionLost) {
    mGuard.OnConnectionLost(aRequest.mHash, mClock.Now());
  }
}

} // namespace bulrushfold
