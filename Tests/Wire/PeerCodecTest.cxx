#include "Wire/PeerCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
const PeerKey kOldKey{ "old", std::string(16, 'o') };
const PeerKey kNewKey{ "new", std::string(16, 'n') };

wire::Envelope
MakeEnvelope(std::int64_t aSequence)
{
  wire::Envelope envelope;
  envelope.protocolVersion = kPeerProtocolVersion;
  envelope.sender = "a";
  envelope.incarnation = "i1";
  envelope.sequence = aSequence;
  envelope.role = wire::FrameRole::CALL;
  envelope.kind = wire::MessageKind::HEARTBEAT;
  envelope.callId = 5;
  envelope.payload = std::string("\0payload", 8);
  envelope.receiver = "b";
  return envelope;
}
} // namespace

TEST_CASE("Frames between daemons")
{
  const PeerCodec sender("a", { kOldKey });
  PeerCodec receiver("b", { kOldKey });

  SUBCASE("a frame is unchanged after encoding and decoding")
  {
    const auto envelope = MakeEnvelope(1);
    const auto decoded = receiver.Decode(sender.Encode(envelope));
    REQUIRE(decoded.ok());
    CHECK(*decoded == envelope);
  }

  // Guards against messages that are replayed, or sent to another daemon.
  SUBCASE("a frame is accepted once and only by its receiver")
  {
    const std::string frame = sender.Encode(MakeEnvelope(2));
    PeerCodec other("c", { kOldKey });
    CHECK(absl::IsUnauthenticated(other.Decode(frame).status()));
    CHECK(receiver.Decode(frame).ok());
    CHECK(absl::IsUnauthenticated(receiver.Decode(frame).status()));
  }

  // Guards against a fault that occurred: a frame was refused, and its
  // connection closed, because a later frame had arrived before it on the other
  // connection of the same two daemons.
  SUBCASE("frames of two connections may arrive out of order")
  {
    const std::string early = sender.Encode(MakeEnvelope(1));
    CHECK(receiver.Decode(sender.Encode(MakeEnvelope(2))).ok());
    CHECK(receiver.Decode(early).ok());
    CHECK(absl::IsUnauthenticated(receiver.Decode(early).status()));
  }

  SUBCASE("a frame older than the window is refused")
  {
    CHECK(receiver.Decode(sender.Encode(MakeEnvelope(5000))).ok());
    CHECK(absl::IsUnauthenticated(
      receiver.Decode(sender.Encode(MakeEnvelope(1))).status()));
  }

  SUBCASE("frames are accepted during each step of a key rotation")
  {
    PeerCodec first("b", { kOldKey, kNewKey });
    const PeerCodec second("a", { kNewKey, kOldKey });
    const PeerCodec third("a", { kNewKey });
    CHECK(first.Decode(sender.Encode(MakeEnvelope(1))).ok());
    CHECK(first.Decode(second.Encode(MakeEnvelope(2))).ok());
    CHECK(first.Decode(third.Encode(MakeEnvelope(3))).ok());
    CHECK(absl::IsUnauthenticated(
      receiver.Decode(third.Encode(MakeEnvelope(4))).status()));
  }

  // Guards against accepting a forged or damaged frame.
  SUBCASE("no damaged frame is accepted")
  {
    CHECK(rc::check([&sender] {
      PeerCodec codec("b", { kOldKey });
      std::string frame = sender.Encode(MakeEnvelope(1));
      const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
      const auto flip = *rc::gen::inRange(1, 256);
      frame[at] = static_cast<char>(frame[at] ^ flip);
      const auto decoded = codec.Decode(frame);
      const bool isRefusedOrEqual =
        !decoded.ok() || *decoded == MakeEnvelope(1);
      RC_ASSERT(isRefusedOrEqual);
    }));
  }

  SUBCASE("random bytes are refused without a crash")
  {
    CHECK(rc::check([](const std::string& aBytes) {
      PeerCodec codec("b", { kOldKey });
      RC_ASSERT(!codec.Decode(aBytes).ok());
    }));
  }
}

} // namespace bulrushfold
