#include "Policy/Admission.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
// Time constant with which recorded use decays. A shorter one would penalize
// short bursts; a longer one would let a workspace use up the capacity before
// the others.
constexpr double kMemorySeconds = 30;
// A workspace with less recent work than this is not active.
constexpr double kIdleWork = 1e-3;
constexpr std::size_t kMaxTracked = 4096;
constexpr Duration kSumInterval = std::chrono::milliseconds(200);
// Use relative to the fair share up to which a workspace is not limited.
constexpr double kTolerance = 1.5;
constexpr double kMinWaitShare = 0.2;
constexpr double kMaxSpareShare = 0.15;
// Predictions rest on load reports that lag, while the owner's answer is exact.
// So a request is dispatched, and the owner decides, while its predicted time
// exceeds the time that is left by at most this factor.
constexpr double kDoubt = 2.0;
// An interactive request whose predicted time exceeds the time that is left by
// more than this factor is rejected at once: waiting would not help it.
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
  const auto [it, isNew] = mUses.try_emplace(aRequest.mWorkspace);
  Use& use = it->second;
  use.mWork = Decayed(use, aNow) + aCost;
  use.mAt = aNow;
  use.mShare = aRequest.mShare;
  mTotal.mWork = Decayed(mTotal, aNow) + aCost;
  mTotal.mAt = aNow;
  if (mUses.size() > kMaxTracked) {
    DropIdle(aNow);
  }
  if (isNew || aNow - mSummedAt >= kSumInterval) {
    SumUp(aNow);
  }
}

void
Admission::SumUp(Instant aNow)
{
  mSummedAt = aNow;
  mTotal = { 0, 0, aNow };
  for (const auto& [name, use] : mUses) {
    const double recent = Decayed(use, aNow);
    if (recent >= kIdleWork) {
      mTotal.mWork += recent;
      mTotal.mShare += use.mShare;
    }
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
