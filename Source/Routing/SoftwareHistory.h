#ifndef BULRUSHFOLD_ROUTING_SOFTWAREHISTORY_H
#define BULRUSHFOLD_ROUTING_SOFTWAREHISTORY_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/EndpointDirectory.h"

namespace bulrushfold {

/** The software versions of the endpoints of each service, with those that have
 * left: a stream may have begun at an engine that is gone. */
class SoftwareHistory
{
public:
  /** The directory's entry of aEndpoint has changed. */
  void OnChange(const EndpointRecord& aEndpoint,
                EndpointChange aChange,
                Instant aNow);

  /**
   * The only version that may have begun a stream of aService in the last
   * aWindow; empty when there were several, or when that is unknown. A daemon
   * that started later does not know which endpoints have left before; it
   * assumes that none has if all present ones are older than aWindow.
   */
  std::optional<std::string> SoleVersion(const std::string& aService,
                                         Duration aWindow,
                                         Instant aNow,
                                         WallTime aWall) const;
  /** aService has endpoints of several versions, or had in the last aWindow. */
  bool IsMixed(const std::string& aService,
               Duration aWindow,
               Instant aNow) const
  {
    return VersionsSince(aService, aNow - aWindow).size() > 1;
  }
  /** IsMixed is true of any service. */
  bool HasMixed(Duration aWindow, Instant aNow) const;

private:
  struct Endpoint
  {
    std::string mService;
    std::string mSoftware;
    /** Start time of the process, in ms of the calendar; 0: unknown. */
    std::int64_t mIncarnation = 0;
  };

  /** Endpoints of one version. */
  struct Presence
  {
    std::size_t mCount = 0;
    /** When the last one that left did so; empty: none has. */
    std::optional<Instant> mLeftAt;
  };
  using Versions = std::map<std::string, Presence>;

  std::vector<std::string> VersionsSince(const std::string& aService,
                                         Instant aSince) const;
  void Remove(const std::string& aId, Instant aNow);
  /** Drops the versions that left first, if there are too many. */
  static void Limit(Versions& aVersions);

  std::map<std::string, Endpoint> mEndpoints;
  /** Versions by service, with those that have left. */
  std::map<std::string, Versions> mServices;
  /** When the first endpoint was known. */
  std::optional<Instant> mStart;
};

} // namespace bulrushfold

#endif
