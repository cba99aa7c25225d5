#ifndef BULRUSHFOLD_ROUTER_PLAINCALL_H
#define BULRUSHFOLD_ROUTER_PLAINCALL_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Net/HttpMessage.h"
#include "Router/SendOutcome.h"
#include "Routing/EndpointHealth.h"
#include "Routing/PlainQueue.h"
#include "Routing/RoutingConfig.h"
#include "Routing/SharedRetryBudget.h"

namespace bulrushfold {

/** Reason for which the router itself answered a request. */
enum class RefusalReason
{
  /** The daemon has not read a configuration yet. */
  NoConfiguration,
  NoRoute,
  /** No workspace holds the caller's key. */
  UnknownKey,
  /** The workspace has used up its quota. */
  QuotaExceeded,
  /** The service has no endpoint that accepts requests. */
  NoEndpoint,
  /** Every endpoint that was tried refused the request. */
  EndpointsFull,
  /** Nobody knows the software version that began the resumed stream. */
  UnknownVersion,
  /** The run failed, and its route allows no further one. */
  AttemptsUsed,
  /** The retry budget of the service does not allow another send. */
  RetryBudgetUsed,
  /** The request would miss its latency target even if it were queued. */
  Overload,
  /** The request expired in the queue before engines had capacity for it. */
  WaitedTooLong,
  /** The same request crashed several endpoints before. */
  CrashSuspect,
  /** The daemon is stopping and could not finish the request. */
  Stopping,
  /** The caller's deadline or the route's timeout has passed. */
  Timeout,
  /** The request was sent, and it is unknown whether it ran. */
  OutcomeUnknown,
};

std::string_view RefusalReasonName(RefusalReason aReason);

/** An answer that the router itself creates. */
struct Refusal
{
  int mStatus = 503;
  RefusalReason mReason = RefusalReason::NoEndpoint;
  /** Time after which the caller may retry; zero when a retry does not help. */
  Duration mRetryAfter{};
};

/** A complete answer of an endpoint. */
struct EndpointAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

/** Route, service and time limit of one request. */
struct CallParameters
{
  const Route* mRoute = nullptr;
  std::string mService;
  Instant mArrival;
  /** End of the route's timeout or of the caller's wait, whichever is first. */
  Instant mDeadline;
};

/** Actions that a PlainCall requests from its session. */
class PlainCallDelegate
{
public:
  virtual ~PlainCallDelegate() = default;
  /** Asks for an endpoint; the session answers with OnGranted, at once or
   * later. */
  virtual void RequestEndpoint(const PlainDemand& aDemand) = 0;
  /** The answer is not needed any more; OnGranted is not called. */
  virtual void WithdrawRequest() = 0;
  /** Sends the request; the session reports the end with OnSendEnded. */
  virtual void Send(const EndpointChoice& aChoice, Instant aDeadline) = 0;
  /** Cancels the send in progress, for which OnSendEnded is not called.
   * aReason: its result in the health record if it had a connection.
   * @return NotSent when it had none yet, otherwise Unknown. */
  virtual SendOutcome CancelSend(SendResult aReason) = 0;
  /** True when the request crashes endpoints, so that it is not sent again. */
  virtual bool IsCrashSuspect() = 0;
  virtual void Deliver(const EndpointAnswer& aAnswer) = 0;
  virtual void Refuse(const Refusal& aRefusal) = 0;
  /** Schedules OnWake for aTime; replaces the time that was set before. */
  virtual void WakeAt(Instant aTime) = 0;
};

/**
 * Handles one plain request, which is any request other than a stream of a
 * model engine: chooses the endpoint, decides whether the request may be sent
 * again, and selects the answer to the caller. A request that may run only once
 * is sent again only if it is certain that it did not run.
 */
class PlainCall
{
public:
  PlainCall(PlainCallDelegate& aDelegate,
            SharedRetryBudget& aRetryBudget,
            CallParameters aParameters);

  void Start(Instant aNow);
  void OnGranted(const PlainGrant& aGrant, Instant aNow);
  /** aAnswer: set when aOutcome is Answered. */
  void OnSendEnded(SendOutcome aOutcome, EndpointAnswer aAnswer, Instant aNow);
  void OnWake(Instant aNow);
  /** The process ends; answers the request. */
  void OnStopEnd(Instant aNow);

private:
  /** What an endpoint was asked for. */
  enum class Purpose
  {
    None,
    FirstSend,
    Retry,
    /** To replace a send that has reached the latency target. */
    Replacement,
  };

  void RequestEndpoint(Purpose aPurpose, bool aNeedsUntried);
  /** Withdraws the request for an endpoint, if there is one. */
  void WithdrawRequest();
  void Send(const EndpointChoice& aChoice, Instant aNow);
  /** Cancels the send in progress, which may have run if it was connected. */
  void AbandonSend(SendResult aReason);
  /** Sends the request again if that is allowed; otherwise ends the call. */
  void Retry(Instant aNow);
  bool MayRunAgain() const;
  void Finish();
  void FinishWith(const Refusal& aRefusal);

  PlainCallDelegate& mDelegate;
  SharedRetryBudget& mRetryBudget;
  CallParameters mParameters;
  std::set<std::string> mTriedEndpoints;
  /** Sends after which the request may have run. */
  std::uint32_t mPossibleRuns = 0;
  std::uint32_t mSends = 0;
  Purpose mPurpose = Purpose::None;
  /** Time after which the placer of the last demand expects free endpoints. */
  Duration mRetryAfter{};
  /** The workspace had used up its quota at the last demand. */
  bool mIsOverQuota = false;
  bool mIsSending = false;
  bool mIsFinished = false;
  SendOutcome mLastOutcome = SendOutcome::NotSent;
  /** Server error of an endpoint; delivered if no further send succeeds. */
  std::optional<EndpointAnswer> mErrorAnswer;
};

} // namespace bulrushfold

#endif
