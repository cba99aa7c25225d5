#ifndef BULRUSHFOLD_ROUTER_ROUTERSERVICES_H
#define BULRUSHFOLD_ROUTER_ROUTERSERVICES_H

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Router/CachedPromptQuery.h"
#include "Router/EndpointProtocol.h"
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
#include "Routing/PlainSelector.h"
#include "Routing/SharedRetryBudget.h"

namespace bulrushfold {

class StreamDispatcher;

/** Components that the sessions of a router share. */
struct RouterServices
{
  EventLoop& mLoop;
  const Clock& mClock;
  HttpClient& mClient;
  const EndpointProtocol& mProtocol;
  EndpointDirectory& mDirectory;
  EndpointLoads& mLoads;
  EndpointHealth& mHealth;
  SharedRetryBudget& mRetryBudget;
  CrashGuard& mGuard;
  DeferredRequests& mDeferredRequests;
  CachedPrompts& mCachedPrompts;
  CachedPromptQuery& mCachedPromptQuery;
  AnswerLengthEstimator& mAnswerLengths;
  PlainSelector& mSelector;
  StreamDispatcher& mStreams;
  RecentGrants& mGrants;
  RequestLog& mLog;

  /** Updates the endpoint directory and the crash guard after a send. */
  void RecordSendOutcome(const RoutedRequest& aRequest,
                         const std::string& aEndpoint,
                         SendOutcome aOutcome,
                         HttpCallResult aResult);
};

} // namespace bulrushfold

#endif
