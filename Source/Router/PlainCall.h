#ifndef BULRUSHFOLD_ROUTER_PLAINCALL_H
#define BULRUSHFOLD_ROUTER_PLAINCALL_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Net/HttpMessage.h"
#include "Router/SendEnd.h"
#include "Routing/PlainSelector.h"
#include "Routing/RoutingConfig.h"
#include "Routing/SharedRetryBudget.h"

namespace bulrushfold {

/** Why the router answered a request itself. */
enum class RefusalReason
{
  /** No configuration is known yet. */
  NoConfiguration,
  NoRoute,
  /** The service has no endpoint that takes requests. */
  NoEndpoint,
  /** All endpoints that were asked refused the request. */
  EndpointsFull,
  /** It would be late even if it waited. */
  Overload,
  /** It waited for room until it was given up. */
  WaitedTooLong,
  /** It crashed several endpoints before. */
  CrashSuspect,
  /** The daemon stops and could not finish it. */
  Stopping,
  /** The deadline had passed, or the route's time was over. */
  Timeout,
  /** It was sent, and whether it ran is unknown. */
  OutcomeUnknown,
};

std::string_view RefusalReasonName(RefusalReason aReason);

/** An answer of the router itself. */
struct Refusal
{
  int mStatus = 503;
  RefusalReason mReason = RefusalReason::NoEndpoint;
  /** When the caller may come again; zero when that does not help. */
  Duration mRetryAfter{};
};

/** A whole answer of an endpoint. */
struct EndpointAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

/** What bounds one request of a caller. */
struct CallTerms
{
  const Route* mRoute = nullptr;
  std::string mService;
  Instant mArrival;
  /** The route's time is over, or the caller has left. */
  Instant mDeadline;
};

/** What a PlainCall has its session do. */
class PlainCallPort
{
public:
  virtual ~PlainCallPort() = default;
  /** Sends the request; the end is reported with OnSendEnded. */
  virtual void Send(const EndpointChoice& aChoice, Instant aDeadline) = 0;
  /** Ends the send in progress without a report. */
  virtual void CancelSend(SendResult aReason) = 0;
  virtual void Deliver(const EndpointAnswer& aAnswer) = 0;
  virtual void Refuse(const Refusal& aRefusal) = 0;
  /** Calls OnWake at aTime; replaces an earlier order. */
  virtual void WakeAt(Instant aTime) = 0;
};

/**
 * Life of one request to a plain service: which endpoint gets it, whether it
 * may be sent again, and what the caller is told. A request that may run only
 * once is sent again only after it certainly did not run.
 */
class PlainCall
{
public:
  PlainCall(PlainCallPort& aPort,
            const PlainSelector& aSelector,
            SharedRetryBudget& aRetryBudget,
            CallTerms aTerms);

  void Start(Instant aNow);
  /** aAnswer: set when aEnd is Answered. */
  void OnSendEnded(SendEnd aEnd, EndpointAnswer aAnswer, Instant aNow);
  void OnWake(Instant aNow);

private:
  void Send(const EndpointChoice& aChoice, Instant aNow);
  /** Sends it again if that is allowed, else ends the call. */
  void Retry(Instant aNow);
  bool MayRunAgain() const;
  void Finish();
  void FinishWith(const Refusal& aRefusal);

  PlainCallPort& mPort;
  const PlainSelector& mSelector;
  SharedRetryBudget& mRetryBudget;
  CallTerms mTerms;
  std::set<std::string> mTried;
  /** Sends that may have run. */
  std::uint32_t mRuns = 0;
  std::uint32_t mSends = 0;
  bool mIsSending = false;
  bool mIsOver = false;
  SendEnd mLastEnd = SendEnd::NotSent;
  /** A failure of an endpoint that is passed on if nothing better comes. */
  std::optional<EndpointAnswer> mFailure;
};

} // namespace bulrushfold

#endif
