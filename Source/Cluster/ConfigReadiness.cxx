#include "Cluster/ConfigReadiness.h"

#include <algorithm>

#include "Cluster/ConfigWatch.h"
#include "Cluster/Configuration.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

ConfigReadiness::ConfigReadiness(Membership& aMembership,
                                 Dissemination& aDissemination,
                                 Instant aNow)
  : mMembership(aMembership)
  , mDissemination(aDissemination)
  , mRoundStart(aNow)
  , mNextQuery(aNow)
{
}

ReadinessResult
ConfigReadiness::Tick(Instant aNow)
{
  ReadinessResult result;
  Update(result);
  if (IsReady() || aNow < mNextQuery) {
    return result;
  }
  mNextQuery = aNow + mQueryInterval;
  mQueryInterval = std::min(mQueryInterval * 2, kMaxQueryInterval);
  ++mAttempt;
  for (const auto& it : MissingDomains()) {
    if (const std::string peer = PickPeer(it); !peer.empty()) {
      auto query = mDissemination.MakeDigest(false, true);
      query.round = mRound;
      result.mMessages.push_back({ peer, std::move(query) });
    }
  }
  return result;
}

std::string
ConfigReadiness::PickPeer(const std::string& aDomain)
{
  // Every second attempt queries a watcher of the store, because watchers
  // become ready first when all daemons restart together.
  const bool isWatcher = mAttempt % 2 == 1;
  const std::string& self = mMembership.Self().mName;
  auto peers = mMembership.Rings().SelectWithinDomain(
    isWatcher ? std::string(ConfigWatch::kElectionKey)
              : absl::StrCat(self, "/", mAttempt),
    ConfigWatch::kWatchers,
    aDomain);
  peers.erase(std::remove(peers.begin(), peers.end(), self), peers.end());
  return peers.empty() ? std::string() : peers[mAttempt / 2 % peers.size()];
}

std::set<std::string>
ConfigReadiness::MissingDomains() const
{
  std::set<std::string> missing;
  for (const auto& it : mMembership.ListedDomains()) {
    const bool isOwn = it == mMembership.Self().mFailureDomain;
    // A domain of which this daemon is the only member has no peer to query.
    const bool isOnlyDaemon =
      isOwn && mMembership.Rings().SelectWithinDomain("", 2, it).size() < 2;
    if (mComparedDomains.count(it) == 0 && !isOnlyDaemon) {
      missing.insert(it);
    }
  }
  return missing;
}

bool
ConfigReadiness::CanConfirm(wire::ConfigReadiness::type aPeer,
                            Instant aNow) const
{
  if (aPeer == wire::ConfigReadiness::READY) {
    return true;
  }
  return aPeer == wire::ConfigReadiness::WOKEN &&
         aNow - mRoundStart >= kSettleTime;
}

ReadinessResult
ConfigReadiness::OnDigest(const std::string& aFrom,
                          const wire::ConfigDigest& aMessage,
                          Instant aNow)
{
  ReadinessResult result;
  if (IsReady() || aMessage.round != mRound) {
    return result;
  }
  const bool isEqual =
    aMessage.hash == mDissemination.MakeDigest(false, false).hash;
  const bool isComplete = isEqual || aMessage.isComplete;
  const MemberInfo* peer = mMembership.Find(aFrom);
  if (!isComplete || peer == nullptr || !CanConfirm(aMessage.readiness, aNow)) {
    return result;
  }
  mComparedDomains.insert(peer->mFailureDomain);
  for (const auto& it : aMessage.versions) {
    auto& target = mTargetVersions[it.key];
    target = std::max(target, static_cast<std::uint64_t>(it.version));
  }
  Update(result);
  return result;
}

ReadinessResult
ConfigReadiness::OnStoreListing(Instant aRequestedAt)
{
  ReadinessResult result;
  if (aRequestedAt < mRoundStart) {
    return result;
  }
  mIsStoreCompared = true;
  Update(result);
  return result;
}

void
ConfigReadiness::OnClockGap(Instant aNow)
{
  if (mState == wire::ConfigReadiness::READY) {
    mState = wire::ConfigReadiness::WOKEN;
  }
  mRoundStart = aNow;
  ++mRound;
  mNextQuery = aNow;
  mQueryInterval = kQueryInterval;
  mIsStoreCompared = false;
  mComparedDomains.clear();
  mDissemination.SetReadiness(mState);
}

bool
ConfigReadiness::HasTargetVersions() const
{
  return std::all_of(mTargetVersions.begin(),
                     mTargetVersions.end(),
                     [this](const auto& aTarget) {
                       return mDissemination.Version(aTarget.first) >=
                              aTarget.second;
                     });
}

void
ConfigReadiness::Update(ReadinessResult& aResult)
{
  if (IsReady()) {
    return;
  }
  const bool isCompared =
    mIsStoreCompared || (!mMembership.ListedDomains().empty() &&
                         MissingDomains().empty() && !mComparedDomains.empty());
  const bool hasPresets = mDissemination.Version(std::string(kPresetsKey)) != 0;
  if (isCompared && hasPresets && HasTargetVersions()) {
    mState = wire::ConfigReadiness::READY;
    mDissemination.SetReadiness(mState);
    aResult.mBecameReady = true;
  }
}

} // namespace bulrushfold
