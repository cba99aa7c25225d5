#ifndef BULRUSHFOLD_POLICY_ENDPOINTLOAD_H
#define BULRUSHFOLD_POLICY_ENDPOINTLOAD_H

#include <deque>
#include <utility>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/**
 * An entry daemon's estimate of one endpoint's load: the last report, corrected
 * by the work that this daemon sent since the measurement and by the replies of
 * the endpoint's owner, which are newer than any report.
 */
class EndpointLoad
{
public:
  /** aMeanPrefill: assumed time of each prefill in the reported queue. */
  void OnReport(const LoadReport& aReport, Duration aMeanPrefill, Instant aNow);

  /** aBacklog: the owner's backlog, 0 when the owner did not answer. */
  void OnPrefillGranted(Duration aBacklog, Duration aWork, Instant aNow);
  void OnPrefillRefused(Duration aBacklog, Instant aNow);
  void OnPrefillReleased(Duration aWork, Instant aNow);

  void OnDecodeReserved(std::uint64_t aPieces);
  /** A reservation was released before the decode started. */
  void OnDecodeReleased(std::uint64_t aPieces);
  void OnDecodeStarted(std::uint64_t aPieces, Instant aNow);
  void OnDecodeEnded(std::uint64_t aPieces, Instant aNow);
  void OnDecodeRefused(Duration aFreeIn, Instant aNow);

  /** Time until a new prefill would start. */
  Duration PrefillWait(Instant aNow) const;
  /** Time until a decode slot is expected to be available. */
  Duration DecodeWait(Instant aNow) const;
  double FreeSlots() const;
  double FreePieces() const;
  std::uint64_t Slots() const { return mReport.mSlots; }

private:
  /** A decode that started (positive) or ended (negative) at mAt, which no
   * report covers yet. */
  struct UnreportedChange
  {
    Instant mAt;
    double mSlots = 0;
    double mPieces = 0;
  };
  void AddChange(const UnreportedChange& aChange);

  LoadReport mReport;
  bool mHasReport = false;
  Instant mPrefillFreeAt;
  Instant mPrefillUpdatedAt;
  std::deque<std::pair<Instant, Duration>> mUnreportedPrefills;
  Instant mDecodeBlockedUntil;
  double mReservedSlots = 0;
  double mReservedPieces = 0;
  std::deque<UnreportedChange> mUnreportedChanges;
  double mUnreportedSlots = 0;
  double mUnreportedPieces = 0;
};

} // namespace bulrushfold

#endif
