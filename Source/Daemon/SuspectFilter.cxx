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
  Watch(aRequest);
  const auto decide = [request = aRequest, next = aNext](bool aMayRun) {
    if (aMayRun) {
      next();
    } else {
      Refuse(*request);
    }
  };
  switch (mCluster.AdmitSuspect(digest)) {
    case SuspectVerdict::Refuse:
      Log(aRequest);
      Refuse(*aRequest);
      return;
    case SuspectVerdict::Ordinary:
      aNext();
      return;
    case SuspectVerdict::Alone:
      break;
  }
  Log(aRequest);
  aRequest->Enter(Hop::Queue);
  // Until it runs, its end by caller or deadline is noticed here.
  RequestContext* raw = aRequest.get();
  aRequest->Exchange().OnClosed([raw] { raw->FinishGone(); });
  Hold(aRequest, decide);
  const Duration left = aRequest->mDeadline - mClock.Now();
  mWaiting[digest].back().mDeadlineTimer =
    mLoop.After(std::max(left, Duration(0)), [raw] {
      raw->Refuse({ Cause::DeadlinePassed,
                    RanState::No,
                    "the deadline passed while another run of this request "
                    "was in progress",
                    std::nullopt });
    });
  mCluster.AskSuspectRun(digest);
}

void
SuspectFilter::RunAgain(const RequestPointer& aRequest, Decision aDecision)
{
  aRequest->mRunsAlone = false;
  if (mCluster.AdmitSuspect(aRequest->mDigest) == SuspectVerdict::Refuse) {
    Log(aRequest);
    mLoop.Defer([decide = std::move(aDecision)] { decide(false); });
    return;
  }
  // The report of the crash may still be on its way to the owner, so the run is
  // asked for even where no crash is counted yet.
  aRequest->Enter(Hop::Queue);
  Hold(aRequest, std::move(aDecision));
  mLoop.Defer(
    [this, digest = aRequest->mDigest] { mCluster.AskSuspectRun(digest); });
}

void
SuspectFilter::Hold(const RequestPointer& aRequest, Decision aDecision)
{
  // The entry stays until its turn; a request that is over is passed over then.
  mWaiting[aRequest->mDigest].push_back(
    { aRequest, std::move(aDecision), EventHandle() });
}

void
SuspectFilter::Log(const RequestPointer& aRequest) const
{
  LogEvent(LogLevel::Warning,
           "crash_suspect",
           { { "request", aRequest->RequestId() },
             { "digest", aRequest->mDigest },
             { "crashes", mCluster.Crashes(aRequest->mDigest) } });
}

void
SuspectFilter::Watch(const RequestPointer& aRequest)
{
  aRequest->mOver.connect([this](const RequestContext& aOver) {
    const bool isServed = aOver.Timeline().GetEnding() == Ending::Complete;
    if (isServed) {
      mCluster.ReportSuccess(aOver.mDigest);
    } else if (aOver.mRunsAlone) {
      mCluster.ReportRunEnded(aOver.mDigest);
    }
    if (mWaiting.count(aOver.mDigest) > 0) {
      mCluster.AskSuspectRun(aOver.mDigest);
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
    const Waiting waiting = std::move(it->second.front());
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
  // Every caller that waited is gone, so the run is given back.
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
