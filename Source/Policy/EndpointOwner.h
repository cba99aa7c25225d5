#ifndef BULRUSHFOLD_POLICY_ENDPOINTOWNER_H
#define BULRUSHFOLD_POLICY_ENDPOINTOWNER_H

#include <map>
#include <string>
#include <variant>

#include "Policy/ReservationLedger.h"

namespace bulrushfold {

/**
 * The owner's side for all endpoints that this daemon owns: one ledger each.
 * The daemon delivers every reserve, release and claim message here, and
 * every load report, and calls Tick at each turn of its event loop.
 */
class EndpointOwner
{
public:
  explicit EndpointOwner(const LedgerOptions& aOptions);

  void SetPreset(const Preset& aPreset);
  /** This daemon became the owner of aEndpoint in period aTerm, or a
   * heartbeat round after a pause confirmed that it still is. The term must be
   * higher than all earlier ones of the endpoint. */
  void Acquire(const std::string& aEndpoint, std::uint64_t aTerm, Instant aNow);
  /** Another daemon owns aEndpoint now. */
  void OnOwnershipLost(const std::string& aEndpoint);
  std::variant<Grant, Refusal> OnReserve(const ReserveRequest& aRequest,
                                         Instant aNow);
  void OnRelease(const ReleaseAction& aRelease, Instant aNow);
  void OnClaim(const Claim& aClaim, Instant aNow);
  void OnLoadReport(const std::string& aEndpoint,
                    const LoadReport& aReport,
                    Instant aNow);
  /** Releases everything that the daemon incarnation aDaemon reserved. */
  void OnDaemonRemoved(const std::string& aDaemon, Instant aNow);
  /** Expires grants; true when a pause of this daemon, noticed now or at an
   * event since the last Tick, made it give up its terms. The daemon then
   * confirms its ownership by a heartbeat round and calls Acquire. */
  bool Tick(Instant aNow);

  const ReservationLedger* Find(const std::string& aEndpoint) const;

private:
  /** Compares aNow with the last event; a gap deposes all ledgers. */
  bool DetectPause(Instant aNow);

  LedgerOptions mOptions;
  std::map<std::string, ReservationLedger> mLedgers;
  Instant mLastTurn;
  bool mHasTurned = false;
  bool mIsPauseUnreported = false;
};

} // namespace bulrushfold

#endif
