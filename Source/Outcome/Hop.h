#ifndef BULRUSHFOLD_OUTCOME_HOP_H
#define BULRUSHFOLD_OUTCOME_HOP_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "Base/Clock.h"

namespace bulrushfold {

/** One step on the path of a request. The numbers are part of the protocol. */
enum class Hop
{
  /** The caller sends its request. */
  Caller = 0,
  /** Identity, limits and classification at the entry daemon. */
  Admission = 1,
  /** Waiting for capacity in the entry daemon's queue. */
  Queue = 2,
  /** Asking the owners of endpoints for reservations. */
  Reservation = 3,
  Prefill = 4,
  Transfer = 5,
  Decode = 6,
  /** A call of a plain service. */
  Service = 7,
  /** Waiting for a write or read of the store. */
  Store = 8,
  /** Waiting for another daemon, for example for a booking permit. */
  Peer = 9,
  /** Waiting for the caller to read its answer. */
  Delivery = 10,
};

constexpr std::size_t kHopCount = 11;

/** Time by hop, indexed by HopIndex. */
using HopTimes = std::array<Duration, kHopCount>;

constexpr std::size_t
HopIndex(Hop aHop)
{
  return static_cast<std::size_t>(aHop);
}

/** Name of aHop in records, spans and metrics. */
std::string_view HopName(Hop aHop);

/** Hop named aName; empty when there is none. */
std::optional<Hop> FindHop(std::string_view aName);

/** Hop with number aNumber; empty when there is none. */
std::optional<Hop> HopOfNumber(int aNumber);

} // namespace bulrushfold

#endif
