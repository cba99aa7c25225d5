#ifndef BULRUSHFOLD_ROUTER_ANSWERWRITER_H
#define BULRUSHFOLD_ROUTER_ANSWERWRITER_H

#include <string>

#include "Router/RoutedRequest.h"
#include "Router/RouterServices.h"

namespace bulrushfold {

/**
 * Writes the answer to the caller of one request and logs its outcome.
 * aEndpoint is the endpoint of the last send, which the log line names.
 */
class AnswerWriter
{
public:
  AnswerWriter(RouterServices& aServices, RoutedRequestPointer aRequest);

  void Deliver(const EndpointAnswer& aAnswer, const std::string& aEndpoint);
  void Refuse(const Refusal& aRefusal, const std::string& aEndpoint);
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void Send(std::string_view aData);
  void EndStream(const std::string& aEndpoint);
  /** Closes the connection before the answer is complete. */
  void Abort(RefusalReason aReason, const std::string& aEndpoint);
  /** The caller closed its connection. */
  void LogCallerDisconnected(const std::string& aEndpoint);

private:
  void RecordFirstByte();

  RouterServices& mServices;
  RoutedRequestPointer mRequest;
  int mStreamStatus = 0;
  Instant mLastEventAt;
};

} // namespace bulrushfold

#endif
