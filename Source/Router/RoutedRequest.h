#ifndef BULRUSHFOLD_ROUTER_ROUTEDREQUEST_H
#define BULRUSHFOLD_ROUTER_ROUTEDREQUEST_H

#include <functional>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Net/HttpExchange.h"
#include "Router/EndpointProtocol.h"
#include "Router/PlainCall.h"
#include "Routing/CrashGuard.h"
#include "Routing/PlacementTerms.h"
#include "Routing/RouteTable.h"

namespace bulrushfold {

/** Outcome of a request, for logs and metrics. */
enum class RequestOutcome
{
  /** An endpoint's answer was passed on. */
  Answered,
  /** The router itself answered. */
  Refused,
  /** A streamed answer started, but was not completed. */
  Aborted,
  /** The caller closed its connection before the answer was complete. */
  CallerDisconnected,
};

std::string_view RequestOutcomeName(RequestOutcome aOutcome);

/** A caller's request, as the filters and sessions process it. */
struct RoutedRequest
{
  std::shared_ptr<HttpExchange> mExchange;
  RequestMetadata mMetadata;
  /** Unique in this daemon. */
  std::uint64_t mNumber = 0;
  /** Configuration that applies to the request. */
  std::shared_ptr<const RouteTable> mTable;
  CallParameters mParameters;
  /** Workspace of the caller's key; null when there is none. */
  const Workspace* mWorkspace = nullptr;
  /** A send of the request was granted, so its cost was taken. */
  bool mHasTakenQuota = false;
  /** Hash of path, caller address and body; equal for all attempts of a
   * caller. */
  std::uint64_t mHash = 0;
  RequestKeys mCrashKeys;
  /** Daemon that chose the endpoints of the last send; empty: this one. */
  std::string mPlacedBy;
  /** Number of sends to endpoints so far, for the log. */
  std::uint32_t mSends = 0;
  /** When the first byte of the answer was sent to the caller; zero before. */
  Instant mFirstByteAt;
  /** Longest time between two events of a streamed answer. */
  Duration mLongestEventInterval{};

  const HttpRequest& Message() const { return mExchange->Request(); }
  /** Rank of the request when capacity is short; 0 is the most urgent. */
  int Urgency() const;
  /** mCrashKeys without the parts of the prompt. */
  RequestKeys KeysWithoutPrompt() const
  {
    return { {}, mCrashKeys.mRequest, mCrashKeys.mContent };
  }
  /** Units of the workspace's quota that the next send uses. */
  double QuotaCost() const;
  PlacementTerms Terms() const;
  /** Identifies the stream that the caller begins or resumes. The id of an
   * attempt is the caller's own word, so the hash of the request is part. */
  std::uint64_t StreamKey() const;
  /** Maximum time for which the caller may resume a stream of this request,
   * from its arrival on. */
  Duration ResumableTime() const;
  /** What each send of the request to an endpoint states. */
  SendParameters MakeSendParameters(Duration aTimeLeft) const;
};

using RoutedRequestPointer = std::shared_ptr<RoutedRequest>;

} // namespace bulrushfold

#endif
