#include "Policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
// Time constant with which recorded use decays. A shorter one would penalize
// short bursts; a longer one would let a workspace use up the capacity before
// the others.
constexpr double kUsageDecaySeconds = 30;
// A workspace with less recent work than this is not active.
constexpr double kMinActiveWork = 1e-3;
constexpr std::size_t kMaxTrackedWorkspaces = 4096;
constexpr Duration kTotalInterval = std::chrono::milliseconds(200);
// Usage relative to the fair share up to which a workspace is not limited.
constexpr double kMaxUnlimitedUsage = 1.5;
constexpr double kMinWaitShare = 0.2;
constexpr double kMaxSpareShare = 0.15;
// Predictions rest on load reports that lag, while the owner's answer is exact.
// So a request is dispatched, and the owner decides, while its predicted time
// exceeds the time that is left by at most this factor.
constexpr double kDispatchFactor = 2.0;
// An interactive request whose predicted time exceeds the time that is left by
// more than this factor is rejected at once: waiting would not help it.
constexpr double kRejectFactor = 2.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
} // namespace

Instant
Admission::FirstTokenDue(const ModelRequest& aRequest) const
{
  const Duration wait = aRequest.mClass == RequestClass::Patient
                          ? mPreset.mMaxPatientWait
                          : mPreset.mFirstTokenTarget;
  return std::min(aRequest.mArrival + wait, aRequest.mDeadline);
}

AdmissionDecision
Admission::Decide(const ModelRequest& aRequest,
                  std::optional<Duration> aFirstToken,
                  Instant aNow) const
{
  const Instant due = FirstTokenDue(aRequest);
  if (aNow >= aRequest.mDeadline) {
    return { AdmissionVerdict::Reject, RejectReason::DeadlinePassed, {} };
  }
  if (aNow >= due) {
    return { AdmissionVerdict::Reject,
             RejectReason::WaitedTooLong,
             kMinRetryAfter };
  }
  if (!aFirstToken) {
    return { AdmissionVerdict::Wait };
  }
  const Duration budget = due - aNow;
  if (ToSeconds(*aFirstToken) <= kDispatchFactor * ToSeconds(budget)) {
    return { AdmissionVerdict::Dispatch };
  }
  if (aRequest.mClass == RequestClass::Patient ||
      ToSeconds(*aFirstToken) <= kRejectFactor * ToSeconds(budget)) {
    return { AdmissionVerdict::Wait };
  }
  return { AdmissionVerdict::Reject,
           RejectReason::TargetUnreachable,
           std::max(kMinRetryAfter, *aFirstToken - budget) };
}

double
Admission::Decayed(const Usage& aUsage, Instant aNow)
{
  return aUsage.mWork *
         std::exp(-ToSeconds(aNow - aUsage.mDecayedTo) / kUsageDecaySeconds);
}

void
Admission::OnDispatched(const ModelRequest& aRequest,
                        double aCost,
                        Instant aNow)
{
  const auto [it, isNew] = mUsages.try_emplace(aRequest.mWorkspace);
  Usage& usage = it->second;
  usage.mWork = Decayed(usage, aNow) + aCost;
  usage.mDecayedTo = aNow;
  usage.mShare = aRequest.mShare;
  mTotal.mWork = Decayed(mTotal, aNow) + aCost;
  mTotal.mDecayedTo = aNow;
  if (mUsages.size() > kMaxTrackedWorkspaces) {
    EraseIdle(aNow);
  }
  if (isNew || aNow - mTotalUpdatedAt >= kTotalInterval) {
    UpdateTotal(aNow);
  }
}

void
Admission::UpdateTotal(Instant aNow)
{
  mTotalUpdatedAt = aNow;
  mTotal = { 0, 0, aNow };
  for (const auto& [name, usage] : mUsages) {
    const double recent = Decayed(usage, aNow);
    if (recent >= kMinActiveWork) {
      mTotal.mWork += recent;
      mTotal.mShare += usage.mShare;
    }
  }
}

void
Admission::EraseIdle(Instant aNow)
{
  for (auto it = mUsages.begin(); it != mUsages.end();) {
    it = Decayed(it->second, aNow) < kMinActiveWork ? mUsages.erase(it)
                                                    : std::next(it);
  }
}

double
Admission::FairShareUsage(const ModelRequest& aRequest, Instant aNow) const
{
  const auto own = mUsages.find(aRequest.mWorkspace);
  if (own == mUsages.end()) {
    return 0;
  }
  const double work = Decayed(mTotal, aNow);
  if (work <= 0 || mTotal.mShare <= 0) {
    return 0;
  }
  const double fair = work * aRequest.mShare / mTotal.mShare;
  return Decayed(own->second, aNow) / fair;
}

double
Admission::WaitShare(const ModelRequest& aRequest, Instant aNow) const
{
  const double usage = FairShareUsage(aRequest, aNow);
  return usage <= kMaxUnlimitedUsage
           ? 1
           : std::max(kMinWaitShare, kMaxUnlimitedUsage / usage / usage);
}

std::uint64_t
Admission::MinFreeSlots(const ModelRequest& aRequest,
                        std::uint64_t aSlots,
                        Instant aNow) const
{
  const double excess = FairShareUsage(aRequest, aNow) - kMaxUnlimitedUsage;
  if (excess <= 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(
    std::ceil(std::min(kMaxSpareShare, excess) * static_cast<double>(aSlots)));
}

} // namespace bulrushfold
