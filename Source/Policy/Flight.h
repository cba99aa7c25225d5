#ifndef BULRUSHFOLD_POLICY_FLIGHT_H
#define BULRUSHFOLD_POLICY_FLIGHT_H

#include <string>
#include <vector>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** How far a request has come. */
enum class FlightStage
{
  /** In the queue. */
  Waiting,
  ReservingPrefill,
  ReservingDecode,
  Prefilling,
  /** The cache exists; a reservation at another decode engine is asked. */
  MovingDecode,
  Transferring,
  StartingDecode,
  Decoding,
};

/** Progress of one request in the entry daemon. */
struct Flight
{
  ModelRequest mRequest;
  FlightStage mStage = FlightStage::Waiting;
  std::uint32_t mAttempt = 1;
  /** Reservations asked since the request last left the queue. */
  std::uint32_t mReserves = 0;
  std::string mPrefill;
  std::string mDecode;
  bool mHoldsPrefill = false;
  bool mHoldsDecode = false;
  /** The decode runs, so the endpoint's load includes it. */
  bool mIsDecoding = false;
  /** /engine/prefill was called and the cache was not moved away yet. */
  bool mIsAtPrefill = false;
  /** /engine/transfer or /engine/decode was called at mDecode. */
  bool mIsAtDecode = false;
  Duration mWork{};
  int mPriority = 0;
  Instant mPrefillStarts;
  bool mPrefillWaits = false;
  Instant mTransferStart;
  Instant mFirstToken;
  /** Not dispatched again before this time. */
  Instant mNotBefore;
  /** Refused this request since it last left the queue. */
  std::vector<std::string> mExcluded;

  std::uint64_t DecodePieces() const
  {
    return PieceCount(mRequest.mPromptTokens + mRequest.mMaxTokens);
  }
};

} // namespace bulrushfold

#endif
