#ifndef BULRUSHFOLD_ROUTER_ROUTERSERVICES_H
#define BULRUSHFOLD_ROUTER_ROUTERSERVICES_H

#include <cstdint>
#include <functional>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Router/CachedPromptQuery.h"
#include "Router/EndpointClient.h"
#include "Router/EndpointProtocol.h"
#include "Router/PlacementClient.h"
#include "Router/RecentGrants.h"
#include "Router/RequestLog.h"
#include "Router/RoutedRequest.h"
#include "Router/SendOutcome.h"
#include "Router/StreamOriginExchange.h"
#include "Routing/AnswerLengthEstimator.h"
#include "Routing/CachedPrompts.h"
#include "Routing/CrashGuard.h"
#include "Routing/DeferredRequests.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/ServiceReach.h"
#include "Routing/SharedRetryBudget.h"

namespace bulrushfold {

/** A request that was sent to an endpoint. */
struct SentRun
{
  std::string mEndpoint;
  /** Hash of the endpoint's id and incarnation. */
  std::uint64_t mEngine = 0;
  Instant mSentAt;
};

/** A run of aEndpoint that is sent at aNow. */
SentRun MakeSentRun(const EndpointRecord& aEndpoint, Instant aNow);

/** Components that the sessions of a router share. */
struct RouterServices
{
  EventLoop& mLoop;
  const Clock& mClock;
  EndpointClient& mClient;
  const EndpointProtocol& mProtocol;
  EndpointDirectory& mDirectory;
  EndpointLoads& mLoads;
  EndpointHealth& mHealth;
  ServiceReach& mReach;
  SharedRetryBudget& mRetryBudget;
  CrashGuard& mGuard;
  DeferredRequests& mDeferredRequests;
  CachedPrompts& mCachedPrompts;
  CachedPromptQuery& mCachedPromptQuery;
  AnswerLengthEstimator& mAnswerLengths;
  PlacementClient& mPlacement;
  StreamOrigins& mOrigins;
  StreamOriginExchange& mOriginExchange;
  RecentGrants& mGrants;
  RequestLog& mLog;
  /** Emitted when the stop time is over; each open request must end. */
  sigc::signal<void()>& mOnStopEnd;
  /** A number that no other request of this daemon has. */
  std::function<std::uint64_t()> mNextNumber;

  /** Updates what is known of the endpoint's health and of this daemon's path
   * to it, after a send. */
  void RecordHealth(const std::string& aService,
                    const std::string& aEndpoint,
                    SendResult aResult,
                    Instant aSentAt);
  /** Updates the endpoint directory, and what the crash guard knows of the
   * endpoint, after a send. */
  void RecordSendOutcome(const SentRun& aRun, SendOutcome aOutcome);
  /** The connection of a run with aKeys was lost. */
  void RecordLostRun(const SentRun& aRun, const RequestKeys& aKeys);
  /** A run was given up because its endpoint was silent. It is lost if the
   * endpoint has left the registry or leaves it soon. */
  void RecordSilentRun(const SentRun& aRun, const RequestKeys& aKeys);
  /** True when the request, or a part of its prompt, crashes endpoints; logs
   * the reason. */
  bool IsCrashSuspect(const RoutedRequest& aRequest);
};

} // namespace bulrushfold

#endif
