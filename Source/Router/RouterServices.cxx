#include "Router/RouterServices.h"

#include "Base/Digest.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
std::uint64_t
EngineHash(const EndpointRecord& aEndpoint)
{
  return Hash64(absl::StrCat(aEndpoint.mId, "/", aEndpoint.mIncarnation));
}
} // namespace

SentRun
MakeSentRun(const EndpointRecord& aEndpoint, Instant aNow)
{
  return { aEndpoint.mId, EngineHash(aEndpoint), aNow };
}

void
RouterServices::RecordHealth(const std::string& aService,
                             const std::string& aEndpoint,
                             SendResult aResult,
                             Instant aSentAt)
{
  const Instant now = mClock.Now();
  mHealth.OnResult(aService, aEndpoint, aResult, now);
  mReach.OnResult(aService, aEndpoint, aResult, aSentAt, now);
}

void
RouterServices::RecordSendOutcome(const SentRun& aRun, SendOutcome aOutcome)
{
  if (aOutcome == SendOutcome::OtherEndpoint) {
    mDirectory.OnAddressReused(aRun.mEndpoint);
  }
  const bool isUp =
    aOutcome == SendOutcome::Answered || aOutcome == SendOutcome::NotRun;
  if (isUp && mGuard.HasLostRuns()) {
    mGuard.OnEngineAnswered(aRun.mEngine, aRun.mSentAt, mClock.Now());
  }
}

void
RouterServices::RecordLostRun(const SentRun& aRun, const RequestKeys& aKeys)
{
  mGuard.OnRunLost(aRun.mEngine, aKeys, aRun.mSentAt, mClock.Now());
}

void
RouterServices::RecordSilentRun(const SentRun& aRun, const RequestKeys& aKeys)
{
  const EndpointRecord* endpoint = mDirectory.Find(aRun.mEndpoint);
  if (endpoint == nullptr || EngineHash(*endpoint) != aRun.mEngine) {
    RecordLostRun(aRun, aKeys);
    return;
  }
  mGuard.OnRunSilent(
    aRun.mEndpoint, aRun.mEngine, aKeys, aRun.mSentAt, mClock.Now());
}

bool
RouterServices::IsCrashSuspect(const RoutedRequest& aRequest)
{
  const RefusedPart* part =
    mGuard.FindRefused(aRequest.mCrashKeys, mClock.Now());
  if (part != nullptr) {
    mLog.SuspectRefused(aRequest, *part);
  }
  return part != nullptr;
}

} // namespace bulrushfold
