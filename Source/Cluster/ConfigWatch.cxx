#include "Cluster/ConfigWatch.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

ConfigWatch::ConfigWatch(std::string aSelf,
                         std::string aFailureDomain,
                         const HashRings& aRings,
                         Instant aNow,
                         Random& aRandom)
  : mSelf(std::move(aSelf))
  , mFailureDomain(std::move(aFailureDomain))
  , mRings(aRings)
  , mRandom(aRandom)
  , mNextStep(aNow)
  , mUnreadyListTime(PickListTime(aNow))
  , mFirstPeerDeadline(aNow + kFirstPeerTimeout)
  , mNextRenewal(aNow)
{
}

Instant
ConfigWatch::PickListTime(Instant aNow)
{
  return aNow + FromSeconds(ToSeconds(kMinPeerQueryTime) *
                            (1 + 2 * mRandom.UniformReal()));
}

void
ConfigWatch::UpdateElection()
{
  if (mRings.Revision() == mRingsRevision) {
    return;
  }
  mRingsRevision = mRings.Revision();
  const auto watchers =
    mRings.SelectWithinDomain(kElectionKey, kWatchers, mFailureDomain);
  mIsWatcher =
    std::find(watchers.begin(), watchers.end(), mSelf) != watchers.end();
}

WatchStep
ConfigWatch::Tick(bool aIsReady, Instant aNow)
{
  if (mWasReady && !aIsReady) {
    mUnreadyListTime = PickListTime(aNow);
    mRevision = 0;
  }
  mWasReady = aIsReady;
  // Before the first VM list, every daemon would select itself as a watcher.
  if (mRings.Size() < 2 && aNow < mFirstPeerDeadline) {
    return WatchStep::None;
  }
  UpdateElection();
  if (mIsWatching && !mIsWatcher) {
    mIsWatching = false;
    return WatchStep::Stop;
  }
  if (mIsListing || aNow < mNextStep) {
    return WatchStep::None;
  }
  const bool mustList = mIsWatcher || (!aIsReady && aNow >= mUnreadyListTime);
  if (mustList && mRevision == 0) {
    mIsListing = true;
    return WatchStep::List;
  }
  if (mIsWatcher && (!mIsWatching || aNow >= mNextRenewal)) {
    mIsWatching = true;
    // The random factor spreads the renewals of the watchers.
    mNextRenewal = aNow + FromSeconds(ToSeconds(kRenewInterval) *
                                      (0.5 + mRandom.UniformReal()));
    return WatchStep::Watch;
  }
  return WatchStep::None;
}

void
ConfigWatch::OnListing(const absl::StatusOr<std::uint64_t>& aRevision,
                       Instant aNow)
{
  mIsListing = false;
  if (!aRevision.ok()) {
    ScheduleRetry(aNow);
    return;
  }
  mRevision = std::max(mRevision, *aRevision);
  mRetryInterval = kRetryInterval;
}

void
ConfigWatch::OnChange(std::uint64_t aRevision)
{
  mRevision = std::max(mRevision, aRevision);
  mRetryInterval = kRetryInterval;
}

void
ConfigWatch::OnEnd(const absl::Status& aStatus,
                   std::uint64_t aLastRevision,
                   Instant aNow)
{
  mIsWatching = false;
  mRevision =
    absl::IsOutOfRange(aStatus) ? 0 : std::max(mRevision, aLastRevision);
  ScheduleRetry(aNow);
}

void
ConfigWatch::ScheduleRetry(Instant aNow)
{
  mNextStep = aNow + FromSeconds(ToSeconds(mRetryInterval) *
                                 (0.5 + mRandom.UniformReal()));
  mRetryInterval = std::min(mRetryInterval * 2, kMaxRetryInterval);
}

} // namespace bulrushfold
