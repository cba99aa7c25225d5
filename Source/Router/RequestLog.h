#ifndef BULRUSHFOLD_ROUTER_REQUESTLOG_H
#define BULRUSHFOLD_ROUTER_REQUESTLOG_H

#include <cstdint>
#include <string_view>

#include "Base/Clock.h"
#include "Outcome/Metrics.h"
#include "Router/RoutedRequest.h"
#include "Router/StreamCall.h"
#include "Routing/EndpointDirectory.h"

namespace bulrushfold {

/** Log lines and metrics of the decisions on requests. */
class RequestLog
{
public:
  RequestLog(const Clock& aClock,
             const EndpointDirectory& aDirectory,
             Metrics& aMetrics);

  /** aStep: "request", "prefill", "decode", "reserve" or "resume". */
  void Sent(const RoutedRequest& aRequest,
            std::string_view aStep,
            const std::string& aEndpoint,
            double aLoad,
            std::size_t aCandidates);
  /** A send that ended otherwise than with the answer that is passed on. */
  void SendEnded(const RoutedRequest& aRequest,
                 std::string_view aStep,
                 const std::string& aEndpoint,
                 std::string_view aEnd,
                 int aStatus,
                 Duration aTook);
  void Queued(const RoutedRequest& aRequest, std::size_t aWaiting);
  void Placed(const RoutedRequest& aRequest, const StreamPlacement& aPlacement);
  /** The request is over. aReason: empty unless the router ended it. */
  void Ended(const RoutedRequest& aRequest,
             RequestOutcome aOutcome,
             int aStatus,
             std::string_view aReason,
             const std::string& aEndpoint);

private:
  /** Which goal of its route the answer missed; "no" if none. */
  static std::string_view Lateness(const RoutedRequest& aRequest, Instant aNow);
  std::uint64_t Version(const RoutedRequest& aRequest) const;
  Duration Since(Instant aTime) const;

  const Clock& mClock;
  const EndpointDirectory& mDirectory;
  Metrics& mMetrics;
};

} // namespace bulrushfold

#endif
