#include "Router/StreamSession.h"

namespace bulrushfold {

void
StreamSession::ResolveVersion()
{
  ResumedStream stream;
  stream.mStream = mRequest->StreamKey();
  stream.mService = mRequest->mParameters.mService;
  stream.mIsNamed = !mRequest->mMetadata.mResumedAttempt.empty();
  stream.mWindow = mRequest->ResumableTime();
  mServices.mOriginExchange.Resolve(
    stream,
    [this, self = mSelf](const VersionDecision& aDecision,
                         const StreamOriginExchange::QuestionCounts& aCounts) {
      // The caller may have disconnected meanwhile.
      if (mSelf) {
        HandleVersion(aDecision, aCounts);
      }
    });
}

void
StreamSession::HandleVersion(
  const VersionDecision& aDecision,
  const StreamOriginExchange::QuestionCounts& aCounts)
{
  mServices.mLog.VersionDecided(
    *mRequest, aDecision, aCounts.mAsked, aCounts.mAnswered);
  if (aDecision.mSource == VersionSource::Unknown) {
    mCall.RefuseUnknownVersion();
    return;
  }
  mCall.BindTo(*aDecision.mSoftware);
  FindCachedPrompt();
}

void
StreamSession::FindCachedPrompt()
{
  const auto self = mSelf;
  if (NeedsCachedPromptQuery()) {
    mServices.mCachedPromptQuery.Start(mRequest->mParameters.mService,
                                       [this, self] { StartCall(); });
  } else {
    StartCall();
  }
}

void
StreamSession::ReportVersion(const std::string& aSoftware, bool aHasBegun)
{
  if (!mRequest->mParameters.mRoute->mIsResumable) {
    return;
  }
  const std::string& service = mRequest->mParameters.mService;
  // The owner knows what it placed, but not which of several runs was first.
  const bool isTold =
    !mRequest->mPlacedBy.empty() && !mServices.mOriginExchange.IsMixed(service);
  mServices.mOrigins.OnBegun(
    { mRequest->StreamKey(), service, aSoftware, ResumableUntil(), aHasBegun },
    isTold,
    mServices.mClock.Now());
}

} // namespace bulrushfold
