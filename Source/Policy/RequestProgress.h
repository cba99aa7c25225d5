#ifndef BULRUSHFOLD_POLICY_REQUESTPROGRESS_H
#define BULRUSHFOLD_POLICY_REQUESTPROGRESS_H

#include <string>
#include <vector>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** Stage of a request on its way to a complete answer. */
enum class RequestStage
{
  /** In the queue of the entry daemon. */
  Waiting,
  /** A reservation was requested from the prefill endpoint's owner. */
  ReservingPrefill,
  /** A reservation was requested from the decode endpoint's owner. */
  ReservingDecode,
  Prefilling,
  /** The prefill is done, and a reservation at another decode endpoint was
   * requested. */
  ReselectingDecode,
  Transferring,
  /** /engine/decode was called; no token has arrived. */
  StartingDecode,
  Decoding,
};

/** Routing state of one request in its entry daemon. */
struct RequestProgress
{
  ModelRequest mRequest;
  RequestStage mStage = RequestStage::Waiting;
  std::uint32_t mAttempt = 1;
  /** Reservations requested since the request last left the queue. */
  std::uint32_t mReservations = 0;
  /** Name of the prefill endpoint. */
  std::string mPrefill;
  /** Name of the decode endpoint. */
  std::string mDecode;
  bool mHasPrefillReservation = false;
  bool mHasDecodeReservation = false;
  /** The decode has started, so the endpoint's load includes it. */
  bool mIsDecoding = false;
  /** /engine/prefill was called, and no transfer moved the KV cache away. */
  bool mUsesPrefill = false;
  /** /engine/transfer or /engine/decode was called at mDecode. */
  bool mUsesDecode = false;
  /** Expected computing time of the prefill. */
  Duration mWork{};
  int mPriority = 0;
  /** Expected or actual start of the prefill. */
  Instant mPrefillStart;
  /** The prefill waits at its endpoint, so that its time is no measure of
   * the endpoint's speed. */
  bool mIsPrefillDelayed = false;
  Instant mTransferStart;
  Instant mFirstToken;
  /** Earliest time of the next dispatch or reservation. */
  Instant mNotBefore;
  /** Endpoints that refused the request since it last left the queue. */
  std::vector<std::string> mExcluded;

  std::uint64_t DecodePieces() const
  {
    return PieceCount(mRequest.mPromptTokens + mRequest.mMaxTokens);
  }
};

} // namespace bulrushfold

#endif
