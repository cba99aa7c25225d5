#ifndef BULRUSHFOLD_WIRE_PEERCODEC_H
#define BULRUSHFOLD_WIRE_PEERCODEC_H

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Base/Secret.h"
#include "Envelope_types.h"
#include "Settings/Settings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Version of the protocol between daemons. */
constexpr int kPeerProtocolVersion = 1;

/**
 * Signs and verifies the frames between daemons. A frame is refused when its
 * key is unknown, its HMAC-SHA256 does not match, it is addressed to another
 * daemon, or its sequence number was already received from the same incarnation
 * of the sender.
 */
class PeerCodec
{
public:
  /** aKeys must not be empty; the first key signs, all keys are accepted. */
  PeerCodec(std::string aName, const std::vector<PeerKey>& aKeys);

  /** Returns the bytes of a signed frame, without a length prefix. */
  std::string Encode(const wire::Envelope& aEnvelope) const;
  /**
   * Verifies and decodes a frame. Errors are InvalidArgument for a malformed
   * frame, Unauthenticated for an unknown key, a wrong HMAC, a wrong receiver
   * or a repeated sequence number, and Unimplemented for another version of the
   * protocol.
   */
  absl::StatusOr<wire::Envelope> Decode(std::string_view aFrame);

private:
  /** Number of frames on the other connection that may arrive before a frame
   * that was sent earlier. */
  static constexpr std::int64_t kWindowSize = 1024;

  struct SigningKey
  {
    std::string mId;
    HmacSha256Signer mSigner;
  };
  const SigningKey* FindKey(const std::string& aId) const;

  std::string mName;
  std::vector<SigningKey> mKeys;
  /**
   * Sequence numbers received from one incarnation of a daemon. Two daemons
   * have a connection in each direction, so the numbers may arrive out of
   * order by at most the size of the window.
   */
  struct Window
  {
    std::int64_t mHighest = 0;
    /** The numbers up to mHighest that were received, each at its remainder by
     * the size of the window. */
    std::bitset<kWindowSize> mSeen;
  };
  /** False when aSequence was received before or is older than the window. */
  static bool Accept(Window& aWindow, std::int64_t aSequence);

  /** Windows by sender and incarnation. */
  std::map<std::pair<std::string, std::string>, Window> mWindows;
};

} // namespace bulrushfold

#endif
