#include "Policy/EndpointOwner.h"

#include <utility>

namespace bulrushfold {

EndpointOwner::EndpointOwner(const LedgerOptions& aOptions)
  : mOptions(aOptions)
{
}

void
EndpointOwner::SetPreset(const Preset& aPreset)
{
  mOptions.mSlotShare = aPreset.mSlotShare;
  for (auto& [name, ledger] : mLedgers) {
    ledger.SetSlotShare(aPreset.mSlotShare);
  }
}

void
EndpointOwner::Acquire(const std::string& aEndpoint,
                       std::uint64_t aTerm,
                       Instant aNow)
{
  DetectPause(aNow);
  const auto [it, isNew] = mLedgers.try_emplace(aEndpoint, aEndpoint, mOptions);
  it->second.Acquire(aTerm, aNow);
}

void
EndpointOwner::OnOwnershipLost(const std::string& aEndpoint)
{
  if (const auto it = mLedgers.find(aEndpoint); it != mLedgers.end()) {
    it->second.Depose();
  }
}

std::variant<Grant, Refusal>
EndpointOwner::OnReserve(const ReserveRequest& aRequest, Instant aNow)
{
  DetectPause(aNow);
  const auto it = mLedgers.find(aRequest.mEndpoint);
  if (it == mLedgers.end()) {
    return Refusal{ aRequest.mRequest,      aRequest.mAttempt,
                    aRequest.mEndpoint,     aRequest.mKind,
                    RefuseReason::NotOwner, Duration::zero() };
  }
  return it->second.Reserve(aRequest, aNow);
}

void
EndpointOwner::OnRelease(const ReleaseAction& aRelease, Instant aNow)
{
  DetectPause(aNow);
  if (const auto it = mLedgers.find(aRelease.mEndpoint); it != mLedgers.end()) {
    it->second.Release(
      aRelease.mRequest, aRelease.mAttempt, aRelease.mKind, aNow);
  }
}

void
EndpointOwner::OnClaim(const Claim& aClaim, Instant aNow)
{
  DetectPause(aNow);
  if (const auto it = mLedgers.find(aClaim.mEndpoint); it != mLedgers.end()) {
    it->second.Adopt(aClaim, aNow);
  }
}

void
EndpointOwner::OnLoadReport(const std::string& aEndpoint,
                            const LoadReport& aReport,
                            Instant aNow)
{
  DetectPause(aNow);
  if (const auto it = mLedgers.find(aEndpoint); it != mLedgers.end()) {
    it->second.OnLoadReport(aReport, aNow);
  }
}

void
EndpointOwner::OnDaemonRemoved(const std::string& aDaemon, Instant aNow)
{
  DetectPause(aNow);
  for (auto& [name, ledger] : mLedgers) {
    ledger.ReleaseDaemon(aDaemon, aNow);
  }
}

bool
EndpointOwner::Tick(Instant aNow)
{
  DetectPause(aNow);
  for (auto& [name, ledger] : mLedgers) {
    ledger.Expire(aNow);
  }
  return std::exchange(mIsPauseUnreported, false);
}

const ReservationLedger*
EndpointOwner::Find(const std::string& aEndpoint) const
{
  const auto it = mLedgers.find(aEndpoint);
  return it == mLedgers.end() ? nullptr : &it->second;
}

bool
EndpointOwner::DetectPause(Instant aNow)
{
  const bool isGap = mHasTurned && aNow - mLastTurn > mOptions.mClockGapLimit;
  mLastTurn = aNow;
  mHasTurned = true;
  if (isGap) {
    mIsPauseUnreported = true;
    for (auto& [name, ledger] : mLedgers) {
      ledger.Depose();
    }
  }
  return isGap;
}

} // namespace bulrushfold
