#include "Routing/SoftwareHistory.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Versions of one service that are remembered after they have left. */
constexpr std::size_t kMaxLeftVersions = 64;
} // namespace

void
SoftwareHistory::OnChange(const EndpointRecord& aEndpoint,
                          EndpointChange aChange,
                          Instant aNow)
{
  mStart = mStart.value_or(aNow);
  if (aChange == EndpointChange::Removed) {
    Remove(aEndpoint.mId, aNow);
    return;
  }
  if (const auto it = mEndpoints.find(aEndpoint.mId);
      it != mEndpoints.end() && it->second.mSoftware == aEndpoint.mSoftware &&
      it->second.mService == aEndpoint.mService) {
    it->second.mIncarnation = aEndpoint.mIncarnation;
    return;
  }
  Remove(aEndpoint.mId, aNow);
  mEndpoints[aEndpoint.mId] = { aEndpoint.mService,
                                aEndpoint.mSoftware,
                                aEndpoint.mIncarnation };
  ++mServices[aEndpoint.mService][aEndpoint.mSoftware].mCount;
}

void
SoftwareHistory::Remove(const std::string& aId, Instant aNow)
{
  const auto node = mEndpoints.extract(aId);
  if (node.empty()) {
    return;
  }
  Versions& versions = mServices[node.mapped().mService];
  Presence& presence = versions[node.mapped().mSoftware];
  --presence.mCount;
  presence.mLeftAt = aNow;
  Limit(versions);
}

void
SoftwareHistory::Limit(Versions& aVersions)
{
  if (aVersions.size() <= kMaxLeftVersions) {
    return;
  }
  auto first = aVersions.end();
  for (auto it = aVersions.begin(); it != aVersions.end(); ++it) {
    const bool isFirst =
      first == aVersions.end() || it->second.mLeftAt < first->second.mLeftAt;
    if (it->second.mCount == 0 && isFirst) {
      first = it;
    }
  }
  if (first != aVersions.end()) {
    aVersions.erase(first);
  }
}

std::vector<std::string>
SoftwareHistory::VersionsSince(const std::string& aService,
                               Instant aSince) const
{
  std::vector<std::string> versions;
  if (const auto it = mServices.find(aService); it != mServices.end()) {
    for (const auto& [software, presence] : it->second) {
      if (presence.mCount > 0 || presence.mLeftAt >= aSince) {
        versions.push_back(software);
      }
    }
  }
  return versions;
}

bool
SoftwareHistory::HasMixed(Duration aWindow, Instant aNow) const
{
  return std::any_of(
    mServices.begin(), mServices.end(), [&](const auto& aService) {
      return IsMixed(aService.first, aWindow, aNow);
    });
}

std::optional<std::string>
SoftwareHistory::SoleVersion(const std::string& aService,
                             Duration aWindow,
                             Instant aNow,
                             WallTime aWall) const
{
  const std::vector<std::string> versions =
    VersionsSince(aService, aNow - aWindow);
  if (versions.size() != 1) {
    return std::nullopt;
  }
  const std::int64_t latest =
    (aWall - std::chrono::duration_cast<std::chrono::milliseconds>(aWindow))
      .time_since_epoch()
      .count();
  const bool isKnown =
    *mStart <= aNow - aWindow ||
    std::all_of(mEndpoints.begin(), mEndpoints.end(), [&](const auto& aIt) {
      const Endpoint& endpoint = aIt.second;
      return endpoint.mService != aService ||
             (endpoint.mIncarnation > 0 && endpoint.mIncarnation <= latest);
    });
  return isKnown ? std::optional(versions.front()) : std::nullopt;
}

} // namespace bulrushfold
