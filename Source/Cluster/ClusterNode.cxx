#include "Cluster/ClusterNode.h"

#include <iterator>
#include <utility>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
template<typename Item>
void
Append(std::vector<Item>& aTo, std::vector<Item> aMore)
{
  aTo.insert(aTo.end(),
             std::make_move_iterator(aMore.begin()),
             std::make_move_iterator(aMore.end()));
}
} // namespace

ClusterNode::ClusterNode(const MemberInfo& aSelf,
                         MembershipTiming aTiming,
                         ConfigController::Validator aValidator,
                         SuspectLimits aLimits,
                         WallTime aStart,
                         Instant aNow,
                         Random& aRandom)
  : mHeartbeatInterval(aTiming.mHeartbeatInterval)
  , mNextHeartbeat(aNow)
  , mMembership(aSelf, aTiming, aStart, aNow, aRandom)
  , mDissemination(
      aSelf.mName,
      mMembership.Rings(),
      [this] { return mMembership.PickContact(); },
      aNow)
  , mReadiness(mMembership, mDissemination, aNow)
  , mWatch(aSelf.mName,
           aSelf.mFailureDomain,
           mMembership.Rings(),
           aNow,
           aRandom)
  , mController(aSelf.mName,
                aSelf.mFailureDomain,
                mMembership.Rings(),
                mDissemination,
                std::move(aValidator))
  , mCoverage(mMembership, mDissemination)
  , mSuspects(aSelf.mName, mMembership.Rings(), aLimits, aNow)
  , mNextSuspects(aNow)
{
  // Daemons that start together do not send heartbeats in step.
  mNextHeartbeat += Duration(static_cast<std::int64_t>(
    Hash64(aSelf.mName) %
    static_cast<std::uint64_t>(mHeartbeatInterval.count())));
}

void
ClusterNode::Add(MembershipResult aMore, Instant aNow, NodeResult& aResult)
{
  if (aMore.mHasClockGap) {
    aResult.mHasClockGap = true;
    mReadiness.OnClockGap(aNow);
  }
  Append(aResult.mMembers.mJoined, std::move(aMore.mChanges.mJoined));
  Append(aResult.mMembers.mLost, std::move(aMore.mChanges.mLost));
  AppendOutbox(aResult.mMessages, std::move(aMore.mMessages));
}

void
ClusterNode::Add(DisseminationResult aMore, NodeResult& aResult)
{
  Append(aResult.mAdopted, std::move(aMore.mAdopted));
  AppendOutbox(aResult.mMessages, std::move(aMore.mMessages));
}

void
ClusterNode::Add(ReadinessResult aMore, NodeResult& aResult)
{
  AppendOutbox(aResult.mMessages, std::move(aMore.mMessages));
  aResult.mBecameReady = aResult.mBecameReady || aMore.mBecameReady;
}

void
ClusterNode::Add(SuspectResult aMore, NodeResult& aResult)
{
  AppendOutbox(aResult.mMessages, std::move(aMore.mMessages));
  Append(aResult.mSuspects.mGranted, std::move(aMore.mGranted));
  Append(aResult.mSuspects.mCleared, std::move(aMore.mCleared));
  Append(aResult.mSuspects.mRefused, std::move(aMore.mRefused));
}

void
ClusterNode::Add(ConfigControllerResult aMore,
                 Instant aNow,
                 NodeResult& aResult)
{
  Add(std::move(aMore.mSpread), aResult);
  for (const auto& it : aMore.mChanged) {
    if (it.mState == ChangeState::Accepted) {
      mCoverage.Start(it.mId, it.mKey, it.mVersion, aNow);
    }
  }
  Append(aResult.mPuts, std::move(aMore.mPuts));
  Append(aResult.mGets, std::move(aMore.mGets));
  Append(aResult.mChanges, std::move(aMore.mChanged));
}

NodeResult
ClusterNode::Tick(Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  if (aNow >= mNextHeartbeat) {
    // Heartbeats missed in a pause are not made up for.
    mNextHeartbeat = std::max(mNextHeartbeat + mHeartbeatInterval, aNow);
    Add(mMembership.Tick(aNow), aNow, result);
  }
  Add(mDissemination.Tick(aNow), result);
  Add(mReadiness.Tick(aNow), result);
  Add(mController.Tick(aNow), aNow, result);
  AppendOutbox(result.mMessages, mCoverage.Tick(aNow));
  if (aNow >= mNextSuspects) {
    mNextSuspects = aNow + CrashSuspects::kTickInterval;
    Add(mSuspects.Tick(aNow), result);
  }
  result.mWatch = mWatch.Tick(mReadiness.IsReady(), aNow);
  if (result.mWatch == WatchStep::List) {
    mListedAt = aNow;
  }
  return result;
}

NodeResult
ClusterNode::OnMessage(const std::string& aFrom,
                       const ClusterMessage& aMessage,
                       Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  if (const auto* it = std::get_if<wire::Heartbeat>(&aMessage)) {
    Add(mMembership.OnHeartbeat(aFrom, *it, aNow), aNow, result);
  } else if (const auto* it = std::get_if<wire::MembershipSync>(&aMessage)) {
    Add(mMembership.OnSync(aFrom, *it, aNow), aNow, result);
  } else if (const auto* it = std::get_if<wire::ConfigUpdate>(&aMessage)) {
    Add(mDissemination.OnUpdate(aFrom, *it, aNow), result);
  } else if (const auto* it = std::get_if<wire::ConfigFetch>(&aMessage)) {
    Add(mDissemination.OnFetch(aFrom, *it), result);
  } else if (const auto* it = std::get_if<wire::ConfigDigest>(&aMessage)) {
    OnDigest(aFrom, *it, aNow, result);
  } else if (const auto* it = std::get_if<wire::CrashReport>(&aMessage)) {
    Add(mSuspects.OnReport(aFrom, *it, aNow), result);
  }
  return result;
}

void
ClusterNode::OnDigest(const std::string& aFrom,
                      const wire::ConfigDigest& aMessage,
                      Instant aNow,
                      NodeResult& aResult)
{
  Add(mDissemination.OnDigest(aFrom, aMessage, aNow), aResult);
  Add(mReadiness.OnDigest(aFrom, aMessage, aNow), aResult);
  Add(mController.OnDigest(aFrom, aMessage, aNow), aNow, aResult);
  mCoverage.OnDigest(aFrom, aMessage);
}

NodeResult
ClusterNode::OnVmList(const std::vector<VmEntry>& aVms, Instant aNow)
{
  NodeResult result;
  Add(mMembership.OnVmList(aVms, aNow), aNow, result);
  if (!mHasFetchedSuspects) {
    mHasFetchedSuspects = true;
    Add(mSuspects.Fetch(), result);
  }
  return result;
}

NodeResult
ClusterNode::OnListing(const absl::StatusOr<StoreListing>& aListing,
                       Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  if (!aListing.ok()) {
    mWatch.OnListing(aListing.status(), aNow);
    return result;
  }
  for (const auto& it : aListing->mObjects) {
    Add(mDissemination.Learn(it.mKey, it.mVersion, it.mBody), result);
  }
  mWatch.OnListing(aListing->mRevision, aNow);
  Add(mReadiness.OnStoreListing(mListedAt), result);
  return result;
}

NodeResult
ClusterNode::OnWatch(const StoredObject& aObject, Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  mWatch.OnChange(aObject.mVersion);
  Add(mDissemination.Learn(aObject.mKey, aObject.mVersion, aObject.mBody),
      result);
  return result;
}

void
ClusterNode::OnWatchEnd(const absl::Status& aStatus,
                        std::uint64_t aLastRevision,
                        Instant aNow)
{
  mWatch.OnEnd(aStatus, aLastRevision, aNow);
}

NodeResult
ClusterNode::Propose(const ConfigChange& aChange, Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  Add(mController.Propose(aChange, aNow), aNow, result);
  return result;
}

NodeResult
ClusterNode::OnPut(const std::string& aChangeId,
                   const absl::StatusOr<std::uint64_t>& aVersion,
                   Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  Add(mController.OnPut(aChangeId, aVersion, aNow), aNow, result);
  return result;
}

NodeResult
ClusterNode::OnGet(const std::string& aChangeId,
                   const absl::StatusOr<StoredObject>& aObject,
                   Instant aNow)
{
  NodeResult result;
  Add(mMembership.CheckClock(aNow), aNow, result);
  Add(mController.OnGet(aChangeId, aObject, aNow), aNow, result);
  return result;
}

NodeResult
ClusterNode::Leave(Instant aNow)
{
  NodeResult result;
  Add(mMembership.Leave(aNow), aNow, result);
  return result;
}

const CoverageStatus*
ClusterNode::QueryCoverage(const std::string& aKey,
                           std::uint64_t aVersion,
                           Instant aNow)
{
  const std::string id = aKey + "@" + std::to_string(aVersion);
  if (mCoverage.Find(id) == nullptr) {
    mCoverage.Start(id, aKey, aVersion, aNow);
  }
  return mCoverage.Find(id);
}

NodeResult
ClusterNode::RequestRun(const std::string& aDigest, Instant aNow)
{
  NodeResult result;
  Add(mSuspects.RequestRun(aDigest, aNow), result);
  return result;
}

NodeResult
ClusterNode::OnCrash(const std::string& aEndpoint,
                     const std::vector<CrashedRequest>& aRequests,
                     Instant aNow)
{
  NodeResult result;
  Add(mSuspects.OnCrash(aEndpoint, aRequests, aNow), result);
  return result;
}

NodeResult
ClusterNode::OnSuccess(const std::string& aDigest, Instant aNow)
{
  NodeResult result;
  Add(mSuspects.OnSuccess(aDigest, aNow), result);
  return result;
}

NodeResult
ClusterNode::OnRunEnded(const std::string& aDigest, Instant aNow)
{
  NodeResult result;
  Add(mSuspects.OnRunEnded(aDigest, aNow), result);
  return result;
}

} // namespace bulrushfold
