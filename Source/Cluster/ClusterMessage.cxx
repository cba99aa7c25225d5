#include "Cluster/ClusterMessage.h"

#include <iterator>
#include <utility>

#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
constexpr wire::MessageKind::type kKinds[] = {
  wire::MessageKind::HEARTBEAT,     wire::MessageKind::MEMBERSHIP,
  wire::MessageKind::CONFIG_DIGEST, wire::MessageKind::CONFIG_UPDATE,
  wire::MessageKind::CONFIG_FETCH,  wire::MessageKind::CRASH_REPORT,
};

template<typename Message>
absl::StatusOr<ClusterMessage>
DecodeAs(std::string_view aPayload)
{
  auto message = DecodeThrift<Message>(aPayload);
  if (!message.ok()) {
    return message.status();
  }
  return ClusterMessage(*std::move(message));
}
} // namespace

void
AppendOutbox(Outbox& aOutbox, Outbox aMore)
{
  aOutbox.insert(aOutbox.end(),
                 std::make_move_iterator(aMore.begin()),
                 std::make_move_iterator(aMore.end()));
}

wire::MessageKind::type
KindOf(const ClusterMessage& aMessage)
{
  static_assert(std::size(kKinds) == std::variant_size_v<ClusterMessage>);
  return kKinds[aMessage.index()];
}

std::string
EncodeClusterMessage(const ClusterMessage& aMessage)
{
  return std::visit([](const auto& aItem) { return EncodeThrift(aItem); },
                    aMessage);
}

absl::StatusOr<ClusterMessage>
DecodeClusterMessage(wire::MessageKind::type aKind, std::string_view aPayload)
{
  switch (aKind) {
    case wire::MessageKind::HEARTBEAT:
      return DecodeAs<wire::Heartbeat>(aPayload);
    case wire::MessageKind::MEMBERSHIP:
      return DecodeAs<wire::MembershipSync>(aPayload);
    case wire::MessageKind::CONFIG_DIGEST:
      return DecodeAs<wire::ConfigDigest>(aPayload);
    case wire::MessageKind::CONFIG_UPDATE:
      return DecodeAs<wire::ConfigUpdate>(aPayload);
    case wire::MessageKind::CONFIG_FETCH:
      return DecodeAs<wire::ConfigFetch>(aPayload);
    case wire::MessageKind::CRASH_REPORT:
      return DecodeAs<wire::CrashReport>(aPayload);
    default:
      return absl::InvalidArgumentError("expected a message of the cluster");
  }
}

} // namespace bulrushfold
