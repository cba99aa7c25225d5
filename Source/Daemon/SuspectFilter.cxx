#include "Daemon/SuspectFilter.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"
#include "Base/Log.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

SuspectFilter::SuspectFilter(EventLoop& aLoop,
                             const Clock& aClock,
                             ClusterController& aCluster)
  : mLoop(aLoop)
  , mClock(aClock)
  , mCluster(aCluster)
{
  mCluster.mSuspectsDecided.connect(
    [this](const SuspectResult& aResult) { HandleDecision(aResult); });
}

void
SuspectFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  if (!aRequest->mCompletion) {
    aNext();
    return;
  }
  const CompletionRequest& completion = *aRequest->mCompletion;
  const std::string digest = DigestHex(absl::StrCat(aRequest->mWorkspace.mName,
                                                    "\n",
                                                    completion.mModel,
                                                    "\n",
                                                    completion.mPrompt));
  aRequest->mDigest = digest;
  TrackCompletion(aRequest);
  const auto decide = [request = aRequest, next = aNext](bool aMayRun) {
    if (aMayRun) {
      next();
    } else {
      Refuse(*request);
    }
  };
  switch (mCluster.AdmitSuspect(digest)) {
    case SuspectVerdict::Refuse:
      LogSuspect(aRequest);
      Refuse(*aRequest);
      return;
    case SuspectVerdict::Ordinary:
      aNext();
      return;
    case SuspectVerdict::Alone:
      break;
  }
  LogSuspect(aRequest);
  aRequest->Enter(Hop::Queue);
  // Until the request runs, this filter handles a disconnect of the caller and
  // the deadline.
  RequestContext* context = aRequest.get();
  aRequest->Exchange().OnClosed([context] { context->FinishDisconnected(); });
  Enqueue(aRequest, decide);
  const Duration remaining = aRequest->mDeadline - mClock.Now();
  mWaiting[digest].back().mDeadlineTimer =
    mLoop.After(std::max(remaining, Duration(0)), [context] {
      context->Refuse({ Cause::DeadlinePassed,
                        RanState::No,
                        "the deadline passed while another run of this request "
                        "was in progress",
                        std::nullopt });
    });
  mCluster.RequestSuspectRun(digest);
}

void
SuspectFilter::RequestRerun(const RequestPointer& aRequest, Decision aDecision)
{
  aRequest->mRunsAlone = false;
  if (mCluster.AdmitSuspect(aRequest->mDigest) == SuspectVerdict::Refuse) {
    LogSuspect(aRequest);
    mLoop.Defer([decide = std::move(aDecision)] { decide(false); });
    return;
  }
  // The owner of the digest may not have received the crash report yet, so the
  // run is requested even if no crash is counted yet.
  aRequest->Enter(Hop::Queue);
  Enqueue(aRequest, std::move(aDecision));
  mLoop.Defer(
    [this, digest = aRequest->mDigest] { mCluster.RequestSuspectRun(digest); });
}

void
SuspectFilter::Enqueue(const RequestPointer& aRequest, Decision aDecision)
{
  // The entry stays queued until its turn; finished requests are skipped then.
  mWaiting[aRequest->mDigest].push_back(
    { aRequest, std::move(aDecision), EventHandle() });
}

void
SuspectFilter::LogSuspect(const RequestPointer& aRequest) const
{
  LogEvent(LogLevel::Warning,
           "crash_suspect",
           { { "request", aRequest->RequestId() },
             { "digest", aRequest->mDigest },
             { "crashes", mCluster.Crashes(aRequest->mDigest) } });
}

void
SuspectFilter::TrackCompletion(const RequestPointer& aRequest)
{
  aRequest->mFinished.connect([this](const RequestContext& aFinished) {
    const bool isServed = aFinished.Timeline().GetEnding() == Ending::Complete;
    if (isServed) {
      mCluster.ReportSuccess(aFinished.mDigest);
    } else if (aFinished.mRunsAlone) {
      mCluster.ReportRunEnded(aFinished.mDigest);
    }
    if (mWaiting.count(aFinished.mDigest) > 0) {
      mCluster.RequestSuspectRun(aFinished.mDigest);
    }
  });
}

void
SuspectFilter::HandleDecision(const SuspectResult& aResult)
{
  for (const auto& it : aResult.mGranted) {
    RunOne(it);
  }
  for (const auto& it : aResult.mCleared) {
    RunAll(it);
  }
  for (const auto& it : aResult.mRefused) {
    RefuseAll(it);
  }
}

void
SuspectFilter::RunOne(const std::string& aDigest)
{
  auto it = mWaiting.find(aDigest);
  while (it != mWaiting.end() && !it->second.empty()) {
    const WaitingRequest waiting = std::move(it->second.front());
    it->second.pop_front();
    if (it->second.empty()) {
      mWaiting.erase(it);
    }
    if (!waiting.mRequest->Exchange().IsFinished()) {
      waiting.mRequest->mRunsAlone = true;
      waiting.mDecision(true);
      return;
    }
    it = mWaiting.find(aDigest);
  }
  // Every waiting request is finished, so the permit for the run is returned.
  mCluster.ReportRunEnded(aDigest);
}

void
SuspectFilter::RunAll(const std::string& aDigest)
{
  auto waiting = mWaiting.extract(aDigest);
  if (waiting) {
    for (const auto& it : waiting.mapped()) {
      if (!it.mRequest->Exchange().IsFinished()) {
        it.mDecision(true);
      }
    }
  }
}

void
SuspectFilter::RefuseAll(const std::string& aDigest)
{
  auto waiting = mWaiting.extract(aDigest);
  if (waiting) {
    for (const auto& it : waiting.mapped()) {
      if (!it.mRequest->Exchange().IsFinished()) {
        it.mDecision(false);
      }
    }
  }
}

void
SuspectFilter::Refuse(RequestContext& aRequest)
{
  aRequest.Refuse({ Cause::CrashSuspect,
                    RanState::No,
                    "endpoints crashed each time they ran this request",
                    std::nullopt });
}

} // namespace bulrushfold
