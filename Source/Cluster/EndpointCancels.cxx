#include "Cluster/EndpointCancels.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
constexpr Duration kMaxRetryInterval = std::chrono::seconds(30);

std::pair<std::string, std::string>
SplitOwner(const std::string& aOwner)
{
  const auto at = aOwner.find('/');
  if (at == std::string::npos) {
    return { aOwner, {} };
  }
  return { aOwner.substr(0, at), aOwner.substr(at + 1) };
}
} // namespace

EndpointCancels::EndpointCancels(OrderTiming aTiming, IncarnationLookup aLookup)
  : mTiming(aTiming)
  , mLookup(std::move(aLookup))
{
}

EndpointCancels::Key
EndpointCancels::KeyOf(const EndpointCancel& aCancel)
{
  return { aCancel.mEndpoint, aCancel.mRequest, aCancel.mAttempt };
}

std::vector<EndpointCancel>
EndpointCancels::Cancel(const EndpointCancel& aCancel, Instant aNow)
{
  const PendingCancel pending{ aCancel,
                               aNow + mTiming.mRetryInterval,
                               mTiming.mRetryInterval };
  const bool isNew = mPending.insert({ KeyOf(aCancel), pending }).second;
  return isNew ? std::vector<EndpointCancel>{ aCancel }
               : std::vector<EndpointCancel>();
}

void
EndpointCancels::OnConfirmed(const EndpointCancel& aCancel)
{
  mPending.erase(KeyOf(aCancel));
}

void
EndpointCancels::OnEndpointReset(const std::string& aEndpoint)
{
  for (auto it = mPending.begin(); it != mPending.end();) {
    it = it->second.mCancel.mEndpoint == aEndpoint ? mPending.erase(it)
                                                   : std::next(it);
  }
  mEndedSince.erase(aEndpoint);
}

std::vector<EndpointCancel>
EndpointCancels::Tick(Instant aNow)
{
  std::vector<EndpointCancel> due;
  for (auto& [key, pending] : mPending) {
    if (aNow >= pending.mNextSend) {
      pending.mRetryInterval =
        std::min(pending.mRetryInterval * 2, kMaxRetryInterval);
      pending.mNextSend = aNow + pending.mRetryInterval;
      due.push_back(pending.mCancel);
    }
  }
  return due;
}

IncarnationState
EndpointCancels::FindOwnerState(const std::string& aOwner) const
{
  const auto [daemon, incarnation] = SplitOwner(aOwner);
  if (daemon.empty() || incarnation.empty()) {
    return IncarnationState::Unknown;
  }
  return mLookup(daemon, incarnation);
}

AllocationResult
EndpointCancels::OnAllocations(const std::string& aEndpoint,
                               const std::vector<Allocation>& aAllocations,
                               Instant aNow)
{
  AllocationResult result;
  std::map<std::string, Instant> endedSince;
  const auto& earlier = mEndedSince[aEndpoint];
  for (const auto& it : aAllocations) {
    const IncarnationState state = FindOwnerState(it.mOwner);
    if (state == IncarnationState::Unknown) {
      result.mUnknown.push_back(SplitOwner(it.mOwner).first);
    }
    if (state != IncarnationState::Ended) {
      continue;
    }
    const auto old = earlier.find(it.mOwner);
    const Instant since = old == earlier.end() ? aNow : old->second;
    endedSince[it.mOwner] = since;
    if (aNow - since >= mTiming.mReleaseGrace) {
      for (auto& cancel :
           Cancel({ aEndpoint, it.mRequest, it.mAttempt, it.mOwner }, aNow)) {
        result.mCancels.push_back(std::move(cancel));
      }
    }
  }
  mEndedSince[aEndpoint] = std::move(endedSince);
  return result;
}

} // namespace bulrushfold
