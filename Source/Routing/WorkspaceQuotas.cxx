#include "Routing/WorkspaceQuotas.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Time for which the use of a workspace is reported after its last request. */
constexpr Duration kReportTime = std::chrono::seconds(5);
} // namespace

void
WorkspaceQuotas::SetWorkspaces(const std::vector<Workspace>& aWorkspaces)
{
  mQuotas.clear();
  for (const auto& it : aWorkspaces) {
    if (it.mQuota.mRate > 0) {
      mQuotas[it.mName] = it.mQuota;
    }
  }
  for (auto it = mStates.begin(); it != mStates.end();) {
    it = mQuotas.count(it->first) == 0 ? mStates.erase(it) : std::next(it);
  }
}

std::optional<BucketLimits>
WorkspaceQuotas::LimitsOf(const std::string& aWorkspace) const
{
  const auto it = mQuotas.find(aWorkspace);
  if (it == mQuotas.end()) {
    return std::nullopt;
  }
  const double share = std::clamp(mShare(), 0.0, 1.0);
  return BucketLimits{ share * it->second.mRate,
                       share * (it->second.mBurst + mExtraBurst) };
}

WorkspaceQuotas::State&
WorkspaceQuotas::StateOf(const std::string& aWorkspace,
                         const BucketLimits& aLimits,
                         Instant aNow)
{
  return mStates
    .try_emplace(aWorkspace, State{ TokenBucket(aLimits, aNow), 0, aNow })
    .first->second;
}

std::optional<Duration>
WorkspaceQuotas::Take(const PlacementTerms& aTerms, Instant aNow)
{
  if (aTerms.mWorkspace.empty() || aTerms.mCost <= 0) {
    return std::nullopt;
  }
  const auto limits = LimitsOf(aTerms.mWorkspace);
  if (!limits) {
    return std::nullopt;
  }
  State& state = StateOf(aTerms.mWorkspace, *limits, aNow);
  if (!state.mBucket.TryTake(aTerms.mCost, *limits, aNow)) {
    return state.mBucket.WaitFor(aTerms.mCost, *limits);
  }
  state.mUsed += aTerms.mCost;
  state.mUsedAt = aNow;
  return std::nullopt;
}

void
WorkspaceQuotas::Suspend()
{
  for (auto& [name, state] : mStates) {
    state.mBucket.Suspend();
  }
}

void
WorkspaceQuotas::Refund(const PlacementTerms& aTerms)
{
  if (const auto it = mStates.find(aTerms.mWorkspace); it != mStates.end()) {
    it->second.mBucket.Refund(aTerms.mCost);
    it->second.mUsed -= aTerms.mCost;
  }
}

QuotaUses
WorkspaceQuotas::OwnUses(Instant aNow) const
{
  QuotaUses uses;
  for (const auto& [name, state] : mStates) {
    if (aNow - state.mUsedAt < kReportTime) {
      uses[name] = state.mUsed;
    }
  }
  return uses;
}

void
WorkspaceQuotas::SetPeer(const std::string& aPeer,
                         const QuotaUses& aUses,
                         Instant aNow)
{
  const auto [peer, isNew] = mPeers.try_emplace(aPeer);
  for (const auto& [name, units] : aUses) {
    const auto [known, isFirst] = peer->second.try_emplace(name, units);
    const double before = std::exchange(known->second, units);
    // What a peer used before this daemon knew it is no use of the present.
    const bool isBaseline = isNew && isFirst;
    // A peer that has restarted counts from zero.
    const double used = isFirst || units < before ? units : units - before;
    const auto limits = LimitsOf(name);
    if (limits && !isBaseline) {
      StateOf(name, *limits, aNow).mBucket.Take(used);
    }
  }
}

} // namespace bulrushfold
