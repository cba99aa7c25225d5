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
  , mPeersUntil(EndOfPeersFirst(aNow))
  , mAloneUntil(aNow + kAloneWait)
  , mNextCheck(aNow)
{
}

Instant
ConfigWatch::EndOfPeersFirst(Instant aNow)
{
  return aNow +
         FromSeconds(ToSeconds(kPeersFirst) * (1 + 2 * mRandom.UniformReal()));
}

void
ConfigWatch::Elect()
{
  if (mRings.Revision() == mRingsRevision) {
    return;
  }
  mRingsRevision = mRings.Revision();
  const auto watchers =
    mRings.HoldersWithin(kElectionKey, kWatchers, mFailureDomain);
  mIsWatcher =
    std::find(watchers.begin(), watchers.end(), mSelf) != watchers.end();
}

WatchStep
ConfigWatch::Tick(bool aIsReady, Instant aNow)
{
  if (mWasReady && !aIsReady) {
    mPeersUntil = EndOfPeersFirst(aNow);
    mRevision = 0;
  }
  mWasReady = aIsReady;
  // Before the first VM list every daemon would choose itself.
  if (mRings.Size() < 2 && aNow < mAloneUntil) {
    return WatchStep::None;
  }
  Elect();
  if (mIsWatching && !mIsWatcher) {
    mIsWatching = false;
    return WatchStep::Stop;
  }
  if (mIsListing || aNow < mNextStep) {
    return WatchStep::None;
  }
  const bool mustList = mIsWatcher || (!aIsReady && aNow >= mPeersUntil);
  if (mustList && mRevision == 0) {
    mIsListing = true;
    return WatchStep::List;
  }
  if (mIsWatcher && (!mIsWatching || aNow >= mNextCheck)) {
    mIsWatching = true;
    // Watchers do not renew their watches in step.
    mNextCheck = aNow + FromSeconds(ToSeconds(kCheckInterval) *
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
    Delay(aNow);
    return;
  }
  mRevision = std::max(mRevision, *aRevision);
  mRetry = kRetryInterval;
}

void
ConfigWatch::OnChange(std::uint64_t aRevision)
{
  mRevision = std::max(mRevision, aRevision);
  mRetry = kRetryInterval;
}

void
ConfigWatch::OnEnd(const absl::Status& aStatus,
                   std::uint64_t aLastRevision,
                   Instant aNow)
{
  mIsWatching = false;
  mRevision =
    absl::IsOutOfRange(aStatus) ? 0 : std::max(mRevision, aLastRevision);
  Delay(aNow);
}

void
ConfigWatch::Delay(Instant aNow)
{
  mNextStep =
    aNow + FromSeconds(ToSeconds(mRetry) * (0.5 + mRandom.UniformReal()));
  mRetry = std::min(mRetry * 2, kMaxRetry);
}

} // namespace bulrushfold
