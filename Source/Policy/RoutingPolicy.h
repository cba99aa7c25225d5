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

struct RequestProgress;

/** Settings of RoutingPolicy that are not part of a preset. */
struct PolicyOptions
{
  /** Reservations requested for one attempt before the request is queued. */
  std::uint32_t mMaxReservations = 4;
  /** Attempts of one request, including the first. */
  std::uint32_t mMaxAttempts = 3;
  /** Retries as a share of requests. */
  double mRetryShare = 0.1;
  /** Interval of the claims that renew a running decode. */
  Duration mClaimInterval = std::chrono::seconds(5);
};

/**
 * The entry daemon's routing decisions for model requests. The daemon passes
 * events in and carries out the returned actions in order. The class does no
 * input or output and is not thread safe.
 *
 * The daemon delivers these events:
 * - SetPreset, SetEndpoints: after every change of the configuration.
 * - OnRequest: once for each model request, after the authentication of its
 *   caller and the check of the workspace's limits.
 * - OnGrant, OnRefusal: the owner's reply to each ReserveAction, also when the
 *   owner is this daemon. Without a reply in time, deliver a Refusal with
 *   reason NoAnswer; the policy then continues without a reservation.
 * - OnPrefillDone: 200 of /engine/prefill. OnTransferDone: 200 of
 *   /engine/transfer. OnFirstToken: first event of the decode stream.
 *   OnFinished: the decode stream ended with its last token.
 * - OnFailed: any other end of a call that the policy started, with the kind of
 *   failure. A call that a CancelAction ended is not reported.
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

  /** Number of requests that have not ended, waiting or running. */
  std::size_t RequestCount() const { return mRequests.size(); }
  std::size_t WaitingCount() const { return mQueue.size(); }
  const CostModel& Costs() const { return mCosts; }

private:
  RequestProgress* Find(const std::string& aRequest, std::uint32_t aAttempt);

  // Steps towards the first token (RoutingPolicySteps.cxx).
  bool Dispatch(RequestProgress& aProgress, Instant aNow, Actions& aActions);
  void ReservePrefill(RequestProgress& aProgress,
                      const PairChoice& aChoice,
                      Instant aNow,
                      Actions& aActions);
  bool ReserveDecode(RequestProgress& aProgress,
                     Instant aNow,
                     Actions& aActions);
  void StartPrefill(RequestProgress& aProgress,
                    Instant aNow,
                    Actions& aActions);
  void StartTransferOrDecode(RequestProgress& aProgress,
                             Instant aNow,
                             Actions& aActions);
  void StartDecode(RequestProgress& aProgress,
                   Duration aDelay,
                   Actions& aActions);
  void OnPrefillRefused(RequestProgress& aProgress,
                        const Refusal& aRefusal,
                        Instant aNow,
                        Actions& aActions);
  void OnDecodeRefused(RequestProgress& aProgress,
                       const Refusal& aRefusal,
                       Instant aNow,
                       Actions& aActions);

  // Queueing, failures, retries and releases (RoutingPolicyRecovery.cxx).
  void Enqueue(RequestProgress& aProgress, Instant aNow, Actions& aActions);
  void ReselectDecode(RequestProgress& aProgress,
                      Instant aNow,
                      Actions& aActions);
  void OnTransferFailed(RequestProgress& aProgress,
                        FailureKind aKind,
                        Instant aNow,
                        Actions& aActions);
  void OnDecodeFailed(RequestProgress& aProgress,
                      FailureKind aKind,
                      Instant aNow,
                      Actions& aActions);
  void Retry(RequestProgress& aProgress, Instant aNow, Actions& aActions);
  void Reject(RequestProgress& aProgress,
              RejectReason aReason,
              Duration aRetryAfter,
              Instant aNow,
              Actions& aActions);
  void ReleasePrefill(RequestProgress& aProgress,
                      Instant aNow,
                      Actions& aActions);
  void ReleaseDecode(RequestProgress& aProgress,
                     Instant aNow,
                     Actions& aActions);
  /** Cancels the calls and releases the reservations of the current attempt. */
  void CancelAttempt(RequestProgress& aProgress,
                     Instant aNow,
                     Actions& aActions);
  void EraseRequest(const RequestProgress& aProgress);
  void DispatchQueued(Instant aNow, Actions& aActions);
  /** Requests decode slots again for the requests in mReselecting. */
  void RetryReselections(Instant aNow, Actions& aActions);
  void RenewClaims(Actions& aActions);

  Instant FirstTokenDue(const RequestProgress& aProgress) const;
  Claim MakeDecodeClaim(const RequestProgress& aProgress) const;

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
  std::unordered_map<std::string, std::unique_ptr<RequestProgress>> mRequests;
  /** Requests in stage ReselectingDecode whose last reservation was refused. */
  std::vector<std::string> mReselecting;
  Instant mLastRenewal;
};

} // namespace bulrushfold

#endif
