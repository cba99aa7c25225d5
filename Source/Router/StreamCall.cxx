#include "Router/StreamCall.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<StreamState, 7> kStateNames{ {
  { StreamState::Waiting, "waiting" },
  { StreamState::Reserving, "reserving" },
  { StreamState::Prefilling, "prefilling" },
  { StreamState::Starting, "starting" },
  { StreamState::Streaming, "streaming" },
  { StreamState::Failing, "failing" },
  { StreamState::Over, "over" },
} };

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
/** Placements of one stream; bounds a loop of refusals. */
constexpr std::uint32_t kMaxPlacements = 40;
/** Longest wait of a stream that is late already. */
constexpr Duration kLateWait = std::chrono::milliseconds(2500);
constexpr Duration kRetryAfter = std::chrono::milliseconds(500);
/** Callers that come in a burst are asked back after it. */
constexpr Duration kOverloadRetry = std::chrono::milliseconds(2500);
/** Part of the expected answer that is reserved with the prompt. */
constexpr double kReservedPart = 0.3;
/** Time in which an idle engine answers a reservation. */
constexpr Duration kReserveLimit = std::chrono::milliseconds(300);
/** Time after which a prefill is taken for lost. */
constexpr Duration kPrefillLimit = std::chrono::milliseconds(1500);
/** Time in which a run is stopped and copied. */
constexpr Duration kMoveLimit = std::chrono::milliseconds(800);
constexpr std::uint32_t kMaxMoves = 3;
/** Time after which a run that could go on elsewhere is taken for lost. */
constexpr Duration kStallLimit = std::chrono::milliseconds(1200);

bool
IsEventStream(const HttpHeaders& aHeaders)
{
  constexpr std::string_view kType = "text/event-stream";
  const std::string type = aHeaders.Find("Content-Type").value_or("");
  return type.compare(0, kType.size(), kType) == 0;
}
} // namespace

std::string_view
StreamStateName(StreamState aState)
{
  return FindEnumName(kStateNames, aState);
}

StreamCall::StreamCall(StreamCallPort& aPort,
                       RetryAllowance& aRetries,
                       StreamTerms aTerms)
  : mPort(aPort)
  , mRetries(aRetries)
  , mTerms(std::move(aTerms))
  , mRelay(kMaxEventBytes,
           [this](std::string_view aEvent) { mPort.SendAnswer(aEvent); })
{
  mRelay.SetLastId(mTerms.mLastEventId);
}

void
StreamCall::Start(Instant aNow)
{
  mRetries.OnRequest(mTerms.mCall.mService, aNow);
  // A caller that came back does not come again.
  if (!mTerms.mFirstArrival && !mPort.Admits(MakeDemand(aNow))) {
    mState = StreamState::Over;
    mPort.Refuse({ kUnavailable, RefusalReason::Overload, kOverloadRetry });
    return;
  }
  Submit(aNow);
}

StreamDemand
StreamCall::MakeDemand(Instant aNow) const
{
  StreamDemand demand;
  demand.mNumber = mTerms.mNumber;
  demand.mService = mTerms.mCall.mService;
  demand.mProfile = mTerms.mProfile;
  demand.mPromptTokens = mTerms.mTokens.mPrompt;
  demand.mAnswerTokens = mTerms.mAnswerTokens;
  demand.mMostTokens = mTerms.mTokens.mMaxAnswer;
  demand.mDue = mTerms.mFirstArrival.value_or(mTerms.mCall.mArrival) +
                mTerms.mCall.mRoute->mLatencyGoal;
  demand.mGiveUp =
    std::min(mTerms.mCall.mDeadline, mTerms.mCall.mArrival + kLateWait);
  if (mHasAnswer) {
    demand.mGiveUp = std::min(mTerms.mCall.mDeadline, aNow + kLateWait);
  }
  demand.mTried = mTried;
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
  mPort.Reserve(mPlacement.mDecode, ReservedTokens());
}

std::uint64_t
StreamCall::ReservedTokens() const
{
  return mTerms.mTokens.mPrompt +
         static_cast<std::uint64_t>(kReservedPart *
                                    static_cast<double>(mTerms.mAnswerTokens));
}

void
StreamCall::OnNoPlacement(Instant)
{
  if (mState == StreamState::Waiting) {
    Finish(SendEnd::NotSent, RefusalReason::WaitedTooLong, false);
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
  mPort.NoteDecodeFull(mPlacement.mDecode, ReservedTokens());
  ReleaseAll();
  Retry(SendEnd::NotSent, 0, aNow);
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
    Retry(SendEnd::NotSent, 0, aNow);
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
  mTried.insert(mPlacement.mPrefill);
  ReleaseAll();
  // The call that failed, or the one that repeats it, counts as repeated.
  Retry(aEnd, aEnd == SendEnd::NotSent ? 0 : 1, aNow);
}

void
StreamCall::StartDecode(Instant aNow)
{
  if (!mPort.IsUsable(mPlacement.mDecode)) {
    mTried.insert(mPlacement.mDecode);
    const std::uint32_t repeats = RepeatsToDecode();
    ReleaseAll();
    Retry(SendEnd::NotSent, repeats, aNow);
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
  if (aStatus != kOk) {
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
  }
  mTried.insert(mPlacement.mDecode);
  mRelay.Restart();
  // Another run repeats the decode, and the prefill where there was one.
  const std::uint32_t repeats =
    (aEnd == SendEnd::NotSent ? 0 : 1) + RepeatsToDecode();
  ReleaseAll();
  if (hasFailure && !mHasAnswer &&
      (!MayRunAgain() ||
       !mRetries.Take(mTerms.mCall.mService, repeats, aNow))) {
    mState = StreamState::Over;
    mPort.Deliver(mFailure);
    return;
  }
  Retry(aEnd, hasFailure && !mHasAnswer ? 0 : repeats, aNow);
}

void
StreamCall::StartMove(const std::string& aTarget, Instant aNow)
{
  if (mState != StreamState::Streaming || mMove || mMoves >= kMaxMoves ||
      mRelay.Events() == 0 || mRelay.LastId().empty() ||
      !mRetries.Take(mTerms.mCall.mService, 1, aNow)) {
    return;
  }
  ++mMoves;
  mMove = RunMove{ mPlacement.mDecode, aTarget, false, false, {}, false };
  mPort.NoteMoved(aTarget);
  SetStallLimit(kMoveLimit, aNow);
  mPort.Move(mPlacement.mDecode, aTarget);
}

void
StreamCall::OnMoveAnswered(const std::optional<KvCache>& aCache,
                           bool aIsCopied,
                           Instant aNow)
{
  if (!mMove) {
    if (aCache) {
      mPort.DropCache(*aCache);
    }
    return;
  }
  mMove->mIsAnswered = true;
  mMove->mCache = aCache;
  mMove->mIsCopied = aIsCopied;
  ContinueMove(aNow);
}

void
StreamCall::ContinueMove(Instant aNow)
{
  if (mMove->mIsAnswered && !mMove->mCache) {
    // The run goes on where it was, or it ended meanwhile.
    const RunMove move = *std::exchange(mMove, std::nullopt);
    mPort.NoteMoved(move.mSource);
    if (move.mHasEnded) {
      OnAnswerEnded(SendEnd::Unknown, aNow);
    } else {
      mPort.WakeAt(mTerms.mCall.mDeadline);
    }
    return;
  }
  if (!mMove->mIsAnswered || !mMove->mHasEnded) {
    return;
  }
  const RunMove move = *std::exchange(mMove, std::nullopt);
  mRelay.Restart();
  mCache = move.mCache;
  mPlacement.mPrefill.clear();
  mPlacement.mDecode = move.mIsCopied ? move.mTarget : move.mSource;
  mMoveSource = move.mIsCopied ? move.mSource : std::string();
  mPort.NoteMoved(mPlacement.mDecode);
  SendDecode(aNow);
}

bool
StreamCall::ReturnToSource(Instant aNow)
{
  if (mState != StreamState::Starting || mMoveSource.empty() || !mCache ||
      !mRetries.Take(mTerms.mCall.mService, 1, aNow)) {
    return false;
  }
  mPlacement.mDecode = std::exchange(mMoveSource, std::string());
  mPort.NoteMoved(mPlacement.mDecode);
  SendDecode(aNow);
  return true;
}

std::uint32_t
StreamCall::RepeatsToDecode() const
{
  return mPlacement.mPrefill.empty() ? 0 : 1;
}

bool
StreamCall::MayRunAgain() const
{
  if (mRuns == 0) {
    return true;
  }
  const Route& route = *mTerms.mCall.mRoute;
  return route.mIsResumable && mRuns < route.mMaxAttempts;
}

void
StreamCall::Retry(SendEnd aEnd, std::uint32_t aRepeats, Instant aNow)
{
  const bool isUseful = aNow < mTerms.mCall.mDeadline &&
                        mPlacements < kMaxPlacements && MayRunAgain();
  if (isUseful && mRetries.Take(mTerms.mCall.mService, aRepeats, aNow)) {
    Submit(aNow);
    return;
  }
  Finish(aEnd, RefusalReason::EndpointsFull, false);
}

void
StreamCall::ReleaseAll()
{
  mPort.ReleasePrefill(Duration::zero());
  mPort.ReleaseDecode();
  if (mCache) {
    mPort.DropCache(*mCache);
    mCache.reset();
  }
  if (!mReservation.empty()) {
    mPort.DropReservation(mPlacement.mDecode, mReservation);
    mReservation.clear();
  }
}

void
StreamCall::Finish(SendEnd, RefusalReason aReason, bool aIsTimeout)
{
  mState = StreamState::Over;
  if (mHasAnswer) {
    mPort.BreakAnswer(aReason);
  } else if (mRuns > 0) {
    mPort.Refuse(
      { aIsTimeout ? kGatewayTimeout : kBadGateway,
        aIsTimeout ? RefusalReason::Timeout : RefusalReason::OutcomeUnknown,
        Duration::zero() });
  } else {
    mPort.Refuse({ kUnavailable, aReason, kRetryAfter });
  }
}

void
StreamCall::HandleStall(Instant aNow)
{
  switch (mState) {
    case StreamState::Reserving:
      mPort.CancelSend(SendResult::Slow);
      OnReserved("", aNow);
      return;
    case StreamState::Prefilling:
      mPort.CancelSend(SendResult::Slow);
      OnPrefilled(SendEnd::Unknown, {}, Duration::zero(), aNow);
      return;
    case StreamState::Starting:
    case StreamState::Streaming:
    case StreamState::Failing:
      mMove.reset();
      mPort.CancelSend(SendResult::Slow);
      OnAnswerEnded(SendEnd::Unknown, aNow);
      return;
    case StreamState::Waiting:
    case StreamState::Over:
      return;
  }
}

void
StreamCall::OnWake(Instant aNow)
{
  if (mState == StreamState::Over) {
    return;
  }
  if (aNow < mTerms.mCall.mDeadline) {
    HandleStall(aNow);
    return;
  }
  if (mState == StreamState::Waiting) {
    mPort.WithdrawPlacement();
  } else {
    if (mState != StreamState::Reserving && mState != StreamState::Prefilling) {
      ++mRuns;
    }
    mPort.CancelSend(SendResult::Slow);
  }
  ReleaseAll();
  Finish(SendEnd::Unknown, RefusalReason::Timeout, true);
}

void
StreamCall::OnCallerGone(Instant)
{
  if (mState == StreamState::Over) {
    return;
  }
  if (mState == StreamState::Waiting) {
    mPort.WithdrawPlacement();
  } else {
    mPort.CancelSend(SendResult::Answered);
  }
  ReleaseAll();
  mState = StreamState::Over;
}

} // namespace bulrushfold
