#ifndef BULRUSHFOLD_ROUTER_ROUTERSERVICES_H
#define BULRUSHFOLD_ROUTER_ROUTERSERVICES_H

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Router/EndpointProtocol.h"
#include "Router/KeptPromptQuery.h"
#include "Router/RequestLog.h"
#include "Router/RoutedRequest.h"
#include "Router/SendEnd.h"
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

/** What the sessions of a router share. */
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
  DeferredRequests& mReturns;
  CachedPrompts& mKept;
  KeptPromptQuery& mKeptQuery;
  AnswerLengthEstimator& mAnswerLengths;
  PlainSelector& mSelector;
  StreamDispatcher& mStreams;
  RequestLog& mLog;

  /** Notes what the end of a send tells of its endpoint and of the request. */
  void NoteSendEnd(const RoutedRequest& aRequest,
                   const std::string& aEndpoint,
                   SendEnd aEnd,
                   HttpCallResult aResult);
};

} // namespace bulrushfold

#endif
