#include "Routing/ServiceReach.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** One endpoint alone may have ended. */
constexpr std::size_t kMinFailed = 2;

/** The endpoint sent a complete answer. */
bool
IsAnswer(SendResult aResult)
{
  switch (aResult) {
    case SendResult::Answered:
    case SendResult::ServerError:
    case SendResult::Refused:
    case SendResult::Unready:
      return true;
    case SendResult::ConnectFailed:
    case SendResult::Interrupted:
    case SendResult::Slow:
    case SendResult::TimedOut:
      return false;
  }
  return false;
}
} // namespace

void
ServiceReach::OnResult(const std::string& aService,
                       const std::string& aEndpoint,
                       SendResult aResult,
                       Instant aSentAt,
                       Instant aNow)
{
  State& state = mServices[aService];
  ReachChange change;
  change.mService = aService;
  change.mEndpoint = aEndpoint;
  change.mResult = aResult;
  if (IsAnswer(aResult)) {
    OnAnswer(state, std::move(change), aNow);
  } else if (aSentAt >= state.mAnsweredAt) {
    OnFailure(state, std::move(change), aNow);
  }
}

void
ServiceReach::OnAnswer(State& aState, ReachChange aChange, Instant aNow)
{
  aState.mFailed.clear();
  aState.mAnsweredAt = aNow;
  if (!std::exchange(aState.mIsReachable, true)) {
    aChange.mIsReachable = true;
    aChange.mSpan = aNow - aState.mLostAt;
    mOnChange(aChange);
  }
}

void
ServiceReach::OnFailure(State& aState, ReachChange aChange, Instant aNow)
{
  aState.mFailed.insert(aChange.mEndpoint);
  if (!aState.mIsReachable) {
    return;
  }
  const auto usable = UsableCount(aChange.mService);
  if (aState.mFailed.size() >= std::min(kMinFailed, usable)) {
    aState.mIsReachable = false;
    aState.mLostAt = aNow;
    aChange.mFailed = aState.mFailed.size();
    aChange.mUsable = usable;
    // No answer yet: the time since the start of the daemon is not known here.
    aChange.mSpan =
      aState.mAnsweredAt == Instant() ? Duration{} : aNow - aState.mAnsweredAt;
    mOnChange(aChange);
  }
}

std::size_t
ServiceReach::UsableCount(const std::string& aService) const
{
  std::size_t n = 0;
  for (const auto role :
       { EndpointRole::General, EndpointRole::Prefill, EndpointRole::Decode }) {
    n += mDirectory.Usable(aService, role).size();
  }
  return n;
}

bool
ServiceReach::IsReachable(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() || it->second.mIsReachable;
}

} // namespace bulrushfold
