#include "Routing/StreamScheduler.h"

#include <algorithm>
#include <iterator>

#include "Routing/StreamVersion.h"

namespace bulrushfold {

std::vector<std::uint64_t>
StreamScheduler::RemoveExpired(Instant aNow)
{
  std::vector<std::uint64_t> expired;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (it->mQueueDeadline <= aNow) {
      expired.push_back(it->mNumber);
      it = mWaiting.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::optional<std::vector<const EndpointRecord*>>
StreamScheduler::FittingEngines(
  const StreamDemand& aDemand,
  const std::vector<const EndpointRecord*>& aEngines)
{
  if (!aDemand.mSoftware) {
    return std::nullopt;
  }
  std::vector<const EndpointRecord*> fitting;
  std::copy_if(aEngines.begin(),
               aEngines.end(),
               std::back_inserter(fitting),
               [&](const EndpointRecord* aEngine) {
                 return MayContinueAt(aDemand.mSoftware, aEngine->mSoftware);
               });
  return fitting;
}

bool
StreamScheduler::HasOtherVersionsOnly(const StreamDemand& aDemand) const
{
  if (!aDemand.mSoftware) {
    return false;
  }
  const auto engines =
    mDirectory.UsableOrInBackoff(aDemand.mService, EndpointRole::Decode);
  return !engines.empty() && FittingEngines(aDemand, engines)->empty();
}

std::optional<UnservableStream>
StreamScheduler::FindUnservable(const StreamDemand& aDemand, Instant aNow) const
{
  if (HasOtherVersionsOnly(aDemand)) {
    // Engines of another version have replaced those that could go on.
    return UnservableStream{ aDemand.mNumber, Duration::zero() };
  }
  if (aDemand.mWasInterrupted) {
    return std::nullopt;
  }
  if (mDirectory.AreAllLeaving(aDemand.mService, EndpointRole::Decode)) {
    return UnservableStream{ aDemand.mNumber, Duration::zero() };
  }
  const auto end =
    mDirectory.FirstBackoffEnd(aDemand.mService, EndpointRole::Decode);
  const Instant latest = LatestStart(aDemand);
  // A stream that is late already may wait until it expires.
  if (end && *end > (aNow <= latest ? latest : aDemand.mQueueDeadline)) {
    return UnservableStream{ aDemand.mNumber, *end - aNow };
  }
  return std::nullopt;
}

std::vector<UnservableStream>
StreamScheduler::RemoveUnservable(Instant aNow)
{
  std::vector<UnservableStream> unservable;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (const auto stream = FindUnservable(*it, aNow); stream) {
      unservable.push_back(*stream);
      it = mWaiting.erase(it);
    } else {
      ++it;
    }
  }
  return unservable;
}

} // namespace bulrushfold
