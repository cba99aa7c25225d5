#ifndef BULRUSHFOLD_ROUTER_CALLERSIDE_H
#define BULRUSHFOLD_ROUTER_CALLERSIDE_H

#include <string>

#include "Router/RoutedRequest.h"
#include "Router/RouterServices.h"

namespace bulrushfold {

/**
 * Writes the answer to the caller of one request and logs its outcome.
 * aEndpoint is the endpoint of the last send, which the log line names.
 */
class CallerSide
{
public:
  CallerSide(RouterServices& aServices, RoutedRequestPointer aRequest);

  void Deliver(const EndpointAnswer& aAnswer, const std::string& aEndpoint);
  void Refuse(const Refusal& aRefusal, const std::string& aEndpoint);
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void Send(std::string_view aData);
  void EndStream(const std::string& aEndpoint);
  /** Closes the connection before the answer is complete. */
  void Break(RefusalReason aReason, const std::string& aEndpoint);
  /** The caller closed its connection. */
  void NoteGone(const std::string& aEndpoint);

private:
  void NoteFirstByte();

  RouterServices& mServices;
  RoutedRequestPointer mRequest;
  int mStreamStatus = 0;
  Instant mLastPartAt;
};

} // namespace bulrushfold

#endif
