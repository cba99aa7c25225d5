#ifndef BULRUSHFOLD_ROUTER_CALLERSIDE_H
#define BULRUSHFOLD_ROUTER_CALLERSIDE_H

#include <string>

#include "Router/RoutedRequest.h"
#include "Router/RouterServices.h"

namespace bulrushfold {

/** Passes answers to the caller of one request and notes how it ended. */
class CallerSide
{
public:
  CallerSide(RouterServices& aServices, RoutedRequestPointer aRequest);

  void Deliver(const EndpointAnswer& aAnswer, const std::string& aEndpoint);
  void Refuse(const Refusal& aRefusal, const std::string& aEndpoint);
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void Send(std::string_view aData);
  void EndStream(const std::string& aEndpoint);
  void Break(RefusalReason aReason, const std::string& aEndpoint);
  /** The caller left. */
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
