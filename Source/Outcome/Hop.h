#ifndef BULRUSHFOLD_OUTCOME_HOP_H
#define BULRUSHFOLD_OUTCOME_HOP_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * One step on the path of a request. The numbers are part of the protocol
 * between daemons.
 */
enum class Hop
{
  /** Receiving the request from the caller. */
  Caller = 0,
  /** Authentication, limits and classification at the entry daemon. */
  Admission = 1,
  /** Waiting for capacity in the entry daemon's queue. */
  Queue = 2,
  /** Requesting reservations from the owners of endpoints. */
  Reservation = 3,
  Prefill = 4,
  Transfer = 5,
  Decode = 6,
  /** Calling a plain service. */
  Service = 7,
  /** Waiting for a write or read of the store. */
  Store = 8,
  /** Waiting for another daemon, for example for a booking permit. */
  Peer = 9,
  /** Waiting for the caller to read its answer. */
  Delivery = 10,
};

constexpr std::size_t kHopCount = 11;

/** Time spent at each hop, indexed by HopIndex. */
using HopTimes = std::array<Duration, kHopCount>;

constexpr std::size_t
HopIndex(Hop aHop)
{
  return static_cast<std::size_t>(aHop);
}

/** Returns the name of aHop in records, spans and metrics. */
std::string_view HopName(Hop aHop);

/** Returns the hop named aName; empty when no hop has this name. */
std::optional<Hop> FindHop(std::string_view aName);

/** Returns the hop with number aNumber; empty for an unknown number. */
std::optional<Hop> HopOfNumber(int aNumber);

} // namespace bulrushfold

#endif
