#ifndef BULRUSHFOLD_POLICY_LINKSCHEDULE_H
#define BULRUSHFOLD_POLICY_LINKSCHEDULE_H

#include <string>
#include <unordered_map>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * Predicts the time of transfers on shared links. The scheduled transfers of a
 * link follow one another. The effective rate of a link is an average of
 * observed transfers, because other daemons use the links too.
 */
class LinkSchedule
{
public:
  /** Sets the nominal rate of aLink; 0 means unknown. */
  void SetRate(const std::string& aLink, double aBytesPerSecond);
  /** Time from aReady until a transfer of aBytes is expected to end. */
  Duration Estimate(const std::string& aFrom,
                    const std::string& aTo,
                    double aBytes,
                    Instant aReady) const;
  /** Marks both links as busy with a transfer; returns its expected end. */
  Instant Schedule(const std::string& aFrom,
                   const std::string& aTo,
                   double aBytes,
                   Instant aReady);
  /** A transfer of aBytes took aElapsed. Updates the slowdown of both links. */
  void ObserveTransfer(const std::string& aFrom,
                       const std::string& aTo,
                       double aBytes,
                       Duration aElapsed);
  /** A transfer stalled: both links count as slow until transfers succeed
   * again. */
  void OnTransferStalled(const std::string& aFrom, const std::string& aTo);

private:
  struct Link
  {
    double mBytesPerSecond = 0;
    /** Average of the observed transfer time, as a multiple of the nominal
     * time. */
    double mSlowdown = 1;
    Instant mBusyUntil;
  };

  Instant EstimateEnd(const std::string& aFrom,
                      const std::string& aTo,
                      double aBytes,
                      Instant aReady) const;

  std::unordered_map<std::string, Link> mLinks;
};

} // namespace bulrushfold

#endif
