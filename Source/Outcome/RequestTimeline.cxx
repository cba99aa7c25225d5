#include "Outcome/RequestTimeline.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "Base/Digest.h"
#include "Base/EnumNames.h"
#include "Outcome/RequestId.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<FaultKind, kFaultKindCount> kFaultNames{ {
  { FaultKind::EndpointDied, "endpoint_died" },
  { FaultKind::EndpointTimedOut, "endpoint_silent" },
  { FaultKind::EndpointError, "endpoint_error" },
  { FaultKind::EndpointRefused, "endpoint_refused" },
  { FaultKind::KvEvicted, "kv_evicted" },
  { FaultKind::TransferStalled, "transfer_stalled" },
  { FaultKind::AttemptRefused, "attempt_refused" },
  { FaultKind::PeerLost, "peer_lost" },
  { FaultKind::StoreFailed, "store_failed" },
  { FaultKind::DaemonPaused, "daemon_paused" },
} };

// Bounds the memory of one request that retries or stalls very often. Time of
// further visits is still charged to its hop.
constexpr std::size_t kMaxVisits = 64;
constexpr std::size_t kMaxFaults = 64;
constexpr std::size_t kMaxEndpoints = 16;

/** True when the work of the whole attempt is lost, not only of the hop. */
bool
LosesAttempt(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::EndpointDied:
    case FaultKind::EndpointTimedOut:
    case FaultKind::EndpointError:
    case FaultKind::KvEvicted:
    case FaultKind::AttemptRefused:
      return true;
    default:
      return false;
  }
}
} // namespace

std::string_view
FaultKindName(FaultKind aKind)
{
  return FindEnumName(kFaultNames, aKind);
}

RequestTimeline::RequestTimeline(std::string aRequestId,
                                 Instant aStart,
                                 WallTime aWallStart)
  : mStart(aStart)
  , mLast(aStart)
{
  mPartialRecord.mTraceId = TraceIdOf(aRequestId);
  mPartialRecord.mRequestId = std::move(aRequestId);
  mPartialRecord.mStart = aWallStart;
  OpenVisit(std::nullopt, aStart);
}

void
RequestTimeline::Enter(Hop aHop, Instant aNow)
{
  if (mEnding != Ending::Open || aHop == mHop) {
    return;
  }
  Charge(aNow);
  mHop = aHop;
  OpenVisit(std::nullopt, aNow);
}

void
RequestTimeline::Enter(Hop aHop, const EndpointUse& aEndpoint, Instant aNow)
{
  if (mEnding != Ending::Open) {
    return;
  }
  Charge(aNow);
  mHop = aHop;
  const std::size_t index = IndexOf(aEndpoint);
  mEndpointOf[HopIndex(aHop)] = index;
  OpenVisit(index, aNow);
}

void
RequestTimeline::Expect(Hop aHop, Duration aTime)
{
  mExpected[HopIndex(aHop)] = aTime;
}

void
RequestTimeline::BeginAttempt(Instant aNow)
{
  if (mEnding != Ending::Open) {
    return;
  }
  Charge(aNow);
  ++mPartialRecord.mAttempts;
  if (!mVisits.empty()) {
    mVisits.back().mAttempt = mPartialRecord.mAttempts;
  }
  if (!mFaultIsOpen) {
    Progress();
  }
}

void
RequestTimeline::AddTokens(std::uint64_t aCount, Instant aNow)
{
  if (mEnding != Ending::Open || aCount == 0) {
    return;
  }
  Charge(aNow);
  Progress();
  mPartialRecord.mTokens += aCount;
  if (!mPartialRecord.mFirstToken) {
    mPartialRecord.mFirstToken = aNow - mStart;
  }
}

void
RequestTimeline::RecordFault(FaultKind aKind, Instant aNow)
{
  if (mEnding != Ending::Open || mFaults.size() >= kMaxFaults) {
    return;
  }
  Charge(aNow);
  TimelineFault fault;
  fault.mKind = aKind;
  fault.mHop = mHop;
  fault.mEndpoint = mEndpointOf[HopIndex(mHop)];
  fault.mBeforeFirstToken = !mPartialRecord.mFirstToken;
  fault.mLost =
    LosesAttempt(aKind) ? TakePending(std::nullopt) : TakePending(mHop);
  mFaults.push_back(fault);
  mFaultIsOpen = mPartialRecord.mFirstToken.has_value();
  if (!mVisits.empty()) {
    mVisits.back().mFault = aKind;
  }
}

void
RequestTimeline::NotePause(Duration aGap, Instant aNow)
{
  if (mEnding != Ending::Open || mFaults.size() >= kMaxFaults) {
    return;
  }
  Charge(aNow);
  Duration& pending = mPending[HopIndex(mHop)];
  const Duration lost = std::min(aGap, pending);
  pending -= lost;
  TimelineFault fault;
  fault.mKind = FaultKind::DaemonPaused;
  fault.mHop = mHop;
  fault.mLost = lost;
  fault.mBeforeFirstToken = !mPartialRecord.mFirstToken;
  // The last fault may still cost time; it stays the last one.
  mFaults.insert(mFaultIsOpen ? mFaults.end() - 1 : mFaults.end(), fault);
}

void
RequestTimeline::End(Ending aEnding, Instant aNow, std::optional<Cause> aCause)
{
  if (mEnding != Ending::Open || aEnding == Ending::Open) {
    return;
  }
  Charge(aNow);
  Progress();
  mEnding = aEnding;
  mGivenCause = aCause;
  if (!mVisits.empty()) {
    mVisits.back().mEnd = mLast;
  }
  mPartialRecord.mTotal = Total();
}

std::string
RequestTimeline::CurrentSpanId() const
{
  return SpanIdOf(mPartialRecord.mRequestId, mVisits.size());
}

Duration
RequestTimeline::Productive(Hop aHop, Phase aPhase) const
{
  return mProductive[static_cast<std::size_t>(aPhase)][HopIndex(aHop)];
}

std::optional<Duration>
RequestTimeline::Expected(Hop aHop) const
{
  return mExpected[HopIndex(aHop)];
}

std::optional<std::size_t>
RequestTimeline::EndpointOf(Hop aHop) const
{
  return mEndpointOf[HopIndex(aHop)];
}

void
RequestTimeline::Charge(Instant aNow)
{
  const Duration span = std::max(aNow - mLast, Duration::zero());
  mPartialRecord.mHopTimes[HopIndex(mHop)] += span;
  mPending[HopIndex(mHop)] += span;
  mLast = std::max(mLast, aNow);
}

/** Removes the time since the last progress, of one hop or of all. */
Duration
RequestTimeline::TakePending(std::optional<Hop> aHop)
{
  if (aHop) {
    return std::exchange(mPending[HopIndex(*aHop)], Duration::zero());
  }
  const Duration sum =
    std::accumulate(mPending.begin(), mPending.end(), Duration::zero());
  mPending = {};
  return sum;
}

/** Decides what the time since the last progress was spent on. */
void
RequestTimeline::Progress()
{
  if (mFaultIsOpen) {
    mFaults.back().mLost += TakePending(std::nullopt);
    mFaultIsOpen = false;
    return;
  }
  const Phase phase = mPartialRecord.mFirstToken ? Phase::AfterFirstToken
                                                 : Phase::BeforeFirstToken;
  auto& productive = mProductive[static_cast<std::size_t>(phase)];
  for (std::size_t i = 0; i < kHopCount; ++i) {
    productive[i] += mPending[i];
  }
  mPending = {};
}

void
RequestTimeline::OpenVisit(std::optional<std::size_t> aEndpoint, Instant aNow)
{
  if (mVisitCount > 0 && mVisitCount <= kMaxVisits) {
    mVisits.back().mEnd = aNow;
  }
  if (++mVisitCount > kMaxVisits) {
    return;
  }
  HopVisit visit;
  visit.mHop = mHop;
  visit.mStart = aNow;
  visit.mEnd = aNow;
  visit.mEndpoint = aEndpoint;
  visit.mAttempt = mPartialRecord.mAttempts;
  mVisits.push_back(visit);
}

std::size_t
RequestTimeline::IndexOf(const EndpointUse& aEndpoint)
{
  auto& endpoints = mPartialRecord.mEndpoints;
  const auto it = std::find(endpoints.begin(), endpoints.end(), aEndpoint);
  if (it != endpoints.end()) {
    return static_cast<std::size_t>(it - endpoints.begin());
  }
  if (endpoints.size() >= kMaxEndpoints) {
    endpoints.back() = aEndpoint;
    return endpoints.size() - 1;
  }
  endpoints.push_back(aEndpoint);
  return endpoints.size() - 1;
}

std::string
SpanIdOf(std::string_view aRequestId, std::size_t aIndex)
{
  // The lowest bit keeps the id from being zero, which the format forbids.
  return absl::StrCat(
    absl::Hex(Hash64(aRequestId, aIndex) | 1, absl::kZeroPad16));
}

} // namespace bulrushfold
