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
#include "Routing/AnswerLengthEstimator.h"
#include "Routing/CachedPrompts.h"
#include "Routing/CrashGuard.h"
#include "Routing/DeferredRequests.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/PromptCrashGuard.h"
#include "Routing/SharedRetryBudget.h"

namespace bulrushfold {

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
  SharedRetryBudget& mRetryBudget;
  CrashGuard& mGuard;
  PromptCrashGuard& mPromptGuard;
  DeferredRequests& mDeferredRequests;
  CachedPrompts& mCachedPrompts;
  CachedPromptQuery& mCachedPromptQuery;
  AnswerLengthEstimator& mAnswerLengths;
  PlacementClient& mPlacement;
  RecentGrants& mGrants;
  RequestLog& mLog;
  /** Emitted when the stop time is over; each open request must end. */
  sigc::signal<void()>& mOnStopEnd;
  /** A number that no other request of this daemon has. */
  std::function<std::uint64_t()> mNextNumber;

  /** Updates the endpoint directory and the crash guard after a send. */
  void RecordSendOutcome(const RoutedRequest& aRequest,
                         const std::string& aEndpoint,
                         SendOutcome aOutcome,
                         HttpCallResult aResult);
  /** True when a part of the prompt crashes engines; logs the reason. */
  bool RefusesPrompt(const RoutedRequest& aRequest);
};

} // namespace bulrushfold

#endif
