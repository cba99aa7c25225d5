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
  const auto it = mEndpoints.find(aEndpoint.mId);
  if (it != mEndpoints.end() && (it->second.mSoftware != aEndpoint.mSoftware ||
                                 it->second.mService != aEndpoint.mService)) {
    Remove(aEndpoint.mId, aNow);
  }
  mEndpoints[aEndpoint.mId] = { aEndpoint.mService,
                                aEndpoint.mSoftware,
                                aEndpoint.mIncarnation };
}

void
SoftwareHistory::Remove(const std::string& aId, Instant aNow)
{
  const auto node = mEndpoints.extract(aId);
  if (node.empty()) {
    return;
  }
  auto& left = mLeft[node.mapped().mService];
  left[node.mapped().mSoftware] = aNow;
  if (left.size() > kMaxLeftVersions) {
    left.erase(std::min_element(
      left.begin(), left.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
}

std::set<std::string>
SoftwareHistory::VersionsSince(const std::string& aService,
                               Instant aSince) const
{
  std::set<std::string> versions;
  for (const auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mService == aService) {
      versions.insert(endpoint.mSoftware);
    }
  }
  if (const auto it = mLeft.find(aService); it != mLeft.end()) {
    for (const auto& [software, leftAt] : it->second) {
      if (leftAt >= aSince) {
        versions.insert(software);
      }
    }
  }
  return versions;
}

std::optional<std::string>
SoftwareHistory::SoleVersion(const std::string& aService,
                             Duration aWindow,
                             Instant aNow,
                             WallTime aWall) const
{
  const std::set<std::string> versions =
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
  return isKnown ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace bulrushfold
