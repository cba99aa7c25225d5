#include "Emulator/CacheEvents.h"

#include "absl/strings/str_cat.h"

namespace bulrushfold {

CacheEvents::CacheEvents(const Clock& aClock,
                         Random& aRandom,
                         const EngineEmulatorSettings& aSettings)
  : mClock(aClock)
  , mRandom(aRandom)
  , mSettings(aSettings)
{
}

void
CacheEvents::Record(const PrefixChange& aChange)
{
  constexpr std::size_t kMaxEvents = 10'000;
  const std::uint64_t sequence = mNextSequence++;
  if (mRandom.Bernoulli(mSettings.mEventLossProbability)) {
    return;
  }
  mEvents.push_back({ sequence, mClock.Now() + mSettings.mEventLag, aChange });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

nlohmann::json
CacheEvents::List(std::uint64_t aFrom) const
{
  nlohmann::json events = nlohmann::json::array();
  std::uint64_t next = aFrom;
  const Instant now = mClock.Now();
  for (const auto& it : mEvents) {
    if (it.mSequence < aFrom || it.mVisibleAt > now) {
      continue;
    }
    events.push_back(
      { { "sequence", it.mSequence },
        { "kind", it.mChange.mIsStored ? "stored" : "evicted" },
        { "prefix",
          absl::StrCat(absl::Hex(it.mChange.mPrefix, absl::kZeroPad16)) },
        { "tokens", it.mChange.mTokens } });
    next = it.mSequence + 1;
  }
  return { { "events", events }, { "next", next } };
}

} // namespace bulrushfold
