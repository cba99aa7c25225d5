#include "Routing/PlainQueue.h"

#include <algorithm>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<PlainRefusalCause, 5> kCauseNames{ {
  { PlainRefusalCause::Unknown, "unknown" },
  { PlainRefusalCause::NoEndpoint, "no_endpoint" },
  { PlainRefusalCause::QueueFull, "queue_full" },
  { PlainRefusalCause::TargetTooNear, "target_too_near" },
  { PlainRefusalCause::WaitEnded, "wait_ended" },
} };

/** Requests beyond the slots of an endpoint that are on their way to it while
 * others end, so that a slot is not idle for the time of a message. */
constexpr std::uint32_t kOnTheWay = 1;
/** Maximum wait. A daemon that waits longer for an answer assumes that the one
 * that places has failed. */
constexpr Duration kMaxWait = std::chrono::milliseconds(100);
/** Time in a slot that is assumed before the first measurement, in ms. */
constexpr double kInitialServiceTime = 50;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

/** Time until which aDemand may wait if it arrives at aArrival. */
Instant
WaitEnd(const PlainDemand& aDemand, Instant aArrival)
{
  return std::min(aArrival + kMaxWait, aDemand.mTarget);
}
} // namespace

std::string_view
PlainRefusalCauseName(PlainRefusalCause aCause)
{
  return FindEnumName(kCauseNames, aCause);
}

PlainQueue::PlainQueue(const PlainSelector& aSelector)
  : mSelector(aSelector)
{
}

std::optional<EndpointChoice>
PlainQueue::Choose(const PlainDemand& aDemand,
                   bool aIsLimited,
                   Instant aNow) const
{
  auto choice =
    aIsLimited ? mSelector.ChooseFree(
                   aDemand.mService, aDemand.mAttempted, kOnTheWay, aNow)
               : mSelector.Choose(aDemand.mService, aDemand.mAttempted, aNow);
  if (choice && aDemand.mNeedsUntried &&
      aDemand.mAttempted.count(choice->mEndpoint) > 0) {
    choice.reset();
  }
  return choice;
}

bool
PlainQueue::HasEndpoint(const PlainDemand& aDemand, Instant aNow) const
{
  return Choose(aDemand, false, aNow).has_value();
}

std::uint32_t
PlainQueue::CountAhead(const std::string& aService, Instant aWaitEnd) const
{
  return static_cast<std::uint32_t>(std::count_if(
    mWaiting.begin(), mWaiting.upper_bound(aWaitEnd), [&](const auto& aIt) {
      return aIt.second.mDemand.mService == aService;
    }));
}

Duration
PlainQueue::ExpectedWait(const PlainDemand& aDemand, Instant aNow) const
{
  const auto time = mServiceTimes.find(aDemand.mService);
  const double serviceTime =
    time == mServiceTimes.end() ? kInitialServiceTime : time->second.Value();
  const double slots = std::max(mSelector.Slots(aDemand.mService), 1u);
  const auto ahead = CountAhead(aDemand.mService, WaitEnd(aDemand, aNow));
  return FromSeconds((ahead + 1) * serviceTime / slots / 1000);
}

PlainRefusalCause
PlainQueue::FindRefusalCause(const PlainDemand& aDemand, Instant aNow) const
{
  if (!mIsLimited || !HasEndpoint(aDemand, aNow)) {
    return PlainRefusalCause::NoEndpoint;
  }
  const Duration wait = ExpectedWait(aDemand, aNow);
  if (wait > kMaxWait) {
    return PlainRefusalCause::QueueFull;
  }
  return aNow + wait > aDemand.mTarget ? PlainRefusalCause::TargetTooNear
                                       : PlainRefusalCause::Unknown;
}

PlainGrant
PlainQueue::Refuse(const Waiting& aWaiting,
                   PlainRefusalCause aCause,
                   Instant aNow) const
{
  const auto& [demand, since] = aWaiting;
  const auto end = mSelector.FirstBackoffEnd(demand.mService);
  PlainGrant refusal;
  refusal.mNumber = demand.mNumber;
  refusal.mRetryAfter = std::max({ kMinRetryAfter,
                                   ExpectedWait(demand, aNow),
                                   end ? *end - aNow : Duration::zero() });
  refusal.mRefusal = { aCause,
                       CountAhead(demand.mService, WaitEnd(demand, since)),
                       demand.mTarget - aNow,
                       aNow - since };
  return refusal;
}

std::optional<PlainGrant>
PlainQueue::Submit(const PlainDemand& aDemand, Instant aNow)
{
  if (auto choice = Choose(aDemand, mIsLimited, aNow); choice) {
    return PlainGrant{
      aDemand.mNumber, std::move(choice), Duration::zero(), ""
    };
  }
  if (const auto cause = FindRefusalCause(aDemand, aNow);
      cause != PlainRefusalCause::Unknown) {
    return Refuse({ aDemand, aNow }, cause, aNow);
  }
  mWaiting.emplace(WaitEnd(aDemand, aNow), Waiting{ aDemand, aNow });
  return std::nullopt;
}

void
PlainQueue::Withdraw(std::uint64_t aNumber)
{
  const auto it =
    std::find_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aIt) {
      return aIt.second.mDemand.mNumber == aNumber;
    });
  if (it != mWaiting.end()) {
    mWaiting.erase(it);
  }
}

void
PlainQueue::Dispatch(Instant aNow,
                     const std::function<void(const PlainGrant&)>& aOnGrant)
{
  // A grant may submit or withdraw demands, so each one is removed before.
  std::set<std::uint64_t> seen;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    const auto [waitEnd, waiting] = *it;
    if (!seen.insert(waiting.mDemand.mNumber).second) {
      ++it;
      continue;
    }
    auto choice = Choose(waiting.mDemand, mIsLimited, aNow);
    const bool hasWaited = aNow >= waitEnd;
    if (!choice && !hasWaited && HasEndpoint(waiting.mDemand, aNow)) {
      ++it;
      continue;
    }
    mWaiting.erase(it);
    aOnGrant(choice ? PlainGrant{ waiting.mDemand.mNumber,
                                  std::move(choice),
                                  Duration::zero(),
                                  "" }
                    : Refuse(waiting,
                             hasWaited ? PlainRefusalCause::WaitEnded
                                       : PlainRefusalCause::NoEndpoint,
                             aNow));
    it = mWaiting.begin();
  }
}

void
PlainQueue::OnServed(const std::string& aService, Duration aElapsed)
{
  mServiceTimes.try_emplace(aService, kInitialServiceTime)
    .first->second.Add(ToMilliseconds(aElapsed));
}

std::optional<Instant>
PlainQueue::NextWake() const
{
  return mWaiting.empty() ? std::nullopt
                          : std::optional(mWaiting.begin()->first);
}

} // namespace bulrushfold
