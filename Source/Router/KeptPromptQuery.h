#ifndef BULRUSHFOLD_ROUTER_KEPTPROMPTQUERY_H
#define BULRUSHFOLD_ROUTER_KEPTPROMPTQUERY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Router/EndpointProtocol.h"
#include "Routing/CachedPrompts.h"
#include "Routing/EndpointDirectory.h"

namespace bulrushfold {

/**
 * Asks decode engines which prompts they keep, for a daemon that does not know
 * where a returning caller's stream ran: it is new itself. Each call delays the
 * engine a little, so an engine is asked once in a while only.
 */
class KeptPromptQuery
{
public:
  KeptPromptQuery(EventLoop& aLoop,
                  const Clock& aClock,
                  HttpClient& aClient,
                  const EndpointProtocol& aProtocol,
                  const EndpointDirectory& aDirectory,
                  CachedPrompts& aKept);

  /** Calls aDone when the engines of aService answered or the time for that
   * is over; at once when they were asked a moment ago. */
  void Ask(const std::string& aService, std::function<void()> aDone);

private:
  void Send(const EndpointRecord& aEngine);
  void HandleReply(const std::string& aEngine, const HttpCallReply& aReply);
  void Finish();

  EventLoop& mLoop;
  const Clock& mClock;
  HttpClient& mClient;
  const EndpointProtocol& mProtocol;
  const EndpointDirectory& mDirectory;
  CachedPrompts& mKept;
  std::map<std::string, Instant> mAskedAt;
  /** By engine. */
  std::map<std::string, std::unique_ptr<HttpCall>> mCalls;
  std::vector<std::function<void()>> mWaiting;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
