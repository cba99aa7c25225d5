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

/** A daemon that may hold copies of outcome records. */
struct ReplicaCandidate
{
  std::string mDaemon;
  std::string mFailureDomain;
};

/**
 * A request id: a UUIDv7 whose 12 "rand_a" bits are DaemonTag(aDaemon). From
 * the id alone any daemon can tell who may hold the request's record, and all
 * records of one daemon go to the same two replicas, in one batch.
 */
std::string MakeRequestId(WallTime aTime,
                          Random& aRandom,
                          std::string_view aDaemon);

/** 12-bit hash of a daemon's name; several daemons may share a tag. */
std::uint32_t DaemonTag(std::string_view aDaemon);

/** Tag inside aRequestId; empty when it is not a request id. */
std::optional<std::uint32_t> TagOfRequestId(std::string_view aRequestId);

/** Trace id of a request that came without traceparent: the id's digits. */
std::string TraceIdOf(std::string_view aRequestId);

/**
 * The two daemons that hold copies of the records of daemon aDaemon: the first
 * ones by rendezvous hash of its tag that are in failure domains other than
 * aFailureDomain. Fewer when there are fewer live daemons; daemons of the own
 * failure domain are taken when there is no other.
 */
std::vector<std::string> SelectReplicas(
  std::string_view aDaemon,
  std::string_view aFailureDomain,
  const std::vector<ReplicaCandidate>& aLive);

/**
 * Daemons to ask first about aRequestId: those with its tag, then every daemon
 * that SelectReplicas can return for the tag. Empty for an invalid id.
 */
std::vector<std::string> SelectReplicaCandidates(
  std::string_view aRequestId,
  const std::vector<ReplicaCandidate>& aLive);

} // namespace bulrushfold

#endif
