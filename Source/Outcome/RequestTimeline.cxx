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
  { FaultKind::PeerUnreachable, "peer_lost" },
  { FaultKind::StoreFailed, "store_failed" },
  { FaultKind::DaemonPaused, "daemon_paused" },
} };

// Limits the memory of a request that is retried or stalls very often. The
// times of further visits are still added to the times by hop.
constexpr std::size_t kMaxVisits = 64;
constexpr std::size_t kMaxFaults = 64;
constexpr std::size_t kMaxEndpoints = 16;

/**
 * True when a fault discards the work of the whole attempt, false when it
 * discards only the work of the current hop.
 */
bool
DiscardsAttempt(FaultKind aKind)
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
  , mLastEvent(aStart)
{
  mPartialRecord.mTraceId = TraceIdOf(aRequestId);
  mPartialRecord.mRequestId = std::move(aRequestId);
  mPartialRecord.mStart = aWallStart;
  StartVisit(std::nullopt, aStart);
}

void
RequestTimeline::Enter(Hop aHop, Instant aNow)
{
  if (mEnding != Ending::InProgress || aHop == mCurrentHop) {
    return;
  }
  AddElapsedTime(aNow);
  mCurrentHop = aHop;
  StartVisit(std::nullopt, aNow);
}

void
RequestTimeline::Enter(Hop aHop, const EndpointUse& aEndpoint, Instant aNow)
{
  if (mEnding != Ending::InProgress) {
    return;
  }
  AddElapsedTime(aNow);
  mCurrentHop = aHop;
  const std::size_t index = EndpointIndex(aEndpoint);
  mLastEndpointIndex[HopIndex(aHop)] = index;
  StartVisit(index, aNow);
}

void
RequestTimeline::SetExpectedTime(Hop aHop, Duration aTime)
{
  mExpectedTimes[HopIndex(aHop)] = aTime;
}

void
RequestTimeline::BeginAttempt(Instant aNow)
{
  if (mEnding != Ending::InProgress) {
    return;
  }
  AddElapsedTime(aNow);
  ++mPartialRecord.mAttempts;
  if (!mVisits.empty()) {
    mVisits.back().mAttempt = mPartialRecord.mAttempts;
  }
  if (!mIsFaultOngoing) {
    ClassifyPendingTimes();
  }
}

void
RequestTimeline::AddTokens(std::uint64_t aCount, Instant aNow)
{
  if (mEnding != Ending::InProgress || aCount == 0) {
    return;
  }
  AddElapsedTime(aNow);
  ClassifyPendingTimes();
  mPartialRecord.mTokens += aCount;
  if (!mPartialRecord.mFirstToken) {
    mPartialRecord.mFirstToken = aNow - mStart;
  }
}

void
RequestTimeline::RecordFault(FaultKind aKind, Instant aNow)
{
  if (mEnding != Ending::InProgress || mFaults.size() >= kMaxFaults) {
    return;
  }
  AddElapsedTime(aNow);
  TimelineFault fault;
  fault.mKind = aKind;
  fault.mHop = mCurrentHop;
  fault.mEndpointIndex = mLastEndpointIndex[HopIndex(mCurrentHop)];
  fault.mIsBeforeFirstToken = !mPartialRecord.mFirstToken;
  fault.mLostTime = DiscardsAttempt(aKind) ? CollectPendingTime(std::nullopt)
                                           : CollectPendingTime(mCurrentHop);
  mFaults.push_back(fault);
  mIsFaultOngoing = mPartialRecord.mFirstToken.has_value();
  if (!mVisits.empty()) {
    mVisits.back().mFault = aKind;
  }
}

void
RequestTimeline::RecordPause(Duration aGap, Instant aNow)
{
  if (mEnding != Ending::InProgress || mFaults.size() >= kMaxFaults) {
    return;
  }
  AddElapsedTime(aNow);
  Duration& pending = mPendingTimes[HopIndex(mCurrentHop)];
  const Duration lost = std::min(aGap, pending);
  pending -= lost;
  TimelineFault fault;
  fault.mKind = FaultKind::DaemonPaused;
  fault.mHop = mCurrentHop;
  fault.mLostTime = lost;
  fault.mIsBeforeFirstToken = !mPartialRecord.mFirstToken;
  // The pause is inserted before an ongoing fault, because pending time is
  // added to the last fault.
  mFaults.insert(mIsFaultOngoing ? mFaults.end() - 1 : mFaults.end(), fault);
}

void
RequestTimeline::End(Ending aEnding, Instant aNow, std::optional<Cause> aCause)
{
  if (mEnding != Ending::InProgress || aEnding == Ending::InProgress) {
    return;
  }
  AddElapsedTime(aNow);
  ClassifyPendingTimes();
  mEnding = aEnding;
  mReportedCause = aCause;
  if (!mVisits.empty()) {
    mVisits.back().mEnd = mLastEvent;
  }
  mPartialRecord.mTotal = Total();
}

std::string
RequestTimeline::CurrentSpanId() const
{
  return SpanIdOf(mPartialRecord.mRequestId, mVisits.size());
}

Duration
RequestTimeline::ProductiveTime(Hop aHop, Phase aPhase) const
{
  return mProductiveTimes[static_cast<std::size_t>(aPhase)][HopIndex(aHop)];
}

std::optional<Duration>
RequestTimeline::ExpectedTime(Hop aHop) const
{
  return mExpectedTimes[HopIndex(aHop)];
}

std::optional<std::size_t>
RequestTimeline::LastEndpointIndex(Hop aHop) const
{
  return mLastEndpointIndex[HopIndex(aHop)];
}

void
RequestTimeline::AddElapsedTime(Instant aNow)
{
  const Duration span = std::max(aNow - mLastEvent, Duration::zero());
  mPartialRecord.mHopTimes[HopIndex(mCurrentHop)] += span;
  mPendingTimes[HopIndex(mCurrentHop)] += span;
  mLastEvent = std::max(mLastEvent, aNow);
}

/** Removes and returns the pending time of one hop, or of all hops. */
Duration
RequestTimeline::CollectPendingTime(std::optional<Hop> aHop)
{
  if (aHop) {
    return std::exchange(mPendingTimes[HopIndex(*aHop)], Duration::zero());
  }
  const Duration sum = std::accumulate(
    mPendingTimes.begin(), mPendingTimes.end(), Duration::zero());
  mPendingTimes = {};
  return sum;
}

/** Adds the pending time to the ongoing fault, or to the productive time. */
void
RequestTimeline::ClassifyPendingTimes()
{
  if (mIsFaultOngoing) {
    mFaults.back().mLostTime += CollectPendingTime(std::nullopt);
    mIsFaultOngoing = false;
    return;
  }
  const Phase phase = mPartialRecord.mFirstToken ? Phase::AfterFirstToken
                                                 : Phase::BeforeFirstToken;
  auto& productive = mProductiveTimes[static_cast<std::size_t>(phase)];
  for (std::size_t i = 0; i < kHopCount; ++i) {
    productive[i] += mPendingTimes[i];
  }
  mPendingTimes = {};
}

void
RequestTimeline::StartVisit(std::optional<std::size_t> aEndpoint, Instant aNow)
{
  if (mVisitCount > 0 && mVisitCount <= kMaxVisits) {
    mVisits.back().mEnd = aNow;
  }
  if (++mVisitCount > kMaxVisits) {
    return;
  }
  HopVisit visit;
  visit.mHop = mCurrentHop;
  visit.mStart = aNow;
  visit.mEnd = aNow;
  visit.mEndpointIndex = aEndpoint;
  visit.mAttempt = mPartialRecord.mAttempts;
  mVisits.push_back(visit);
}

std::size_t
RequestTimeline::EndpointIndex(const EndpointUse& aEndpoint)
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
  // A span id must not be zero, so the lowest bit is always set.
  return absl::StrCat(
    absl::Hex(Hash64(aRequestId, aIndex) | 1, absl::kZeroPad16));
}

} // namespace bulrushfold
