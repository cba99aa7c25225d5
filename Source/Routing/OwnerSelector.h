#ifndef BULRUSHFOLD_ROUTING_OWNERSELECTOR_H
#define BULRUSHFOLD_ROUTING_OWNERSELECTOR_H

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** A daemon of the fleet, as the registry lists it. */
struct FleetMember
{
  std::string mName;
  SocketAddress mAddress;
  /** Share of a processor core that the daemon may use; 0: unknown. */
  double mCapacity = 0;
};

/**
 * Chooses the daemon that places the requests of the whole fleet. In a small
 * fleet there is none: each daemon tells all others what it does, and places
 * for itself. In a large one the news of the others would be too old and too
 * many: daemons that choose apart send their requests to the same endpoints.
 *
 * All daemons rank the members alike, the largest first, and each follows the
 * first one that answers. A daemon that does not answer is left out for a time
 * that doubles with each failure. Two owners at the same time do no harm beyond
 * less exact loads, so no agreement is needed.
 */
class OwnerSelector
{
public:
  /** Number of daemons from which one of them places for all. */
  static constexpr std::size_t kMinFleet = 13;
  /** Number of members that may become the owner. */
  static constexpr std::size_t kCandidates = 6;

  void SetMembers(std::vector<FleetMember> aMembers);
  /** True when the fleet is large enough for an owner. */
  bool HasOwner() const { return mMembers.size() >= kMinFleet; }
  std::size_t MemberCount() const { return mMembers.size(); }
  /** aName may become the owner. */
  bool IsCandidate(const std::string& aName) const;
  /** The first member that is not left out; null in a small fleet, and when all
   * candidates are left out. It may be this daemon. */
  const FleetMember* Choose(Instant aNow) const;
  /** The candidates up to the one that is the aCount-th that is not left out.
   * Empty in a small fleet. */
  std::vector<const FleetMember*> FirstCandidates(std::size_t aCount,
                                                  Instant aNow) const;
  /** A member that ranks before aName and was left out until now, so that it
   * should be tried again; null when there is none. */
  const FleetMember* FindReturning(const std::string& aName,
                                   Instant aNow) const;

  void OnAnswered(const std::string& aName) { mFailures.erase(aName); }
  void OnFailed(const std::string& aName, Instant aNow);
  /** aName announced that it stops. */
  void OnStopping(const std::string& aName, Instant aNow);

private:
  struct Failure
  {
    Instant mUntil;
    Duration mSpan{};
  };
  bool IsLeftOut(const std::string& aName, Instant aNow) const;

  /** Sorted by rank. */
  std::vector<FleetMember> mMembers;
  std::map<std::string, Failure> mFailures;
};

} // namespace bulrushfold

#endif
