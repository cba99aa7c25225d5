// Order of the granted prefills of ReservationLedger and the time until a new
// prefill would start.
#include "Policy/ReservationLedger.h"

#include <algorithm>
#include <vector>

namespace bulrushfold {

bool
ReservationLedger::IsWaitingPrefill(const Entry& aEntry)
{
  return aEntry.mKind == WorkKind::Prefill && !aEntry.mIsStarted;
}

Duration
ReservationLedger::CurrentPrefillRemaining(Instant aNow) const
{
  if (!mHasCurrentPrefill) {
    return Duration::zero();
  }
  return std::max(Duration::zero(),
                  mGrants.at(mCurrentPrefill).mWork -
                    (aNow - mCurrentPrefillSince));
}

Duration
ReservationLedger::PrefillBacklog(Instant aNow) const
{
  Duration backlog = CurrentPrefillRemaining(aNow);
  for (const auto& [key, entry] : mGrants) {
    if (IsWaitingPrefill(entry) &&
        !(mHasCurrentPrefill && key == mCurrentPrefill)) {
      backlog += entry.mWork;
    }
  }
  return backlog;
}

void
ReservationLedger::StartNextPrefill(Instant aNow)
{
  mHasCurrentPrefill = false;
  const Entry* best = nullptr;
  for (const auto& [key, entry] : mGrants) {
    const bool isBefore =
      best == nullptr || entry.mPriority > best->mPriority ||
      (entry.mPriority == best->mPriority && entry.mOrder < best->mOrder);
    if (IsWaitingPrefill(entry) && isBefore) {
      best = &entry;
      mCurrentPrefill = key;
      mHasCurrentPrefill = true;
    }
  }
  mCurrentPrefillSince = aNow;
}

ReservationLedger::PrefillPlan
ReservationLedger::PlanPrefill(const ReserveRequest& aRequest,
                               Instant aNow) const
{
  std::vector<const Entry*> waiting;
  for (const auto& [key, entry] : mGrants) {
    if (IsWaitingPrefill(entry) &&
        !(mHasCurrentPrefill && key == mCurrentPrefill)) {
      waiting.push_back(&entry);
    }
  }
  std::sort(waiting.begin(),
            waiting.end(),
            [](const Entry* aLeft, const Entry* aRight) {
              return aLeft->mPriority != aRight->mPriority
                       ? aLeft->mPriority > aRight->mPriority
                       : aLeft->mOrder < aRight->mOrder;
            });
  PrefillPlan plan;
  Duration at = CurrentPrefillRemaining(aNow);
  plan.mWait = at;
  for (const Entry* it : waiting) {
    if (it->mPriority >= aRequest.mPriority) {
      at += it->mWork;
      plan.mWait = at;
      continue;
    }
    // The new prefill would delay this one. A prefill that starts too late even
    // without the new one does not count.
    const Instant start = aNow + at;
    if (start <= it->mLatest && start + aRequest.mWork > it->mLatest) {
      plan.mOthersInTime = false;
    }
    at += it->mWork;
  }
  return plan;
}

std::variant<Grant, Refusal>
ReservationLedger::ReservePrefill(const ReserveRequest& aRequest, Instant aNow)
{
  const auto [wait, othersInTime] = PlanPrefill(aRequest, aNow);
  if (wait > std::max(Duration::zero(), aRequest.mLatestIn) || !othersInTime) {
    return MakeRefusal(aRequest, RefuseReason::TooLate, wait, aNow);
  }
  if (mPieces + aRequest.mPieces > mReport.mPiecesTotal) {
    return MakeRefusal(aRequest, RefuseReason::NoMemory, wait / 2, aNow);
  }
  return MakeGrant(aRequest, wait, aNow);
}

} // namespace bulrushfold
