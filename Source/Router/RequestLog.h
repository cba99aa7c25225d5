#ifndef BULRUSHFOLD_ROUTER_REQUESTLOG_H
#define BULRUSHFOLD_ROUTER_REQUESTLOG_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Outcome/Metrics.h"
#include "Router/RoutedRequest.h"
#include "Router/StreamCall.h"
#include "Routing/CrashGuard.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/PlainQueue.h"
#include "Routing/ServiceReach.h"
#include "Routing/StreamVersion.h"
#include "absl/status/status.h"

namespace bulrushfold {

/** End, in the log, of a send that was given up before it had a connection. */
constexpr std::string_view kUnconnected = "unconnected";

/** Writes log lines and metrics about the decisions on requests. */
class RequestLog
{
public:
  RequestLog(const Clock& aClock,
             std::string aOwnName,
             const EndpointDirectory& aDirectory,
             Metrics& aMetrics);

  /** A call to an endpoint was sent. aStep: "request" or "move". */
  void Sent(const RoutedRequest& aRequest,
            std::string_view aStep,
            const std::string& aEndpoint,
            double aLoad,
            std::size_t aCandidates);
  /** A call to an endpoint ended; not used for plain requests that were
   * answered. aStep: "request", "reserve", "prefill", "decode" or "move". */
  void SendEnded(const RoutedRequest& aRequest,
                 std::string_view aStep,
                 const std::string& aEndpoint,
                 std::string_view aOutcome,
                 int aStatus,
                 Duration aDuration);
  /** A run was lost with the connection to its endpoint. aAnswering: time
   * since the start of its answer; zero when it had not started. */
  void RunLost(const RoutedRequest& aRequest,
               const std::string& aEndpoint,
               Duration aAnswering);
  /** A run stays at aEndpoint, because the call that would move it cannot be
   * made. */
  void MoveSkipped(const RoutedRequest& aRequest,
                   const std::string& aEndpoint,
                   const absl::Status& aReason);
  /** The decode engine of a run has sent nothing for the stall timeout.
   * aKeptFor: why no other run may replace it; empty when a replacement is
   * prepared. */
  void RunSilent(const RoutedRequest& aRequest,
                 const std::string& aEndpoint,
                 std::optional<RefusalReason> aKeptFor);
  /** The request is refused because of aPart. */
  void SuspectRefused(const RoutedRequest& aRequest, const RefusedPart& aPart);
  /** A request or prompt part is refused from now on, or accepted again. */
  void PartDecided(const RefusedPart& aPart, bool aIsRefused, Instant aNow);
  void Queued(const RoutedRequest& aRequest, std::size_t aWaiting);
  /** A plain request got no endpoint. */
  void PlacementRefused(const RoutedRequest& aRequest,
                        const PlainRefusal& aRefusal);
  void Placed(const RoutedRequest& aRequest, const StreamPlacement& aPlacement);
  /** It was decided at which software version a resumed stream may go on.
   * aAsked, aAnswered: other daemons that were asked, and that answered. */
  void VersionDecided(const RoutedRequest& aRequest,
                      const VersionDecision& aDecision,
                      std::size_t aAsked,
                      std::size_t aAnswered);
  /** This daemon reaches no endpoint of a service, or one again. */
  void ReachChanged(const ReachChange& aChange);
  /** The request has ended. aReason: empty unless the router ended it. */
  void Ended(const RoutedRequest& aRequest,
             RequestOutcome aOutcome,
             int aStatus,
             std::string_view aReason,
             const std::string& aEndpoint);

private:
  /** Target of the route that the answer missed; "no" if it missed none. */
  static std::string_view MissedTarget(const RoutedRequest& aRequest,
                                       Instant aNow);
  /** Name of the daemon that placed aRequest. */
  const std::string& PlacerOf(const RoutedRequest& aRequest) const;
  void CountPlacement(const RoutedRequest& aRequest, std::string_view aStep);
  std::uint64_t ConfigVersion(const RoutedRequest& aRequest) const;
  Duration Since(Instant aTime) const;

  const Clock& mClock;
  std::string mOwnName;
  const EndpointDirectory& mDirectory;
  Metrics& mMetrics;
};

} // namespace bulrushfold

#endif
