#ifndef BULRUSHFOLD_WIRE_PEERCODEC_H
#define BULRUSHFOLD_WIRE_PEERCODEC_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Envelope_types.h"
#include "Settings/Settings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Version of the protocol between daemons. */
constexpr int kPeerProtocolVersion = 1;

/**
 * Signs and checks the frames between daemons. A frame is refused when its key
 * is unknown, its HMAC-SHA256 does not match, it is meant for another daemon,
 * or its sequence number was already seen from that incarnation.
 */
class PeerCodec
{
public:
  /** aKeys must not be empty; the first key signs, all keys are accepted. */
  PeerCodec(std::string aName, std::vector<PeerKey> aKeys);

  /** Bytes of a signed frame, without length prefix. */
  std::string Encode(const wire::Envelope& aEnvelope) const;
  /**
   * Checks and decodes a frame. InvalidArgument: malformed; Unauthenticated:
   * unknown key, wrong HMAC, wrong receiver or repeated sequence number;
   * Unimplemented: another protocol version.
   */
  absl::StatusOr<wire::Envelope> Decode(std::string_view aFrame);

private:
  const PeerKey* FindKey(const std::string& aId) const;

  std::string mName;
  std::vector<PeerKey> mKeys;
  /**
   * Sequence numbers seen from one incarnation. Two daemons have a connection
   * in each direction, so numbers may arrive out of order within a window.
   */
  struct Window
  {
    std::int64_t mHighest = 0;
    std::set<std::int64_t> mSeen;
  };
  /** False when aSequence was seen or is older than the window. */
  static bool Accept(Window& aWindow, std::int64_t aSequence);

  /** By (sender, incarnation). */
  std::map<std::pair<std::string, std::string>, Window> mWindows;
};

} // namespace bulrushfold

#endif
