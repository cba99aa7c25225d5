#ifndef BULRUSHFOLD_ROUTING_PLAINSELECTOR_H
#define BULRUSHFOLD_ROUTING_PLAINSELECTOR_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"

namespace bulrushfold {

/** An endpoint chosen for a request, and the data behind the choice. */
struct EndpointChoice
{
  std::string mEndpoint;
  /** Estimated requests at the endpoint per slot, before this one. */
  double mLoad = 0;
  std::size_t mCandidateCount = 0;
};

/**
 * Chooses endpoints of plain services: the one with the least load per slot,
 * and among similar loads one in the daemon's own failure domain.
 */
class PlainSelector
{
public:
  PlainSelector(const EndpointDirectory& aDirectory,
                const EndpointLoads& aLoads,
                const EndpointHealth& aHealth,
                std::string aFailureDomain,
                Random& aRandom);

  /** aAttempted: endpoints of earlier attempts, which are chosen only if there
   * is no other. */
  std::optional<EndpointChoice> Choose(const std::string& aService,
                                       const std::set<std::string>& aAttempted,
                                       Instant aNow) const;
  /** Like Choose, but empty when each endpoint that Choose would consider has
   * as many requests as slots, and aExtra more. */
  std::optional<EndpointChoice> ChooseFree(
    const std::string& aService,
    const std::set<std::string>& aAttempted,
    std::uint32_t aExtra,
    Instant aNow) const;
  /** Slots of the endpoints of aService that accept requests. */
  std::uint32_t Slots(const std::string& aService) const;

  /** Time at which an endpoint of aService accepts requests again, if there is
   * none that does and the time is known. */
  std::optional<Instant> FirstBackoffEnd(const std::string& aService) const
  {
    return mDirectory.FirstBackoffEnd(aService, EndpointRole::General);
  }

private:
  double Cost(const EndpointRecord& aEndpoint,
              const std::set<std::string>& aAttempted,
              Instant aNow) const;
  double Load(const EndpointRecord& aEndpoint, Instant aNow) const;
  std::optional<EndpointChoice> ChooseOf(
    const std::vector<const EndpointRecord*>& aCandidates,
    const std::set<std::string>& aAttempted,
    Instant aNow) const;

  const EndpointDirectory& mDirectory;
  const EndpointLoads& mLoads;
  const EndpointHealth& mHealth;
  std::string mFailureDomain;
  Random& mRandom;
};

} // namespace bulrushfold

#endif
