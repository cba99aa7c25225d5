#ifndef BULRUSHFOLD_OUTCOME_REQUESTID_H
#define BULRUSHFOLD_OUTCOME_REQUESTID_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** A daemon that can be selected as a replica of outcome records. */
struct ReplicaCandidate
{
  std::string mDaemon;
  std::string mFailureDomain;
};

/**
 * Makes a request id: a UUIDv7 whose 12 "rand_a" bits are DaemonTag(aDaemon).
 * Any daemon can derive from the id which daemons may store the record of the
 * request. All records of one daemon have the same two replicas and can be sent
 * in one batch.
 */
std::string MakeRequestId(WallTime aTime,
                          Random& aRandom,
                          std::string_view aDaemon);

/** Returns a 12-bit hash of a daemon's name; daemons may share a tag. */
std::uint32_t DaemonTag(std::string_view aDaemon);

/** Returns the tag in aRequestId; empty when it is not a request id. */
std::optional<std::uint32_t> TagOfRequestId(std::string_view aRequestId);

/**
 * Returns the trace id of a request without a traceparent header: the digits
 * of the request id.
 */
std::string TraceIdOf(std::string_view aRequestId);

/**
 * Selects the two replicas of daemon aDaemon, which store copies of its
 * records: the first ones by rendezvous hash of its tag that are in failure
 * domains other than aFailureDomain. If there are not enough of them, daemons
 * in aFailureDomain follow. The result is shorter when fewer daemons are live.
 */
std::vector<std::string> SelectReplicas(
  std::string_view aDaemon,
  std::string_view aFailureDomain,
  const std::vector<ReplicaCandidate>& aLive);

/**
 * Selects the daemons to query first for the record of aRequestId: daemons with
 * its tag, then every daemon that SelectReplicas can return for the tag. Empty
 * for an invalid id.
 */
std::vector<std::string> SelectReplicaCandidates(
  std::string_view aRequestId,
  const std::vector<ReplicaCandidate>& aLive);

} // namespace bulrushfold

#endif
