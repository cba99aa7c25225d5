#ifndef BULRUSHFOLD_ROUTER_CACHEDPROMPTQUERY_H
#define BULRUSHFOLD_ROUTER_CACHEDPROMPTQUERY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Router/EndpointClient.h"
#include "Router/EndpointProtocol.h"
#include "Routing/CachedPrompts.h"
#include "Routing/EndpointDirectory.h"

namespace bulrushfold {

/**
 * Lists the prompts in the prefix caches of decode engines. A daemon that
 * has just started needs this when a caller resumes a stream, because it does
 * not know which engine ran the stream. Each call delays the engine slightly,
 * so the calls to one engine have a minimum interval.
 */
class CachedPromptQuery
{
public:
  CachedPromptQuery(EventLoop& aLoop,
                    const Clock& aClock,
                    EndpointClient& aClient,
                    const EndpointProtocol& aProtocol,
                    const EndpointDirectory& aDirectory,
                    CachedPrompts& aCachedPrompts);

  /** Calls aDone when the engines of aService have answered or the query has
   * timed out; immediately when no query is due or in progress. */
  void Start(const std::string& aService, std::function<void()> aDone);

private:
  void Send(const EndpointRecord& aEngine);
  void HandleReply(const std::string& aEngine, const HttpCallReply& aReply);
  void Finish();

  EventLoop& mLoop;
  const Clock& mClock;
  EndpointClient& mClient;
  const EndpointProtocol& mProtocol;
  const EndpointDirectory& mDirectory;
  CachedPrompts& mCachedPrompts;
  std::map<std::string, Instant> mQueriedAt;
  /** Queries in progress, by engine. */
  std::map<std::string, std::unique_ptr<HttpCall>> mCalls;
  std::vector<std::function<void()>> mCallbacks;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
