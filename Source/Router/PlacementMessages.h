#ifndef BULRUSHFOLD_ROUTER_PLACEMENTMESSAGES_H
#define BULRUSHFOLD_ROUTER_PLACEMENTMESSAGES_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Envelope_types.h"
#include "Placement_types.h"
#include "Platform/StoreFeed.h"
#include "Router/PeerStatus.h"
#include "Routing/OwnerSelector.h"
#include "Routing/PlainQueue.h"
#include "Routing/StreamOrigins.h"
#include "Routing/StreamScheduler.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Sends messages to other daemons. */
struct PlacementLink
{
  using ReplyHook = std::function<void(absl::StatusOr<std::string>)>;

  std::function<void(const FleetMember& aTarget,
                     wire::MessageKind::type aKind,
                     std::string aPayload,
                     Duration aTimeout,
                     ReplyHook aHook)>
    mCall;
  std::function<void(const FleetMember& aTarget,
                     wire::MessageKind::type aKind,
                     std::string aPayload)>
    mSend;
};

/** aSpan as a field of a message, in milliseconds, rounded toward zero. */
std::int32_t WholeMilliseconds(Duration aSpan);
/** A count that a message states; 0 when it is negative. */
std::uint64_t NonNegative(std::int64_t aNumber);

wire::PlainPlacementRequest ToWire(const PlainDemand& aDemand, Instant aNow);
PlainDemand FromWire(const wire::PlainPlacementRequest& aRequest, Instant aNow);
wire::PlainRefusal ToWire(const PlainRefusal& aRefusal);
PlainRefusal FromWire(const wire::PlainRefusal& aRefusal);
/** The answer to a demand whose workspace has used up its quota until aWait. */
PlainGrant OverQuotaGrant(std::uint64_t aNumber, Duration aWait);
wire::PlainPlacementReply ToWire(const PlainGrant& aGrant);
PlainGrant FromWire(const wire::PlainPlacementReply& aReply,
                    std::uint64_t aNumber);

wire::StreamPlacementRequest ToWire(const StreamDemand& aDemand, Instant aNow);
StreamDemand FromWire(const wire::StreamPlacementRequest& aRequest,
                      Instant aNow);
wire::StreamPlacementReply ToWire(const StreamPlacement& aPlacement);
StreamPlacement FromWire(const wire::StreamPlacementReply& aReply,
                         std::uint64_t aNumber);

wire::FeedPosition ToWire(const FeedPosition& aPosition);
FeedPosition FromWire(const wire::FeedPosition& aPosition);
wire::FeedUpdate ToWire(const FeedUpdate& aUpdate);
FeedUpdate FromWire(const wire::FeedUpdate& aUpdate);

wire::StreamOrigin ToWire(const StreamOrigin& aOrigin, Instant aNow);
StreamOrigin FromWire(const wire::StreamOrigin& aOrigin, Instant aNow);

wire::StreamRun ToWire(const StreamRun& aRun, Instant aNow);
StreamRun FromWire(const wire::StreamRun& aRun, Instant aNow);

} // namespace bulrushfold

#endif
