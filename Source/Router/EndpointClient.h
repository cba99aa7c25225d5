#ifndef BULRUSHFOLD_ROUTER_ENDPOINTCLIENT_H
#define BULRUSHFOLD_ROUTER_ENDPOINTCLIENT_H

#include <cstdint>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Net/HttpClient.h"
#include "Router/EndpointProtocol.h"
#include "Routing/EndpointDirectory.h"

namespace bulrushfold {

/**
 * HTTP client for all calls to endpoints. What the head of an answer states
 * about its endpoint is entered into the endpoint directory before the caller
 * of the call sees the answer.
 */
class EndpointClient
{
public:
  EndpointClient(const Clock& aClock,
                 HttpClient& aClient,
                 const EndpointProtocol& aProtocol,
                 EndpointDirectory& aDirectory);

  /** Starts aRequest, which aEndpoint receives. */
  std::unique_ptr<HttpCall> Start(const EndpointRecord& aEndpoint,
                                  HttpCallRequest aRequest,
                                  HttpCallHooks aHooks);

private:
  /** aIncarnation: the process to which the call was sent. */
  void HandleHead(const std::string& aEndpoint,
                  std::int64_t aIncarnation,
                  int aStatus,
                  const HttpHeaders& aHeaders);

  const Clock& mClock;
  HttpClient& mClient;
  const EndpointProtocol& mProtocol;
  EndpointDirectory& mDirectory;
};

} // namespace bulrushfold

#endif
