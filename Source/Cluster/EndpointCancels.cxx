#include "Cluster/EndpointCancels.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
constexpr Duration kMaxRetry = std::chrono::seconds(30);

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
  const OpenCancel open{ aCancel,
                         aNow + mTiming.mRetryInterval,
                         mTiming.mRetryInterval };
  const bool isNew = mOpen.insert({ KeyOf(aCancel), open }).second;
  return isNew ? std::vector<EndpointCancel>{ aCancel }
               : std::vector<EndpointCancel>();
}

void
EndpointCancels::OnConfirmed(const EndpointCancel& aCancel)
{
  mOpen.erase(KeyOf(aCancel));
}

void
EndpointCancels::OnEndpointGone(const std::string& aEndpoint)
{
  for (auto it = mOpen.begin(); it != mOpen.end();) {
    it = it->second.mAction.mEndpoint == aEndpoint ? mOpen.erase(it)
                                                   : std::next(it);
  }
  mGoneSince.erase(aEndpoint);
}

std::vector<EndpointCancel>
EndpointCancels::Tick(Instant aNow)
{
  std::vector<EndpointCancel> due;
  for (auto& [key, open] : mOpen) {
    if (aNow >= open.mNextSend) {
      open.mRetry = std::min(open.mRetry * 2, kMaxRetry);
      open.mNextSend = aNow + open.mRetry;
      due.push_back(open.mAction);
    }
  }
  return due;
}

IncarnationState
EndpointCancels::FindOwner(const std::string& aOwner) const
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
  std::map<std::string, Instant> goneSince;
  const auto& earlier = mGoneSince[aEndpoint];
  for (const auto& it : aAllocations) {
    const IncarnationState state = FindOwner(it.mOwner);
    if (state == IncarnationState::Unknown) {
      result.mUnknown.push_back(SplitOwner(it.mOwner).first);
    }
    if (state != IncarnationState::Gone) {
      continue;
    }
    const auto old = earlier.find(it.mOwner);
    const Instant since = old == earlier.end() ? aNow : old->second;
    goneSince[it.mOwner] = since;
    if (aNow - since >= mTiming.mReleaseGrace) {
      for (auto& cancel :
           Cancel({ aEndpoint, it.mRequest, it.mAttempt, it.mOwner }, aNow)) {
        result.mCancels.push_back(std::move(cancel));
      }
    }
  }
  mGoneSince[aEndpoint] = std::move(goneSince);
  return result;
}

} // namespace bulrushfold
