#ifndef BULRUSHFOLD_ROUTER_SENDEND_H
#define BULRUSHFOLD_ROUTER_SENDEND_H

#include <string>
#include <string_view>

#include "Net/HttpClient.h"
#include "Router/EndpointProtocol.h"
#include "Routing/EndpointHealth.h"

namespace bulrushfold {

/** What a send to an endpoint came to. */
enum class SendEnd
{
  /** The endpoint's own answer; the request has run. */
  Answered,
  /** The endpoint says that it did not run the request. */
  NotRun,
  /** Another endpoint has the address; it ran nothing. */
  OtherEndpoint,
  /** No connection came about, so nothing was sent. */
  NotSent,
  /** It was sent, and whether it ran is unknown. */
  Unknown,
};

std::string_view SendEndName(SendEnd aEnd);
/** The same for logs, which say how a reply of unknown outcome broke. */
std::string_view SendEndName(SendEnd aEnd, HttpCallResult aResult);

/** True when the request certainly did not run. */
bool IsCertainlyNotRun(SendEnd aEnd);

/**
 * Judges a complete or broken reply. An answer that names another request, or
 * that does not prove where it comes from, says nothing about this one.
 */
SendEnd JudgeSend(HttpCallResult aResult,
                  const AnswerMetadata& aMetadata,
                  const std::string& aRequestId);

/** What a send says about the health of its endpoint. aStatus: of the reply. */
SendResult HealthOf(HttpCallResult aResult, SendEnd aEnd, int aStatus);

} // namespace bulrushfold

#endif
