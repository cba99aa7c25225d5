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
  , mSince(aNow)
  , mNextAsk(aNow)
{
}

ReadinessResult
ConfigReadiness::Tick(Instant aNow)
{
  ReadinessResult result;
  Update(result);
  if (IsReady() || aNow < mNextAsk) {
    return result;
  }
  mNextAsk = aNow + mAskInterval;
  mAskInterval = std::min(mAskInterval * 2, kMaxAskInterval);
  ++mAttempt;
  for (const auto& it : MissingDomains()) {
    if (const std::string peer = PickPeer(it); !peer.empty()) {
      auto question = mDissemination.MakeDigest(false, true);
      question.round = mRound;
      result.mMessages.push_back({ peer, std::move(question) });
    }
  }
  return result;
}

std::string
ConfigReadiness::PickPeer(const std::string& aDomain)
{
  // Watchers are the first to be ready when all daemons restart together.
  const bool isWatcher = mAttempt % 2 == 1;
  const std::string& self = mMembership.Self().mName;
  auto peers = mMembership.Rings().HoldersWithin(
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
    // The only daemon of its domain has nobody there to ask.
    const bool isAlone =
      isOwn && mMembership.Rings().HoldersWithin("", 2, it).size() < 2;
    if (mCompared.count(it) == 0 && !isAlone) {
      missing.insert(it);
    }
  }
  return missing;
}

bool
ConfigReadiness::Counts(wire::ConfigReadiness::type aPeer, Instant aNow) const
{
  if (aPeer == wire::ConfigReadiness::READY) {
    return true;
  }
  return aPeer == wire::ConfigReadiness::WOKEN && aNow - mSince >= kSettleTime;
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
  const bool isWhole = isEqual || aMessage.isComplete;
  const MemberInfo* peer = mMembership.Find(aFrom);
  if (!isWhole || peer == nullptr || !Counts(aMessage.readiness, aNow)) {
    return result;
  }
  mCompared.insert(peer->mFailureDomain);
  for (const auto& it : aMessage.versions) {
    auto& target = mTargets[it.key];
    target = std::max(target, static_cast<std::uint64_t>(it.version));
  }
  Update(result);
  return result;
}

ReadinessResult
ConfigReadiness::OnStoreListing(Instant aAskedAt)
{
  ReadinessResult result;
  if (aAskedAt < mSince) {
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
  mSince = aNow;
  ++mRound;
  mNextAsk = aNow;
  mAskInterval = kAskInterval;
  mIsStoreCompared = false;
  mCompared.clear();
  mDissemination.SetReadiness(mState);
}

bool
ConfigReadiness::HasTargets() const
{
  return std::all_of(
    mTargets.begin(), mTargets.end(), [this](const auto& aTarget) {
      return mDissemination.Version(aTarget.first) >= aTarget.second;
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
                         MissingDomains().empty() && !mCompared.empty());
  const bool hasPresets = mDissemination.Version(std::string(kPresetsKey)) != 0;
  if (isCompared && hasPresets && HasTargets()) {
    mState = wire::ConfigReadiness::READY;
    mDissemination.SetReadiness(mState);
    aResult.mBecameReady = true;
  }
}

} // namespace bulrushfold
