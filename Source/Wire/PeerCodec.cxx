#include "Wire/PeerCodec.h"

#include <algorithm>

#include "Wire/ThriftCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
// Limits the size of mWindows, which grows by an entry with each restart of a
// peer.
constexpr std::size_t kMaxTrackedIncarnations = 20'000;
} // namespace

PeerCodec::PeerCodec(std::string aName, const std::vector<PeerKey>& aKeys)
  : mName(std::move(aName))
{
  for (const auto& it : aKeys) {
    mKeys.push_back({ it.mId, HmacSha256Signer(it.mBytes) });
  }
}

bool
PeerCodec::Accept(Window& aWindow, std::int64_t aSequence)
{
  if (aSequence < 0 || aSequence <= aWindow.mHighest - kWindowSize) {
    return false;
  }
  const auto place = [](std::int64_t aNumber) {
    return static_cast<std::size_t>(aNumber % kWindowSize);
  };
  if (aSequence - aWindow.mHighest >= kWindowSize) {
    aWindow.mSeen.reset();
    aWindow.mHighest = aSequence;
  }
  while (aWindow.mHighest < aSequence) {
    aWindow.mSeen.reset(place(++aWindow.mHighest));
  }
  if (aWindow.mSeen.test(place(aSequence))) {
    return false;
  }
  aWindow.mSeen.set(place(aSequence));
  return true;
}

std::string
PeerCodec::Encode(const wire::Envelope& aEnvelope) const
{
  const SigningKey& key = mKeys.front();
  wire::SignedFrame frame;
  frame.keyId = key.mId;
  frame.envelope = EncodeThrift(aEnvelope);
  frame.mac = key.mSigner.Sign(frame.envelope);
  return EncodeThrift(frame);
}

const PeerCodec::SigningKey*
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
  const SigningKey* key = FindKey(frame->keyId);
  if (key == nullptr) {
    return absl::UnauthenticatedError(
      absl::StrCat("key \"", frame->keyId, "\" is not known"));
  }
  if (!EqualConstantTime(key->mSigner.Sign(frame->envelope), frame->mac)) {
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
