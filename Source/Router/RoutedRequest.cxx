#include "Router/RoutedRequest.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
constexpr Duration kMaxResumableTime = std::chrono::seconds(60);
} // namespace

int
RoutedRequest::Urgency() const
{
  const int routePriority =
    mParameters.mRoute == nullptr ? 0 : mParameters.mRoute->mPriority;
  return mWorkspace == nullptr ? routePriority
                               : mWorkspace->mPriority.value_or(routePriority);
}

double
RoutedRequest::QuotaCost() const
{
  if (mHasTakenQuota) {
    return 0;
  }
  if (mWorkspace == nullptr || !mWorkspace->mQuota.mCountsTokens) {
    return 1;
  }
  return mMetadata.mTokens
           ? static_cast<double>(mMetadata.mTokens->mPrompt) +
               static_cast<double>(mMetadata.mTokens->mMaxAnswer)
           : mWorkspace->mQuota.mPlainTokens;
}

PlacementTerms
RoutedRequest::Terms() const
{
  return { mWorkspace == nullptr ? std::string() : mWorkspace->mName,
           Urgency(),
           QuotaCost() };
}

std::uint64_t
RoutedRequest::StreamKey() const
{
  const bool isResumed =
    !mMetadata.mLastEventId.empty() && !mMetadata.mResumedAttempt.empty();
  return Hash64(isResumed ? mMetadata.mResumedAttempt : mMetadata.mId, mHash);
}

Duration
RoutedRequest::ResumableTime() const
{
  const Duration route = mParameters.mRoute->mTimeout;
  return std::min(std::max(mMetadata.mCallerTimeout.value_or(route), route),
                  kMaxResumableTime);
}

SendParameters
RoutedRequest::MakeSendParameters(Duration aTimeLeft) const
{
  SendParameters parameters;
  parameters.mTimeLeft = aTimeLeft;
  if (mTable->HasWorkspaces()) {
    parameters.mWorkspace =
      mWorkspace == nullptr ? std::string() : mWorkspace->mName;
  }
  return parameters;
}

} // namespace bulrushfold
