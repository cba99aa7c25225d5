#include "Policy/EndpointLoad.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Maximum number of changes that no report covers yet. Older ones are dropped,
// so that memory use stays limited when an endpoint stops reporting.
constexpr std::size_t kMaxUnreported = 4096;
} // namespace

void
EndpointLoad::OnReport(const LoadReport& aReport,
                       Duration aMeanPrefill,
                       Instant aNow)
{
  const Instant measuredAt = aNow - aReport.mAge;
  mReport = aReport;
  mHasReport = true;
  while (!mUnreportedChanges.empty() &&
         mUnreportedChanges.front().mAt < measuredAt) {
    mUnreportedSlots -= mUnreportedChanges.front().mSlots;
    mUnreportedPieces -= mUnreportedChanges.front().mPieces;
    mUnreportedChanges.pop_front();
  }
  while (!mUnreportedPrefills.empty() &&
         mUnreportedPrefills.front().first < measuredAt) {
    mUnreportedPrefills.pop_front();
  }
  if (measuredAt > mPrefillUpdatedAt) {
    mPrefillUpdatedAt = measuredAt;
    mPrefillFreeAt =
      measuredAt + aMeanPrefill * static_cast<std::int64_t>(aReport.mQueued);
    for (const auto& [at, work] : mUnreportedPrefills) {
      mPrefillFreeAt = std::max(mPrefillFreeAt, at) + work;
    }
  }
}

void
EndpointLoad::OnPrefillGranted(Duration aBacklog, Duration aWork, Instant aNow)
{
  mPrefillUpdatedAt = aNow;
  mPrefillFreeAt = aBacklog > Duration::zero()
                     ? aNow + aBacklog
                     : std::max(mPrefillFreeAt, aNow) + aWork;
  mUnreportedPrefills.emplace_back(aNow, aWork);
  if (mUnreportedPrefills.size() > kMaxUnreported) {
    mUnreportedPrefills.pop_front();
  }
}

void
EndpointLoad::OnPrefillRefused(Duration aBacklog, Instant aNow)
{
  mPrefillUpdatedAt = aNow;
  mPrefillFreeAt = aNow + aBacklog;
}

void
EndpointLoad::OnPrefillReleased(Duration aWork, Instant aNow)
{
  mPrefillFreeAt = std::max(aNow, mPrefillFreeAt - aWork);
}

void
EndpointLoad::OnDecodeReserved(std::uint64_t aPieces)
{
  mReservedSlots += 1;
  mReservedPieces += static_cast<double>(aPieces);
}

void
EndpointLoad::OnDecodeReleased(std::uint64_t aPieces)
{
  mReservedSlots -= 1;
  mReservedPieces -= static_cast<double>(aPieces);
}

void
EndpointLoad::OnDecodeStarted(std::uint64_t aPieces, Instant aNow)
{
  OnDecodeReleased(aPieces);
  AddChange({ aNow, 1, static_cast<double>(aPieces) });
}

void
EndpointLoad::OnDecodeEnded(std::uint64_t aPieces, Instant aNow)
{
  AddChange({ aNow, -1, -static_cast<double>(aPieces) });
}

void
EndpointLoad::OnDecodeRefused(Duration aFreeIn, Instant aNow)
{
  mDecodeBlockedUntil = std::max(mDecodeBlockedUntil, aNow + aFreeIn);
}

Duration
EndpointLoad::PrefillWait(Instant aNow) const
{
  return std::max(Duration::zero(), mPrefillFreeAt - aNow);
}

Duration
EndpointLoad::DecodeWait(Instant aNow) const
{
  return std::max(Duration::zero(), mDecodeBlockedUntil - aNow);
}

double
EndpointLoad::FreeSlots() const
{
  if (!mHasReport) {
    return 1;
  }
  return static_cast<double>(mReport.mSlots) -
         static_cast<double>(mReport.mRunning) - mReservedSlots -
         mUnreportedSlots;
}

double
EndpointLoad::FreePieces() const
{
  if (!mHasReport) {
    return 1;
  }
  return static_cast<double>(mReport.mPiecesTotal) -
         static_cast<double>(mReport.mPiecesUsed) - mReservedPieces -
         mUnreportedPieces;
}

void
EndpointLoad::AddChange(const UnreportedChange& aChange)
{
  mUnreportedChanges.push_back(aChange);
  mUnreportedSlots += aChange.mSlots;
  mUnreportedPieces += aChange.mPieces;
  if (mUnreportedChanges.size() > kMaxUnreported) {
    mUnreportedSlots -= mUnreportedChanges.front().mSlots;
    mUnreportedPieces -= mUnreportedChanges.front().mPieces;
    mUnreportedChanges.pop_front();
  }
}

} // namespace bulrushfold
