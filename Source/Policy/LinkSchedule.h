#ifndef BULRUSHFOLD_POLICY_LINKSCHEDULE_H
#define BULRUSHFOLD_POLICY_LINKSCHEDULE_H

#include <string>
#include <unordered_map>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * Time of transfers on shared links. Bookings on a link follow one another; the
 * effective rate is learned, because other daemons use the links too.
 */
class LinkSchedule
{
public:
  /** Sets the nominal rate of aLink; 0 means that it is not known. */
  void SetRate(const std::string& aLink, double aBytesPerSecond);
  /** Time from aReady until a transfer of aBytes would end. */
  Duration Estimate(const std::string& aFrom,
                    const std::string& aTo,
                    double aBytes,
                    Instant aReady) const;
  /** Books both links for a transfer; returns its expected end. */
  Instant Book(const std::string& aFrom,
               const std::string& aTo,
               double aBytes,
               Instant aReady);
  /** A transfer of aBytes took aSpan. */
  void Observe(const std::string& aFrom,
               const std::string& aTo,
               double aBytes,
               Duration aSpan);
  /** A transfer on the links stalled: they count as slow until transfers
   * succeed again. */
  void OnStall(const std::string& aFrom, const std::string& aTo);

private:
  struct Link
  {
    double mBytesPerSecond = 0;
    /** Learned time as a multiple of the nominal time. */
    double mSlowdown = 1;
    Instant mBusyUntil;
  };

  Instant End(const std::string& aFrom,
              const std::string& aTo,
              double aBytes,
              Instant aReady) const;

  std::unordered_map<std::string, Link> mLinks;
};

} // namespace bulrushfold

#endif
