#include "Policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
// Use counts for about this long. Shorter spans would punish a short burst,
// longer ones would let a noisy workspace use up the capacity first.
constexpr double kMemorySeconds = 30;
// A workspace with less recent work than this is not active.
constexpr double kIdleWork = 1e-3;
constexpr std::size_t kMaxTracked = 4096;
// Use above the fair share that is still tolerated.
constexpr double kTolerance = 1.5;
constexpr double kMinWaitShare = 0.2;
constexpr double kMaxSpareShare = 0.15;
// Predictions rest on lagging reports; the owner's answer is exact. Only what
// is late by more than this factor is refused without asking.
constexpr double kDoubt = 2.0;
// A prediction this much beyond the time that is left will not come true by
// waiting; the caller of an interactive request is told at once.
constexpr double kHopeless = 2.5;
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
  if (ToSeconds(*aFirstToken) <= kDoubt * ToSeconds(budget)) {
    return { AdmissionVerdict::Dispatch };
  }
  if (aRequest.mClass == RequestClass::Patient ||
      ToSeconds(*aFirstToken) <= kHopeless * ToSeconds(budget)) {
    return { AdmissionVerdict::Wait };
  }
  return { AdmissionVerdict::Reject,
           RejectReason::TargetUnreachable,
           std::max(kMinRetryAfter, *aFirstToken - budget) };
}

double
Admission::Decayed(const Use& aUse, Instant aNow)
{
  return aUse.mWork * std::exp(-ToSeconds(aNow - aUse.mAt) / kMemorySeconds);
}

void
Admission::OnDispatched(const ModelRequest& aRequest,
                        double aCost,
                        Instant aNow)
{
  auto& use = mUses[aRequest.mWorkspace];
  use.mWork = Decayed(use, aNow) + aCost;
  use.mAt = aNow;
  use.mShare = aRequest.mShare;
  if (mUses.size() > kMaxTracked) {
    DropIdle(aNow);
  }
}

void
Admission::DropIdle(Instant aNow)
{
  for (auto it = mUses.begin(); it != mUses.end();) {
    it =
      Decayed(it->second, aNow) < kIdleWork ? mUses.erase(it) : std::next(it);
  }
}

double
Admission::UseOfShare(const ModelRequest& aRequest, Instant aNow) const
{
  const auto own = mUses.find(aRequest.mWorkspace);
  if (own == mUses.end()) {
    return 0;
  }
  double work = 0;
  double share = 0;
  for (const auto& [name, use] : mUses) {
    const double recent = Decayed(use, aNow);
    if (recent >= kIdleWork) {
      work += recent;
      share += use.mShare;
    }
  }
  if (work <= 0 || share <= 0) {
    return 0;
  }
  const double fair = work * aRequest.mShare / share;
  return Decayed(own->second, aNow) / fair;
}

double
Admission::WaitShare(const ModelRequest& aRequest, Instant aNow) const
{
  const double use = UseOfShare(aRequest, aNow);
  return use <= kTolerance ? 1
                           : std::max(kMinWaitShare, kTolerance / use / use);
}

std::uint64_t
Admission::SpareSlots(const ModelRequest& aRequest,
                      std::uint64_t aSlots,
                      Instant aNow) const
{
  const double excess = UseOfShare(aRequest, aNow) - kTolerance;
  if (excess <= 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(
    std::ceil(std::min(kMaxSpareShare, excess) * static_cast<double>(aSlots)));
}

} // namespace bulrushfold
