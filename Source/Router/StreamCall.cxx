#include "Router/StreamCall.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
/** Longest wait of a stream that is late already. */
constexpr Duration kLateWait = std::chrono::milliseconds(2500);
/** Callers that come in a burst are asked back after it. */
constexpr Duration kOverloadRetry = std::chrono::milliseconds(2500);
/** Part of the expected answer that is reserved with the prompt. */
constexpr double kReservedPart = 0.3;
/** Part of what was generated that is expected to follow at least: an answer
 * that exceeds its expected length is a long one. */
constexpr double kLeastRest = 0.3;
/** Time in which an idle engine answers a reservation. */
constexpr Duration kReserveLimit = std::chrono::milliseconds(300);
/** Time after which a prefill is taken for lost. */
constexpr Duration kPrefillLimit = std::chrono::milliseconds(1500);
/** Time after which a run that could go on elsewhere is taken for lost. */
constexpr Duration kStallLimit = std::chrono::milliseconds(1200);

/** Expected tokens after the first aGenerated of an answer that was expected to
 * have aExpected. */
std::uint64_t
RestOfAnswer(std::uint64_t aExpected, std::uint64_t aGenerated)
{
  const auto least =
    static_cast<std::uint64_t>(kLeastRest * static_cast<double>(aGenerated));
  const std::uint64_t rest =
    aExpected > aGenerated ? aExpected - aGenerated : 0;
  return std::max<std::uint64_t>({ rest, least, 1 });
}

bool
IsEventStream(const HttpHeaders& aHeaders)
{
  constexpr std::string_view kType = "text/event-stream";
  const std::string type = aHeaders.Find("Content-Type").value_or("");
  return type.compare(0, kType.size(), kType) == 0;
}
} // namespace

StreamCall::StreamCall(StreamCallPort& aPort,
                       SharedRetryBudget& aRetryBudget,
                       StreamTerms aTerms)
  : mPort(aPort)
  , mRetryBudget(aRetryBudget)
  , mTerms(std::move(aTerms))
  , mRelay(kMaxEventBytes,
           [this](std::string_view aEvent) { mPort.SendAnswer(aEvent); })
{
  mRelay.SetLastId(mTerms.mLastEventId);
}

void
StreamCall::Start(Instant aNow)
{
  mRetryBudget.OnRequest(mTerms.mCall.mService, aNow);
  // A caller that came back does not come again.
  const bool isBack = mTerms.mFirstArrival || !mTerms.mLastEventId.empty();
  if (!isBack && !mPort.Admits(MakeDemand(aNow))) {
    mState = StreamState::Over;
    mPort.Refuse({ kHttpUnavailable, RefusalReason::Overload, kOverloadRetry });
    return;
  }
  Submit(aNow);
}

Instant
StreamCall::Due(Instant aNow) const
{
  const Route& route = *mTerms.mCall.mRoute;
  if (mHasAnswer) {
    return aNow + route.mEventIntervalTarget;
  }
  // A caller that resumes its stream has waited too long already.
  return mTerms.mLastEventId.empty()
           ? mTerms.mFirstArrival.value_or(mTerms.mCall.mArrival) +
               route.mLatencyTarget
           : mTerms.mCall.mArrival;
}

StreamDemand
StreamCall::MakeDemand(Instant aNow) const
{
  const TokenCounts& tokens = mTerms.mTokens;
  StreamDemand demand;
  demand.mNumber = mTerms.mNumber;
  demand.mService = mTerms.mCall.mService;
  demand.mProfile = mTerms.mProfile;
  demand.mPromptTokens = tokens.mPrompt;
  demand.mGeneratedTokens = std::min<std::uint64_t>(
    mRelay.LastNumber() * mTerms.mProfile.mTokensPerEvent, tokens.mMaxAnswer);
  demand.mMaxAnswerTokens = tokens.mMaxAnswer - demand.mGeneratedTokens;
  demand.mAnswerTokens =
    std::min(RestOfAnswer(mTerms.mAnswerTokens, demand.mGeneratedTokens),
             std::max<std::uint64_t>(demand.mMaxAnswerTokens, 1));
  demand.mFirstEventDeadline = Due(aNow);
  demand.mSubmittedAt = aNow;
  demand.mQueueDeadline =
    std::min(mTerms.mCall.mDeadline,
             (mHasAnswer ? aNow : mTerms.mCall.mArrival) + kLateWait);
  demand.mFailedEndpoints = mFailedEndpoints;
  demand.mPromptKey = mTerms.mPromptKey;
  demand.mWasInterrupted =
    (mRuns > 0 || !mTerms.mLastEventId.empty()) && !mIsPromptLost;
  return demand;
}

void
StreamCall::Submit(Instant aNow)
{
  mState = StreamState::Waiting;
  mPort.WakeAt(mTerms.mCall.mDeadline);
  mPort.RequestPlacement(MakeDemand(aNow));
}

void
StreamCall::SetStallLimit(Duration aLimit, Instant aNow)
{
  mStallAt = aNow + aLimit;
  mPort.WakeAt(std::min(mStallAt, mTerms.mCall.mDeadline));
}

void
StreamCall::OnPlaced(const StreamPlacement& aPlacement, Instant aNow)
{
  mPlacement = aPlacement;
  ++mPlacements;
  if (mTerms.mProfile.mMaxReservation <= Duration::zero()) {
    StartPrefill(aNow);
    return;
  }
  mState = StreamState::Reserving;
  SetStallLimit(kReserveLimit, aNow);
  mPort.Reserve(mPlacement.mDecode, ReservedTokens(aNow));
}

std::uint64_t
StreamCall::ReservedTokens(Instant aNow) const
{
  const StreamDemand demand = MakeDemand(aNow);
  return StartTokens(demand) +
         static_cast<std::uint64_t>(kReservedPart *
                                    static_cast<double>(demand.mAnswerTokens));
}

void
StreamCall::OnNoPlacement(Instant)
{
  if (mState == StreamState::Waiting) {
    Finish(RefusalReason::WaitedTooLong, false);
  }
}

void
StreamCall::OnReserved(const std::string& aReservation, Instant aNow)
{
  if (mState != StreamState::Reserving) {
    return;
  }
  if (!aReservation.empty()) {
    mReservation = aReservation;
    StartPrefill(aNow);
    return;
  }
  mPort.NoteDecodeFull(mPlacement.mDecode, ReservedTokens(aNow));
  ReleaseAll();
  Retry(0, aNow);
}

void
StreamCall::StartPrefill(Instant aNow)
{
  if (mPlacement.mPrefill.empty()) {
    StartDecode(aNow);
    return;
  }
  if (!mPort.IsUsable(mPlacement.mPrefill)) {
    ReleaseAll();
    Retry(0, aNow);
    return;
  }
  mState = StreamState::Prefilling;
  SetStallLimit(kPrefillLimit, aNow);
  mPort.Prefill(mPlacement.mPrefill, mTerms.mCall.mDeadline);
}

void
StreamCall::OnPrefilled(SendEnd aEnd,
                        const KvCache& aCache,
                        Duration aTook,
                        Instant aNow)
{
  if (mState != StreamState::Prefilling) {
    return;
  }
  const bool isDone = aEnd == SendEnd::Answered;
  mPort.ReleasePrefill(isDone ? aTook : Duration::zero());
  if (isDone) {
    mCache = aCache;
    StartDecode(aNow);
    return;
  }
  mFailedEndpoints.insert(mPlacement.mPrefill);
  ReleaseAll();
  // The call that failed, or the one that repeats it, counts as repeated.
  Retry(aEnd == SendEnd::NotSent ? 0 : 1, aNow);
}

void
StreamCall::StartDecode(Instant aNow)
{
  if (!mPort.IsUsable(mPlacement.mDecode)) {
    mFailedEndpoints.insert(mPlacement.mDecode);
    const std::uint32_t repeats = RepeatsToDecode();
    ReleaseAll();
    Retry(repeats, aNow);
    return;
  }
  SendDecode(aNow);
}

void
StreamCall::SendDecode(Instant aNow)
{
  mState = StreamState::Starting;
  if (mTerms.mCall.mRoute->mIsResumable || !mMoveSource.empty()) {
    SetStallLimit(kStallLimit, aNow);
  } else {
    mPort.WakeAt(mTerms.mCall.mDeadline);
  }
  mPort.Decode({ mPlacement.mDecode, mCache, mReservation, mRelay.LastId() },
               mTerms.mCall.mDeadline);
}

void
StreamCall::OnAnswerStarted(SendEnd aEnd,
                            int aStatus,
                            const HttpHeaders& aHeaders,
                            Instant aNow)
{
  if (mState != StreamState::Starting) {
    return;
  }
  if (aEnd != SendEnd::Answered) {
    mPort.CancelSend(aEnd == SendEnd::Unknown ? SendResult::Broken
                                              : SendResult::Refused);
    OnAnswerEnded(aEnd, aNow);
    return;
  }
  // The engine has taken what was kept for this run.
  mCache.reset();
  mReservation.clear();
  mPort.ReleasePrefill(Duration::zero());
  if (aStatus != kHttpOk) {
    mState = StreamState::Failing;
    mFailure = { aStatus, aHeaders, std::string() };
    return;
  }
  mState = StreamState::Streaming;
  mMoveSource.clear();
  mPort.NoteStarted();
  mPort.WakeAt(mTerms.mCall.mDeadline);
  if (std::exchange(mHasAnswer, true)) {
    mIsOneRun = false;
  } else {
    mFirstEventAt = aNow;
    if (!IsEventStream(aHeaders)) {
      mRelay.SetMode(RelayMode::Bytes);
    }
    mPort.StartAnswer(aStatus, aHeaders);
  }
}

void
StreamCall::OnAnswerData(std::string_view aData, Instant aNow)
{
  if (mState == StreamState::Failing) {
    mFailure.mBody.append(aData);
    return;
  }
  if (mState != StreamState::Streaming) {
    return;
  }
  if (mTerms.mCall.mRoute->mIsResumable && !mMove) {
    SetStallLimit(kStallLimit, aNow);
  }
  if (!mRelay.Feed(aData)) {
    mPort.CancelSend(SendResult::Broken);
    OnAnswerEnded(SendEnd::Unknown, aNow);
  }
}

void
StreamCall::OnAnswerEnded(SendEnd aEnd, Instant aNow)
{
  if (mState != StreamState::Starting && mState != StreamState::Streaming &&
      mState != StreamState::Failing) {
    return;
  }
  const bool isWhole = aEnd == SendEnd::Answered;
  if (mState == StreamState::Streaming && isWhole && !mRelay.HoldsPart()) {
    if (mIsOneRun) {
      mPort.NoteAnswer(mRelay.Events(), aNow - mFirstEventAt);
    }
    mPort.ReleaseDecode();
    mState = StreamState::Over;
    mPort.EndAnswer();
    return;
  }
  if (mMove && mState == StreamState::Streaming && !isWhole) {
    mMove->mHasEnded = true;
    ContinueMove(aNow);
    return;
  }
  if (IsCertainlyNotRun(aEnd) && ReturnToSource(aNow)) {
    return;
  }
  const bool hasFailure = mState == StreamState::Failing && isWhole;
  if (!IsCertainlyNotRun(aEnd)) {
    ++mRuns;
    mPort.NoteBroken(mPlacement.mDecode);
  }
  mIsPromptLost = mIsPromptLost || mPlacement.mCachedTokens > 0;
  mFailedEndpoints.insert(mPlacement.mDecode);
  mRelay.Restart();
  // Another run repeats the decode, and the prefill where there was one.
  const std::uint32_t repeats =
    (aEnd == SendEnd::NotSent ? 0 : 1) + RepeatsToDecode();
  ReleaseAll();
  if (hasFailure && !mHasAnswer &&
      (!MayRunAgain() ||
       !mRetryBudget.TryConsume(mTerms.mCall.mService, repeats, aNow))) {
    mState = StreamState::Over;
    mPort.Deliver(mFailure);
    return;
  }
  Retry(hasFailure && !mHasAnswer ? 0 : repeats, aNow);
}

} // namespace bulrushfold
