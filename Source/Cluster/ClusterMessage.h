#ifndef BULRUSHFOLD_CLUSTER_CLUSTERMESSAGE_H
#define BULRUSHFOLD_CLUSTER_CLUSTERMESSAGE_H

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Cluster_types.h"
#include "Envelope_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** A message between two daemons about membership, configuration or crash
 * suspects. */
using ClusterMessage = std::variant<wire::Heartbeat,
                                    wire::MembershipSync,
                                    wire::ConfigDigest,
                                    wire::ConfigUpdate,
                                    wire::ConfigFetch,
                                    wire::CrashReport>;

/** A one-way message to the daemon mTo. */
struct Outgoing
{
  std::string mTo;
  ClusterMessage mMessage;
};

/** Messages to send now, in this order. Each may be lost. */
using Outbox = std::vector<Outgoing>;

/** Appends aMore to aOutbox. */
void AppendOutbox(Outbox& aOutbox, Outbox aMore);

/** Kind under which aMessage is sent. */
wire::MessageKind::type KindOf(const ClusterMessage& aMessage);

/** Payload of aMessage. */
std::string EncodeClusterMessage(const ClusterMessage& aMessage);

/** Returns InvalidArgument when aKind is no kind of ClusterMessage or
 * aPayload is malformed. */
absl::StatusOr<ClusterMessage> DecodeClusterMessage(
  wire::MessageKind::type aKind,
  std::string_view aPayload);

} // namespace bulrushfold

#endif
