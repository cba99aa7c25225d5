#ifndef BULRUSHFOLD_POLICY_ROUTINGPOLICY_H
#define BULRUSHFOLD_POLICY_ROUTINGPOLICY_H

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Random.h"
#include "Policy/Admission.h"
#include "Policy/CostModel.h"
#include "Policy/EndpointTable.h"
#include "Policy/FairQueue.h"
#include "Policy/LinkSchedule.h"
#include "Policy/PairSelector.h"
#include "Policy/PolicyTypes.h"
#include "Policy/PrefixIndex.h"
#include "Policy/RetryBudget.h"

namespace bulrushfold {

struct Flight;

/** Constants of RoutingPolicy that are not part of a preset. */
struct PolicyOptions
{
  /** Reservations asked for one attempt before the request waits. */
  std::uint32_t mMaxReserves = 4;
  /** Attempts of one request, including the first. */
  std::uint32_t mMaxAttempts = 3;
  /** Retries as a share of requests. */
  double mRetryShare = 0.1;
  /** Interval of the claims that renew a running decode. */
  Duration mClaimInterval = std::chrono::seconds(5);
};

/**
 * The entry daemon's routing decisions for model requests. Events go in, the
 * actions that the daemon must carry out come back, in order. The class does
 * no input or output and is not thread safe.
 *
 * The daemon delivers these events:
 * - SetPreset, SetEndpoints: after every change of the configuration.
 * - OnRequest: once, when a model request passed identification and limits.
 * - OnGrant, OnRefusal: the owner's reply to each ReserveAction, also when the
 *   owner is this daemon. Without a reply in time, deliver a Refusal with
 *   reason NoAnswer; the policy then goes on without a reservation.
 * - OnPrefillDone: 200 of /engine/prefill. OnTransferDone: 200 of
 *   /engine/transfer. OnFirstToken: first event of the decode stream.
 *   OnFinished: the decode stream ended with its last token.
 * - OnFailed: any other end of a call that the policy started, with its kind.
 *   The stage is known to the policy. A call that ended by a CancelAction is
 *   not reported.
 * - OnCallerDisconnected: the caller disconnected, or its deadline passed.
 * - OnLoadReport: each answer of /engine/load. OnCacheEvents: each answer of
 *   /engine/events.
 * - OnOwnerChanged: the owner of an endpoint changed; the policy sends claims
 *   for its work there.
 * - Tick: every 10 ms. Starts waiting requests and expires them.
 *
 * Every request ends with exactly one of: a RejectAction returned, OnFinished
 * or OnCallerDisconnected delivered. Events of unknown requests or of former
 * attempts are ignored. Attempts are numbered from 1.
 */
class RoutingPolicy
{
public:
  RoutingPolicy(const PolicyOptions& aOptions, Random& aRandom);
  ~RoutingPolicy();
  RoutingPolicy(const RoutingPolicy&) = delete;
  RoutingPolicy& operator=(const RoutingPolicy&) = delete;

  void SetPreset(const Preset& aPreset);
  void SetEndpoints(const std::map<std::string, Endpoint>& aEndpoints);

  Actions OnRequest(const ModelRequest& aRequest, Instant aNow);
  Actions OnGrant(const Grant& aGrant, Instant aNow);
  Actions OnRefusal(const Refusal& aRefusal, Instant aNow);
  Actions OnPrefillDone(const std::string& aRequest,
                        std::uint32_t aAttempt,
                        std::uint64_t aCachedTokens,
                        Instant aNow);
  Actions OnTransferDone(const std::string& aRequest,
                         std::uint32_t aAttempt,
                         double aBytes,
                         Instant aNow);
  Actions OnFirstToken(const std::string& aRequest,
                       std::uint32_t aAttempt,
                       Instant aNow);
  Actions OnFinished(const std::string& aRequest,
                     std::uint32_t aAttempt,
                     std::uint64_t aTokens,
                     Instant aNow);
  Actions OnFailed(const std::string& aRequest,
                   std::uint32_t aAttempt,
                   FailureKind aKind,
                   Instant aNow);
  Actions OnCallerDisconnected(const std::string& aRequest, Instant aNow);
  /** Claims for all work of this daemon at aEndpoint. */
  Actions OnOwnerChanged(const std::string& aEndpoint, Instant aNow);
  void OnLoadReport(const std::string& aEndpoint,
                    const LoadReport& aReport,
                    Instant aNow);
  void OnCacheEvents(const std::string& aEndpoint,
                     const std::vector<CacheEvent>& aEvents);
  Actions Tick(Instant aNow);

  /** Requests that the policy holds, waiting or running. */
  std::size_t Open() const { return mFlights.size(); }
  std::size_t WaitingCount() const { return mQueue.size(); }
  const CostModel& Costs() const { return mCosts; }

private:
  Flight* Find(const std::string& aRequest, std::uint32_t aAttempt);

  // Steps towards the first token (RoutingPolicySteps.cxx).
  bool Dispatch(Flight& aFlight, Instant aNow, Actions& aActions);
  void ReservePrefill(Flight& aFlight,
                      const PairChoice& aChoice,
                      Instant aNow,
                      Actions& aActions);
  bool ReserveDecode(Flight& aFlight, Instant aNow, Actions& aActions);
  void StartPrefill(Flight& aFlight, Instant aNow, Actions& aActions);
  void Continue(Flight& aFlight, Instant aNow, Actions& aActions);
  void StartDecode(Flight& aFlight, Duration aDelay, Actions& aActions);
  void OnPrefillRefused(Flight& aFlight,
                        const Refusal& aRefusal,
                        Instant aNow,
                        Actions& aActions);
  void OnDecodeRefused(Flight& aFlight,
                       const Refusal& aRefusal,
                       Instant aNow,
                       Actions& aActions);

  // Ends and detours (RoutingPolicyEnds.cxx).
  void Wait(Flight& aFlight, Instant aNow, Actions& aActions);
  void MoveDecode(Flight& aFlight, Instant aNow, Actions& aActions);
  void OnTransferFailed(Flight& aFlight,
                        FailureKind aKind,
                        Instant aNow,
                        Actions& aActions);
  void OnDecodeFailed(Flight& aFlight,
                      FailureKind aKind,
                      Instant aNow,
                      Actions& aActions);
  void Retry(Flight& aFlight, Instant aNow, Actions& aActions);
  void Reject(Flight& aFlight,
              RejectReason aReason,
              Duration aRetryAfter,
              Instant aNow,
              Actions& aActions);
  void ReleasePrefill(Flight& aFlight, Instant aNow, Actions& aActions);
  void ReleaseDecode(Flight& aFlight, Instant aNow, Actions& aActions);
  /** Ends all work of the current attempt at all endpoints. */
  void Abandon(Flight& aFlight, Instant aNow, Actions& aActions);
  void Forget(const Flight& aFlight);
  void RunQueue(Instant aNow, Actions& aActions);
  /** Asks again for decode slots for caches that have none. */
  void RunMoves(Instant aNow, Actions& aActions);
  void RenewClaims(Actions& aActions);

  Instant FirstTokenDue(const Flight& aFlight) const;
  Claim MakeDecodeClaim(const Flight& aFlight) const;

  PolicyOptions mOptions;
  Random& mRandom;
  Preset mPreset;
  CostModel mCosts;
  EndpointTable mEndpoints;
  PrefixIndex mPrefixes;
  LinkSchedule mLinks;
  PairSelector mSelector;
  Admission mAdmission;
  FairQueue mQueue;
  RetryBudget mRetries;
  std::unordered_map<std::string, std::unique_ptr<Flight>> mFlights;
  /** Flights in stage MovingDecode whose last reservation was refused. */
  std::vector<std::string> mMoving;
  Instant mLastRenewal;
};

} // namespace bulrushfold

#endif
