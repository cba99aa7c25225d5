#include "Daemon/RequestContext.h"

#include <utility>

#include "Net/SseReader.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kStatusOk = 200;
constexpr int kStatusUnauthorized = 401;

HttpHeaders
ProblemHeaders(const Problem& aProblem, const std::string& aRequestId)
{
  HttpHeaders headers{ { "Content-Type", "application/problem+json" },
                       { "Request-Id", aRequestId } };
  if (aProblem.mRetryAfter) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aProblem.mRetryAfter);
    headers.Add("Retry-After", absl::StrCat(seconds.count()));
  }
  if (ProblemStatus(aProblem.mCause) == kStatusUnauthorized) {
    headers.Add("WWW-Authenticate", "Bearer");
  }
  return headers;
}

Ending
EndingOf(const Problem& aProblem)
{
  if (aProblem.mCause == Cause::DeadlinePassed) {
    return Ending::DeadlinePassed;
  }
  switch (aProblem.mRan) {
    case RanState::No:
      return Ending::Refused;
    case RanState::Yes:
      return Ending::Failed;
    case RanState::Unknown:
      return Ending::Unknown;
  }
  return Ending::Failed;
}
} // namespace

RequestContext::RequestContext(std::shared_ptr<HttpExchange> aExchange,
                               std::string aRequestId,
                               const Clock& aClock)
  : mExchange(std::move(aExchange))
  , mRequestId(std::move(aRequestId))
  , mClock(aClock)
  , mTimeline(mRequestId, aClock.Now(), aClock.Wall())
{
}

void
RequestContext::Enter(Hop aHop)
{
  mTimeline.Enter(aHop, mClock.Now());
}

void
RequestContext::Enter(Hop aHop, const Endpoint& aEndpoint)
{
  mTimeline.Enter(
    aHop, { aEndpoint.mName, aEndpoint.mFailureDomain }, mClock.Now());
}

void
RequestContext::RecordFault(FaultKind aKind)
{
  mTimeline.RecordFault(aKind, mClock.Now());
}

void
RequestContext::Refuse(const Problem& aProblem)
{
  mStatus = ProblemStatus(aProblem.mCause);
  if (mExchange->HasStarted()) {
    mExchange->SendChunk(FormatSseEvent(
      "",
      absl::StrCat("{\"error\":", FormatProblem(aProblem, mRequestId), "}")));
    mExchange->EndStream();
  } else {
    mExchange->Reply(mStatus,
                     ProblemHeaders(aProblem, mRequestId),
                     FormatProblem(aProblem, mRequestId));
  }
  Finish(EndingOf(aProblem), aProblem.mCause);
}

void
RequestContext::Answer(int aStatus,
                       const std::string& aContentType,
                       const std::string& aBody)
{
  mStatus = aStatus;
  mExchange->Reply(
    aStatus,
    { { "Content-Type", aContentType }, { "Request-Id", mRequestId } },
    aBody);
  Finish(Ending::Complete, std::nullopt);
}

void
RequestContext::FinishStream()
{
  mStatus = kStatusOk;
  Finish(Ending::Complete, std::nullopt);
}

void
RequestContext::FinishGone()
{
  Finish(Ending::CallerDisconnected, std::nullopt);
}

std::string
RequestContext::Traceparent() const
{
  return FormatTraceparent({ mTimeline.PartialRecord().mTraceId,
                             mTimeline.CurrentSpanId(),
                             !mParent || mParent->mIsSampled });
}

void
RequestContext::Finish(Ending aEnding, std::optional<Cause> aCause)
{
  if (!std::exchange(mIsFinished, true)) {
    mTimeline.End(aEnding, mClock.Now(), aCause);
    mOver.emit(*this);
  }
}

} // namespace bulrushfold
