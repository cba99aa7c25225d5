#ifndef BULRUSHFOLD_ROUTER_SENDOUTCOME_H
#define BULRUSHFOLD_ROUTER_SENDOUTCOME_H

#include <string>
#include <string_view>

#include "Net/HttpClient.h"
#include "Router/EndpointProtocol.h"
#include "Routing/EndpointHealth.h"

namespace bulrushfold {

/** Outcome of one send of a request to an endpoint. */
enum class SendOutcome
{
  /** The endpoint itself answered, so the request has run. */
  Answered,
  /** The endpoint states that it did not run the request. */
  NotRun,
  /** Another endpoint answered at the address; it did not run the request. */
  OtherEndpoint,
  /** No connection was established, so nothing was sent. */
  NotSent,
  /** The request was sent, and it is unknown whether it ran. */
  Unknown,
};

std::string_view SendOutcomeName(SendOutcome aOutcome);
/** Name for logs: if aOutcome is Unknown, the name of aResult, which says how
 * the call failed. */
std::string_view SendOutcomeName(SendOutcome aOutcome, HttpCallResult aResult);

/** True when the request certainly did not run. */
bool IsCertainlyNotRun(SendOutcome aOutcome);

/**
 * Determines the outcome of a send from its reply. The outcome is unknown when
 * the answer names another request, or when it does not prove that the endpoint
 * created it.
 */
SendOutcome ClassifySend(HttpCallResult aResult,
                         const AnswerMetadata& aMetadata,
                         const std::string& aRequestId);

/** Result of a send for the health record of its endpoint. aStatus: HTTP status
 * of the reply. */
SendResult HealthResultOf(HttpCallResult aResult,
                          SendOutcome aOutcome,
                          int aStatus);

} // namespace bulrushfold

#endif
