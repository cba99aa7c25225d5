#include "Router/StreamCall.h"

#include <algorithm>
#include <utility>

#include "Routing/StreamVersion.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
/** Maximum time in the queue, also for a stream that is already late. */
constexpr Duration kMaxQueueTime = std::chrono::milliseconds(2500);
/** Fraction of the expected answer for which memory is reserved in addition to
 * the prompt. */
constexpr double kReservedAnswerRatio = 0.3;
/** Minimum expected rest of an answer, as a fraction of the generated tokens.
 * An answer that exceeds its expected length is likely to be a long one. */
constexpr double kMinRemainderRatio = 0.3;
/** Timeout of a reservation; an idle engine answers it sooner. */
constexpr Duration kReserveTimeout = std::chrono::milliseconds(300);

/** Expected number of tokens that follow the first aGenerated tokens, if the
 * expected length of the whole answer was aExpected. */
std::uint64_t
RemainingAnswerTokens(std::uint64_t aExpected, std::uint64_t aGenerated)
{
  const auto minimum = static_cast<std::uint64_t>(
    kMinRemainderRatio * static_cast<double>(aGenerated));
  const std::uint64_t remainder =
    aExpected > aGenerated ? aExpected - aGenerated : 0;
  return std::max<std::uint64_t>({ remainder, minimum, 1 });
}
} // namespace

StreamCall::StreamCall(StreamCallDelegate& aDelegate,
                       SharedRetryBudget& aRetryBudget,
                       StreamParameters aParameters)
  : mDelegate(aDelegate)
  , mRetryBudget(aRetryBudget)
  , mParameters(std::move(aParameters))
  , mRelay(kMaxEventBytes,
           [this](std::string_view aEvent) { mDelegate.SendAnswer(aEvent); })
{
  mRelay.SetLastId(mParameters.mLastEventId);
}

void
StreamCall::Start(Instant aNow)
{
  mRetryBudget.OnRequest(mParameters.mCall.mService, aNow);
  // A caller that retries or resumes does so only once, so it is not refused
  // again.
  const bool isRetry =
    mParameters.mFirstArrival || !mParameters.mLastEventId.empty();
  if (isRetry || mDelegate.Admits(MakeDemand(aNow))) {
    Submit(aNow);
  } else {
    RefuseForOverload();
  }
}

Instant
StreamCall::NextEventDue(Instant aNow) const
{
  const Route& route = *mParameters.mCall.mRoute;
  if (mHasStartedAnswer) {
    return aNow + route.mEventIntervalTarget;
  }
  // A caller that resumes its stream has already waited too long, so the stream
  // is late from its arrival on.
  return mParameters.mLastEventId.empty()
           ? mParameters.mFirstArrival.value_or(mParameters.mCall.mArrival) +
               route.mLatencyTarget
           : mParameters.mCall.mArrival;
}

bool
StreamCall::MayContinueAt(const std::string& aEndpoint) const
{
  return bulrushfold::MayContinueAt(mSoftware, mDelegate.SoftwareOf(aEndpoint));
}

void
StreamCall::NoteVersion(const std::string& aSoftware)
{
  if (mReportedSoftware != aSoftware) {
    mReportedSoftware = aSoftware;
    mDelegate.ReportVersion(aSoftware, mSoftware.has_value());
  }
}

StreamDemand
StreamCall::MakeDemand(Instant aNow) const
{
  const TokenCounts& tokens = mParameters.mTokens;
  StreamDemand demand;
  demand.mNumber = mParameters.mNumber;
  demand.mService = mParameters.mCall.mService;
  demand.mProfile = mParameters.mProfile;
  demand.mPromptTokens = tokens.mPrompt;
  demand.mGeneratedTokens = std::min<std::uint64_t>(
    mRelay.LastNumber() * mParameters.mProfile.mTokensPerEvent,
    tokens.mMaxAnswer);
  demand.mMaxAnswerTokens = tokens.mMaxAnswer - demand.mGeneratedTokens;
  demand.mAnswerTokens = std::min(
    RemainingAnswerTokens(mParameters.mAnswerTokens, demand.mGeneratedTokens),
    std::max<std::uint64_t>(demand.mMaxAnswerTokens, 1));
  demand.mFirstEventDeadline = NextEventDue(aNow);
  demand.mSubmittedAt = aNow;
  demand.mQueueDeadline = QueueDeadline(aNow);
  demand.mFailedEndpoints = mFailedEndpoints;
  demand.mPromptKey = mParameters.mPromptKey;
  demand.mSoftware = mSoftware;
  demand.mIsRetry = mParameters.mFirstArrival ||
                    !mParameters.mLastEventId.empty() || mPlacementCount > 0;
  const std::uint32_t endedRuns = mPossibleRuns - (mRunAside ? 1 : 0);
  demand.mWasInterrupted =
    (endedRuns > 0 || !mParameters.mLastEventId.empty()) && !mIsPromptLost;
  return demand;
}

Instant
StreamCall::QueueDeadline(Instant aNow) const
{
  // The replacement of a run waits from now on, since the run may still answer.
  const bool hasRun = mHasStartedAnswer || mRunAside.has_value();
  const Instant start = hasRun ? aNow : mParameters.mCall.mArrival;
  return std::min(mParameters.mCall.mDeadline, start + kMaxQueueTime);
}

void
StreamCall::Submit(Instant aNow)
{
  mAttempt.mState = StreamState::Waiting;
  mDelegate.WakeAt(mParameters.mCall.mDeadline);
  mDelegate.RequestPlacement(MakeDemand(aNow));
}

void
StreamCall::SetStallTimeout(Duration aTimeout, Instant aNow)
{
  mStallDeadline = aNow + aTimeout;
  mDelegate.WakeAt(std::min(mStallDeadline, mParameters.mCall.mDeadline));
}

void
StreamCall::WatchRun(Instant aNow)
{
  if (mParameters.mCall.mRoute->mIsResumable) {
    SetStallTimeout(kStallTimeout, aNow);
  } else {
    mDelegate.WakeAt(mParameters.mCall.mDeadline);
  }
}

void
StreamCall::OnPlaced(const StreamPlacement& aPlacement, Instant aNow)
{
  mAttempt.mPlacement = aPlacement;
  ++mPlacementCount;
  if (EndIfPromptRefused(aNow)) {
    return;
  }
  if (mRunAside &&
      mRunAside->mPlacement.mDecode == mAttempt.mPlacement.mDecode) {
    FailAttempt(RefusalReason::NoEndpoint, aNow);
    return;
  }
  if (!MayContinueAt(mAttempt.mPlacement.mDecode)) {
    // The placer knows another version of the engine.
    mFailedEndpoints.insert(mAttempt.mPlacement.mDecode);
    ReleaseAll();
    Retry(0, aNow);
    return;
  }
  NoteVersion(mDelegate.SoftwareOf(mAttempt.mPlacement.mDecode));
  if (mParameters.mProfile.mMaxReservation <= Duration::zero()) {
    StartPrefill(aNow);
    return;
  }
  mAttempt.mState = StreamState::Reserving;
  SetStallTimeout(kReserveTimeout, aNow);
  mDelegate.Reserve(mAttempt.mPlacement.mDecode, ReservedTokens(aNow));
}

std::uint64_t
StreamCall::ReservedTokens(Instant aNow) const
{
  const StreamDemand demand = MakeDemand(aNow);
  return StartTokens(demand) +
         static_cast<std::uint64_t>(kReservedAnswerRatio *
                                    static_cast<double>(demand.mAnswerTokens));
}

void
StreamCall::OnPlacementExpired(Instant aNow)
{
  if (mAttempt.mState == StreamState::Waiting) {
    FailAttempt(RefusalReason::WaitedTooLong, aNow);
  }
}

void
StreamCall::OnUnservable(Duration aRetryAfter, Instant aNow)
{
  if (mAttempt.mState == StreamState::Waiting) {
    FailAttempt(RefusalReason::NoEndpoint, aNow, aRetryAfter);
  }
}

void
StreamCall::OnOverQuota(Duration aRetryAfter, Instant aNow)
{
  if (mAttempt.mState == StreamState::Waiting) {
    FailAttempt(RefusalReason::QuotaExceeded, aNow, aRetryAfter);
  }
}

void
StreamCall::OnReserved(const std::string& aReservation, Instant aNow)
{
  if (mAttempt.mState != StreamState::Reserving) {
    return;
  }
  if (!aReservation.empty()) {
    mAttempt.mReservation = aReservation;
    if (mDelegate.IsUsable(mAttempt.mPlacement.mDecode)) {
      StartPrefill(aNow);
    } else {
      // A prefill for this engine would be repeated for the next one.
      ReleaseAll();
      Retry(0, aNow);
    }
    return;
  }
  mDelegate.ReportDecodeFull(mAttempt.mPlacement.mDecode, ReservedTokens(aNow));
  ReleaseAll();
  Retry(0, aNow);
}

void
StreamCall::StartPrefill(Instant aNow)
{
  if (EndIfPromptRefused(aNow)) {
    return;
  }
  if (!CountReplacement(aNow)) {
    FailAttempt(RefusalReason::RetryBudgetUsed, aNow);
    return;
  }
  if (mAttempt.mPlacement.mPrefill.empty()) {
    StartDecode(aNow);
    return;
  }
  if (!mDelegate.IsUsable(mAttempt.mPlacement.mPrefill)) {
    ReleaseAll();
    Retry(0, aNow);
    return;
  }
  mAttempt.mState = StreamState::Prefilling;
  SetStallTimeout(kPrefillTimeout, aNow);
  mDelegate.Prefill(mAttempt.mPlacement.mPrefill, mParameters.mCall.mDeadline);
}

void
StreamCall::OnPrefilled(SendOutcome aOutcome,
                        const KvCache& aCache,
                        Duration aDuration,
                        Instant aNow)
{
  if (mAttempt.mState != StreamState::Prefilling) {
    return;
  }
  const bool isDone = aOutcome == SendOutcome::Answered;
  mDelegate.ReleasePrefill(isDone ? aDuration : Duration::zero());
  if (isDone) {
    mAttempt.mCache = aCache;
    StartDecode(aNow);
    return;
  }
  mFailedEndpoints.insert(mAttempt.mPlacement.mPrefill);
  ReleaseAll();
  // The failed call and its repetition count as one repeated send.
  Retry(aOutcome == SendOutcome::NotSent ? 0 : 1, aNow);
}

void
StreamCall::StartDecode(Instant aNow)
{
  if (EndIfPromptRefused(aNow)) {
    return;
  }
  if (!mDelegate.IsUsable(mAttempt.mPlacement.mDecode) ||
      !MayContinueAt(mAttempt.mPlacement.mDecode)) {
    mFailedEndpoints.insert(mAttempt.mPlacement.mDecode);
    const std::uint32_t repeats = RepeatedPrefills();
    ReleaseAll();
    Retry(repeats, aNow);
    return;
  }
  ++mPossibleRuns;
  mAttempt.mContinuesRun = false;
  mAttempt.mMoveSource.clear();
  SendDecode(aNow);
}

void
StreamCall::SendDecode(Instant aNow)
{
  mAttempt.mState = StreamState::Starting;
  mAttempt.mSoftware = mDelegate.SoftwareOf(mAttempt.mPlacement.mDecode);
  NoteVersion(mAttempt.mSoftware);
  mAttempt.mIsUnframed = false;
  mAttempt.mMayBeStopped = false;
  mIsReplacementSent = mRunAside.has_value();
  if (mIsReplacementSent) {
    mDelegate.SetRunAsideReading(false);
    SetStallTimeout(kMaxOverlap, aNow);
  } else {
    WatchRun(aNow);
  }
  mDelegate.Decode({ mAttempt.mPlacement.mDecode,
                     mAttempt.mCache,
                     mAttempt.mReservation,
                     mRelay.LastId() },
                   mParameters.mCall.mDeadline);
}

} // namespace bulrushfold
