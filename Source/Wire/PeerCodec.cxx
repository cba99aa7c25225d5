#include "Wire/PeerCodec.h"

#include <algorithm>

#include "Base/Secret.h"
#include "Wire/ThriftCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
// Limits the size of mWindows, which grows by an entry with each restart of a
// peer.
constexpr std::size_t kMaxTrackedIncarnations = 20'000;
// Number of frames on the other connection that may arrive before a frame that
// was sent earlier.
constexpr std::int64_t kWindowSize = 1024;
} // namespace

PeerCodec::PeerCodec(std::string aName, std::vector<PeerKey> aKeys)
  : mName(std::move(aName))
  , mKeys(std::move(aKeys))
{
}

bool
PeerCodec::Accept(Window& aWindow, std::int64_t aSequence)
{
  if (aSequence <= aWindow.mHighest - kWindowSize ||
      !aWindow.mSeen.insert(aSequence).second) {
    return false;
  }
  aWindow.mHighest = std::max(aWindow.mHighest, aSequence);
  aWindow.mSeen.erase(
    aWindow.mSeen.begin(),
    aWindow.mSeen.upper_bound(aWindow.mHighest - kWindowSize));
  return true;
}

std::string
PeerCodec::Encode(const wire::Envelope& aEnvelope) const
{
  const PeerKey& key = mKeys.front();
  wire::SignedFrame frame;
  frame.keyId = key.mId;
  frame.envelope = EncodeThrift(aEnvelope);
  frame.mac = HmacSha256(key.mBytes, frame.envelope);
  return EncodeThrift(frame);
}

const PeerKey*
PeerCodec::FindKey(const std::string& aId) const
{
  for (const auto& it : mKeys) {
    if (it.mId == aId) {
      return &it;
    }
  }
  return nullptr;
}

absl::StatusOr<wire::Envelope>
PeerCodec::Decode(std::string_view aFrame)
{
  const auto frame = DecodeThrift<wire::SignedFrame>(aFrame);
  if (!frame.ok()) {
    return frame.status();
  }
  const PeerKey* key = FindKey(frame->keyId);
  if (key == nullptr) {
    return absl::UnauthenticatedError(
      absl::StrCat("key \"", frame->keyId, "\" is not known"));
  }
  if (!EqualConstantTime(HmacSha256(key->mBytes, frame->envelope),
                         frame->mac)) {
    return absl::UnauthenticatedError("the HMAC does not match");
  }
  auto envelope = DecodeThrift<wire::Envelope>(frame->envelope);
  if (!envelope.ok()) {
    return envelope.status();
  }
  if (envelope->protocolVersion != kPeerProtocolVersion) {
    return absl::UnimplementedError(
      absl::StrCat("protocol version ", envelope->protocolVersion));
  }
  if (envelope->receiver != mName) {
    return absl::UnauthenticatedError(
      absl::StrCat("the frame is meant for ", envelope->receiver));
  }
  if (mWindows.size() >= kMaxTrackedIncarnations) {
    mWindows.clear();
  }
  if (!Accept(mWindows[{ envelope->sender, envelope->incarnation }],
              envelope->sequence)) {
    return absl::UnauthenticatedError(
      absl::StrCat("sequence number ", envelope->sequence, " was used before"));
  }
  return envelope;
}

} // namespace bulrushfold
