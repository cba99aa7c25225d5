#include "Router/PlacementMessages.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Encoded age of a run that has not started. */
constexpr std::int32_t kNotStarted = -1;

std::int32_t
MillisecondsUntil(Instant aTime, Instant aNow)
{
  return WholeMilliseconds(aTime - aNow);
}

Duration
Milliseconds(std::int32_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

template<typename Request>
void
SetTerms(const PlacementTerms& aTerms, Request& aRequest)
{
  aRequest.__set_workspace(aTerms.mWorkspace);
  aRequest.__set_urgency(aTerms.mUrgency);
  aRequest.__set_cost(aTerms.mCost);
}

template<typename Request>
PlacementTerms
TermsOf(const Request& aRequest)
{
  return { aRequest.workspace,
           aRequest.urgency,
           aRequest.cost > 0 ? aRequest.cost : 0 };
}
} // namespace

std::int32_t
WholeMilliseconds(Duration aSpan)
{
  return static_cast<std::int32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count());
}

std::uint64_t
NonNegative(std::int64_t aNumber)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aNumber, 0));
}

wire::PlainPlacementRequest
ToWire(const PlainDemand& aDemand, Instant aNow)
{
  wire::PlainPlacementRequest request;
  request.number = static_cast<std::int64_t>(aDemand.mNumber);
  request.serviceName = aDemand.mService;
  request.attempted.assign(aDemand.mAttempted.begin(),
                           aDemand.mAttempted.end());
  request.needsUntried = aDemand.mNeedsUntried;
  request.targetMs = MillisecondsUntil(aDemand.mTarget, aNow);
  SetTerms(aDemand.mTerms, request);
  return request;
}

PlainDemand
FromWire(const wire::PlainPlacementRequest& aRequest, Instant aNow)
{
  return { static_cast<std::uint64_t>(aRequest.number),
           aRequest.serviceName,
           { aRequest.attempted.begin(), aRequest.attempted.end() },
           aRequest.needsUntried,
           aNow + Milliseconds(aRequest.targetMs),
           TermsOf(aRequest) };
}

wire::PlainRefusal
ToWire(const PlainRefusal& aRefusal)
{
  wire::PlainRefusal refusal;
  refusal.cause = static_cast<std::int32_t>(aRefusal.mCause);
  refusal.ahead = static_cast<std::int32_t>(aRefusal.mAhead);
  refusal.targetLeftMs = WholeMilliseconds(aRefusal.mTargetLeft);
  refusal.waitedMs = WholeMilliseconds(aRefusal.mWaited);
  return refusal;
}

PlainRefusal
FromWire(const wire::PlainRefusal& aRefusal)
{
  // A newer daemon may state a cause that this one does not know.
  const bool isKnown =
    aRefusal.cause >= 0 &&
    aRefusal.cause <= static_cast<std::int32_t>(PlainRefusalCause::WaitEnded);
  return { isKnown ? static_cast<PlainRefusalCause>(aRefusal.cause)
                   : PlainRefusalCause::Unknown,
           static_cast<std::uint32_t>(NonNegative(aRefusal.ahead)),
           Milliseconds(aRefusal.targetLeftMs),
           Milliseconds(aRefusal.waitedMs) };
}

PlainGrant
OverQuotaGrant(std::uint64_t aNumber, Duration aWait)
{
  PlainGrant refusal;
  refusal.mNumber = aNumber;
  refusal.mRetryAfter = aWait;
  refusal.mIsOverQuota = true;
  return refusal;
}

wire::PlainPlacementReply
ToWire(const PlainGrant& aGrant)
{
  wire::PlainPlacementReply reply;
  reply.retryAfterMs = WholeMilliseconds(aGrant.mRetryAfter);
  reply.__set_isOverQuota(aGrant.mIsOverQuota);
  if (aGrant.mChoice) {
    reply.endpoint = aGrant.mChoice->mEndpoint;
    reply.load = aGrant.mChoice->mLoad;
    reply.candidates =
      static_cast<std::int32_t>(aGrant.mChoice->mCandidateCount);
  } else if (!aGrant.mIsOverQuota) {
    reply.__set_refusal(ToWire(aGrant.mRefusal));
  }
  return reply;
}

PlainGrant
FromWire(const wire::PlainPlacementReply& aReply, std::uint64_t aNumber)
{
  PlainGrant grant;
  grant.mNumber = aNumber;
  grant.mRetryAfter = Milliseconds(std::max(aReply.retryAfterMs, 0));
  grant.mIsOverQuota = aReply.isOverQuota;
  if (!aReply.endpoint.empty()) {
    grant.mChoice = EndpointChoice{ aReply.endpoint,
                                    aReply.load,
                                    NonNegative(aReply.candidates) };
  }
  if (aReply.__isset.refusal) {
    grant.mRefusal = FromWire(aReply.refusal);
  }
  return grant;
}

wire::StreamPlacementRequest
ToWire(const StreamDemand& aDemand, Instant aNow)
{
  wire::StreamPlacementRequest request;
  request.number = static_cast<std::int64_t>(aDemand.mNumber);
  request.serviceName = aDemand.mService;
  request.promptTokens = static_cast<std::int32_t>(aDemand.mPromptTokens);
  request.generatedTokens = static_cast<std::int32_t>(aDemand.mGeneratedTokens);
  request.answerTokens = static_cast<std::int32_t>(aDemand.mAnswerTokens);
  request.mostTokens = static_cast<std::int32_t>(aDemand.mMaxAnswerTokens);
  request.firstEventMs = MillisecondsUntil(aDemand.mFirstEventDeadline, aNow);
  request.queueMs = MillisecondsUntil(aDemand.mQueueDeadline, aNow);
  request.failedEndpoints.assign(aDemand.mFailedEndpoints.begin(),
                                 aDemand.mFailedEndpoints.end());
  request.promptKey = static_cast<std::int64_t>(aDemand.mPromptKey);
  request.wasInterrupted = aDemand.mWasInterrupted;
  request.isRetry = aDemand.mIsRetry;
  request.requestHash = static_cast<std::int64_t>(aDemand.mRequestHash);
  request.memoryTokens =
    static_cast<std::int64_t>(aDemand.mProfile.mMemoryTokens);
  SetTerms(aDemand.mTerms, request);
  if (aDemand.mSoftware) {
    request.__set_software(*aDemand.mSoftware);
  }
  if (aDemand.mStream != 0) {
    request.__set_stream(static_cast<std::int64_t>(aDemand.mStream));
    request.__set_resumableMs(MillisecondsUntil(aDemand.mResumableUntil, aNow));
  }
  return request;
}

StreamDemand
FromWire(const wire::StreamPlacementRequest& aRequest, Instant aNow)
{
  StreamDemand demand;
  demand.mNumber = static_cast<std::uint64_t>(aRequest.number);
  demand.mService = aRequest.serviceName;
  demand.mProfile.mMemoryTokens = NonNegative(aRequest.memoryTokens);
  demand.mPromptTokens = NonNegative(aRequest.promptTokens);
  demand.mGeneratedTokens = NonNegative(aRequest.generatedTokens);
  demand.mAnswerTokens = NonNegative(aRequest.answerTokens);
  demand.mMaxAnswerTokens = NonNegative(aRequest.mostTokens);
  demand.mFirstEventDeadline = aNow + Milliseconds(aRequest.firstEventMs);
  demand.mSubmittedAt = aNow;
  demand.mQueueDeadline = aNow + Milliseconds(aRequest.queueMs);
  demand.mFailedEndpoints = { aRequest.failedEndpoints.begin(),
                              aRequest.failedEndpoints.end() };
  demand.mPromptKey = static_cast<std::uint64_t>(aRequest.promptKey);
  demand.mWasInterrupted = aRequest.wasInterrupted;
  demand.mIsRetry = aRequest.isRetry;
  demand.mRequestHash = static_cast<std::uint64_t>(aRequest.requestHash);
  demand.mTerms = TermsOf(aRequest);
  if (aRequest.__isset.software) {
    demand.mSoftware = aRequest.software;
  }
  if (aRequest.stream != 0) {
    demand.mStream = static_cast<std::uint64_t>(aRequest.stream);
    demand.mResumableUntil = aNow + Milliseconds(aRequest.resumableMs);
  }
  return demand;
}

wire::StreamOrigin
ToWire(const StreamOrigin& aOrigin, Instant aNow)
{
  wire::StreamOrigin origin;
  origin.stream = static_cast<std::int64_t>(aOrigin.mStream);
  origin.serviceName = aOrigin.mService;
  origin.software = aOrigin.mSoftware;
  origin.leftMs = MillisecondsUntil(aOrigin.mUntil, aNow);
  origin.__set_hasBegun(aOrigin.mHasBegun);
  return origin;
}

StreamOrigin
FromWire(const wire::StreamOrigin& aOrigin, Instant aNow)
{
  return { static_cast<std::uint64_t>(aOrigin.stream),
           aOrigin.serviceName,
           aOrigin.software,
           aNow + Milliseconds(aOrigin.leftMs),
           aOrigin.hasBegun };
}

wire::StreamPlacementReply
ToWire(const StreamPlacement& aPlacement)
{
  wire::StreamPlacementReply reply;
  reply.result = wire::StreamPlacementResult::PLACED;
  reply.decode = aPlacement.mDecode;
  reply.decodeRuns = static_cast<std::int32_t>(aPlacement.mDecodeRuns);
  reply.decodePeak = aPlacement.mDecodePeak;
  reply.prefill = aPlacement.mPrefill;
  reply.prefillRequests =
    static_cast<std::int32_t>(aPlacement.mPrefillLoad.mRequests);
  reply.prefillTokens =
    static_cast<std::int64_t>(aPlacement.mPrefillLoad.mPrefillTokens);
  reply.cachedTokens = static_cast<std::int64_t>(aPlacement.mCachedTokens);
  return reply;
}

StreamPlacement
FromWire(const wire::StreamPlacementReply& aReply, std::uint64_t aNumber)
{
  StreamPlacement placement;
  placement.mNumber = aNumber;
  placement.mDecode = aReply.decode;
  placement.mPrefill = aReply.prefill;
  placement.mDecodeRuns = NonNegative(aReply.decodeRuns);
  placement.mDecodePeak = aReply.decodePeak;
  placement.mPrefillLoad = { static_cast<std::uint32_t>(
                               NonNegative(aReply.prefillRequests)),
                             NonNegative(aReply.prefillTokens) };
  placement.mCachedTokens = NonNegative(aReply.cachedTokens);
  return placement;
}

wire::FeedPosition
ToWire(const FeedPosition& aPosition)
{
  wire::FeedPosition position;
  position.prefix = aPosition.mPrefix;
  position.revision = static_cast<std::int64_t>(aPosition.mRevision);
  position.feed = aPosition.mFeed;
  position.sequence = static_cast<std::int64_t>(aPosition.mSequence);
  return position;
}

FeedPosition
FromWire(const wire::FeedPosition& aPosition)
{
  return { aPosition.prefix,
           NonNegative(aPosition.revision),
           aPosition.feed,
           NonNegative(aPosition.sequence) };
}

wire::FeedUpdate
ToWire(const FeedUpdate& aUpdate)
{
  wire::FeedUpdate update;
  update.prefix = aUpdate.mPrefix;
  update.isCurrent = aUpdate.mIsCurrent;
  update.feed = aUpdate.mFeed;
  update.sequence = static_cast<std::int64_t>(aUpdate.mSequence);
  for (const auto& it : aUpdate.mChanges) {
    wire::FeedObject object;
    object.key = it.mObject.mKey;
    object.version = static_cast<std::int64_t>(it.mObject.mVersion);
    object.body = it.mObject.mBody;
    object.isDeleted = it.mObject.mIsDeleted;
    object.isLarge = it.mIsLarge;
    update.changes.push_back(std::move(object));
  }
  if (aUpdate.mKeys) {
    update.__set_keys({ aUpdate.mKeys->begin(), aUpdate.mKeys->end() });
  }
  update.__set_version(static_cast<std::int64_t>(aUpdate.mVersion));
  return update;
}

FeedUpdate
FromWire(const wire::FeedUpdate& aUpdate)
{
  FeedUpdate update{ aUpdate.prefix,
                     aUpdate.isCurrent,
                     aUpdate.feed,
                     NonNegative(aUpdate.sequence),
                     {},
                     std::nullopt,
                     NonNegative(aUpdate.version) };
  for (const auto& it : aUpdate.changes) {
    update.mChanges.push_back(
      { { it.key, NonNegative(it.version), it.body, it.isDeleted },
        it.isLarge });
  }
  if (aUpdate.__isset.keys) {
    update.mKeys.emplace(aUpdate.keys.begin(), aUpdate.keys.end());
  }
  return update;
}

wire::StreamRun
ToWire(const StreamRun& aRun, Instant aNow)
{
  wire::StreamRun run;
  run.number = static_cast<std::int64_t>(aRun.mNumber);
  run.endpoint = aRun.mEndpoint;
  run.promptTokens = static_cast<std::int32_t>(aRun.mPromptTokens);
  run.answerTokens = static_cast<std::int32_t>(aRun.mAnswerTokens);
  run.mostTokens = static_cast<std::int32_t>(aRun.mMaxAnswerTokens);
  run.ageMs =
    aRun.mStartedAt ? WholeMilliseconds(aNow - *aRun.mStartedAt) : kNotStarted;
  run.promptKey = static_cast<std::int64_t>(aRun.mPromptKey);
  return run;
}

StreamRun
FromWire(const wire::StreamRun& aRun, Instant aNow)
{
  StreamRun run{ static_cast<std::uint64_t>(aRun.number),
                 aRun.endpoint,
                 NonNegative(aRun.promptTokens),
                 NonNegative(aRun.answerTokens),
                 NonNegative(aRun.mostTokens),
                 std::nullopt,
                 static_cast<std::uint64_t>(aRun.promptKey) };
  if (aRun.ageMs != kNotStarted) {
    run.mStartedAt = aNow - Milliseconds(aRun.ageMs);
  }
  return run;
}

} // namespace bulrushfold
