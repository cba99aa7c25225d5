#ifndef BULRUSHFOLD_ROUTER_ROUTEDREQUEST_H
#define BULRUSHFOLD_ROUTER_ROUTEDREQUEST_H

#include <functional>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Net/HttpExchange.h"
#include "Router/EndpointProtocol.h"
#include "Router/PlainCall.h"
#include "Routing/RouteTable.h"

namespace bulrushfold {

/** How the work on a request ended, for logs and metrics. */
enum class RequestOutcome
{
  /** An endpoint's answer was passed on. */
  Answered,
  /** The router answered itself. */
  Refused,
  /** A stream broke off on the way. */
  Broken,
  CallerDisconnected,
};

std::string_view RequestOutcomeName(RequestOutcome aOutcome);

/** A request of a caller on its way through the filters. */
struct RoutedRequest
{
  std::shared_ptr<HttpExchange> mExchange;
  RequestMetadata mMetadata;
  /** Unique in this daemon. */
  std::uint64_t mNumber = 0;
  /** Configuration that the request is handled by. */
  std::shared_ptr<const RouteTable> mTable;
  CallTerms mTerms;
  /** Hash of path, caller and body: the same for all attempts of a caller. */
  std::uint64_t mHash = 0;
  /** Sends to endpoints so far, for the log. */
  std::uint32_t mSends = 0;
  /** First byte of the answer went to the caller; zero: not yet. */
  Instant mFirstByteAt;
  /** Longest time between two parts of a streamed answer. */
  Duration mLongestEventInterval{};

  const HttpRequest& Message() const { return mExchange->Request(); }
};

using RoutedRequestPointer = std::shared_ptr<RoutedRequest>;

} // namespace bulrushfold

#endif
