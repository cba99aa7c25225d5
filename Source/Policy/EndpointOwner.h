#ifndef BULRUSHFOLD_POLICY_ENDPOINTOWNER_H
#define BULRUSHFOLD_POLICY_ENDPOINTOWNER_H

#include <map>
#include <string>
#include <variant>

#include "Policy/ReservationLedger.h"

namespace bulrushfold {

/**
 * Manages the reservations of all endpoints that this daemon owns, with one
 * ledger for each endpoint. The daemon passes in every reserve, release and
 * claim message and every load report, and calls Tick in each iteration of its
 * event loop.
 */
class EndpointOwner
{
public:
  explicit EndpointOwner(const LedgerOptions& aOptions);

  void SetPreset(const Preset& aPreset);
  /** Starts term aTerm for aEndpoint: this daemon became its owner, or a
   * heartbeat round after a pause confirmed its ownership. The number must be
   * higher than those of all earlier terms of the endpoint. */
  void Acquire(const std::string& aEndpoint, std::uint64_t aTerm, Instant aNow);
  /** Ends the term for aEndpoint, because another daemon owns it now. */
  void OnOwnershipLost(const std::string& aEndpoint);
  std::variant<Grant, Refusal> OnReserve(const ReserveRequest& aRequest,
                                         Instant aNow);
  void OnRelease(const ReleaseAction& aRelease, Instant aNow);
  void OnClaim(const Claim& aClaim, Instant aNow);
  void OnLoadReport(const std::string& aEndpoint,
                    const LoadReport& aReport,
                    Instant aNow);
  /** Releases all reservations of the daemon incarnation aDaemon. */
  void OnDaemonRemoved(const std::string& aDaemon, Instant aNow);
  /** Expires grants. Returns true when a pause of this daemon was detected now
   * or since the last Tick, which ended all terms. The daemon then confirms its
   * ownership by a heartbeat round and calls Acquire. */
  bool Tick(Instant aNow);

  const ReservationLedger* Find(const std::string& aEndpoint) const;

private:
  /** Ends the terms of all ledgers when the time since the last event exceeds
   * the limit; returns true in this case. */
  bool DetectPause(Instant aNow);

  LedgerOptions mOptions;
  std::map<std::string, ReservationLedger> mLedgers;
  Instant mLastEvent;
  bool mHasLastEvent = false;
  bool mIsPauseUnreported = false;
};

} // namespace bulrushfold

#endif
