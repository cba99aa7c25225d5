#include "Policy/PrefixIndex.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kBytesPerToken = 4;
// More endpoints per prefix would not improve the choice: the selector looks at
// only a few of them.
constexpr std::size_t kMaxPlaces = 4;
// Trust in an entry is halved by each gap of events since it was stored.
constexpr double kGapTrust = 0.5;
constexpr std::uint32_t kMaxGaps = 4;
constexpr double kLearningRate = 0.1;
constexpr double kMinTrust = 0.05;
} // namespace

std::vector<PromptPrefix>
HashPrefixes(std::string_view aModel,
             std::string_view aPrompt,
             std::size_t aMaxPrefixes)
{
  std::vector<PromptPrefix> marks;
  std::uint64_t hash = Hash64(aModel);
  const std::size_t step = kPrefixStepTokens * kBytesPerToken;
  for (std::size_t n = 1; n <= aMaxPrefixes && n * step <= aPrompt.size();
       ++n) {
    hash = Hash64(aPrompt.substr((n - 1) * step, step), hash);
    marks.push_back({ hash, n * kPrefixStepTokens });
  }
  return marks;
}

PrefixIndex::PrefixIndex(std::size_t aMaxEntries)
  : mMaxEntries(aMaxEntries)
{
}

void
PrefixIndex::OnEvents(std::uint32_t aEndpoint,
                      const std::vector<CacheEvent>& aEvents)
{
  Source& source = mSources[aEndpoint];
  for (const auto& it : aEvents) {
    const bool isOld = source.mHasEvents && it.mSequence < source.mNext;
    if (isOld) {
      continue;
    }
    if (source.mHasEvents && it.mSequence > source.mNext) {
      ++source.mGeneration;
    }
    source.mHasEvents = true;
    source.mNext = it.mSequence + 1;
    if (it.mIsStored) {
      Store(aEndpoint, { it.mPrefix, it.mTokens });
    } else {
      Erase(aEndpoint, it.mPrefix);
    }
  }
}

void
PrefixIndex::OnPrefill(std::uint32_t aEndpoint,
                       const std::vector<PromptPrefix>& aPrefixes,
                       std::uint64_t aCachedTokens)
{
  std::uint64_t expected = 0;
  for (const auto& it : aPrefixes) {
    const auto entry = mEntries.find(it.mHash);
    if (entry == mEntries.end()) {
      continue;
    }
    const auto& places = entry->second.mPlaces;
    if (std::any_of(places.begin(), places.end(), [&](const Place& aPlace) {
          return aPlace.mEndpoint == aEndpoint;
        })) {
      expected = it.mTokens;
    }
  }
  Source& source = mSources[aEndpoint];
  if (expected > 0) {
    const double found = std::min(
      1.0, static_cast<double>(aCachedTokens) / static_cast<double>(expected));
    source.mTrust += kLearningRate * (found - source.mTrust);
    source.mTrust = std::max(source.mTrust, kMinTrust);
  }
  // The prefill has stored all of them now, whether or not events say so.
  for (const auto& it : aPrefixes) {
    Store(aEndpoint, it);
  }
}

void
PrefixIndex::Forget(std::uint32_t aEndpoint)
{
  mSources.erase(aEndpoint);
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    auto& places = it->second.mPlaces;
    places.erase(std::remove_if(places.begin(),
                                places.end(),
                                [&](const Place& aPlace) {
                                  return aPlace.mEndpoint == aEndpoint;
                                }),
                 places.end());
    if (places.empty()) {
      mUses.erase(it->second.mUse);
      it = mEntries.erase(it);
    } else {
      ++it;
    }
  }
}

double
PrefixIndex::Trust(const Place& aPlace) const
{
  const auto it = mSources.find(aPlace.mEndpoint);
  if (it == mSources.end()) {
    return 0;
  }
  double trust = it->second.mTrust;
  const std::uint32_t gaps =
    std::min(kMaxGaps, it->second.mGeneration - aPlace.mGeneration);
  for (std::uint32_t n = 0; n < gaps; ++n) {
    trust *= kGapTrust;
  }
  return trust;
}

std::vector<PrefixIndex::Hit>
PrefixIndex::Find(const std::vector<PromptPrefix>& aPrefixes,
                  std::size_t aMaxHits) const
{
  std::vector<Hit> hits;
  for (auto it = aPrefixes.rbegin(); it != aPrefixes.rend(); ++it) {
    const auto entry = mEntries.find(it->mHash);
    if (entry == mEntries.end()) {
      continue;
    }
    for (const auto& place : entry->second.mPlaces) {
      const bool isKnown =
        std::any_of(hits.begin(), hits.end(), [&](const Hit& aHit) {
          return aHit.mEndpoint == place.mEndpoint;
        });
      if (!isKnown) {
        hits.push_back(
          { place.mEndpoint, Trust(place) * static_cast<double>(it->mTokens) });
      }
    }
    if (hits.size() >= aMaxHits) {
      break;
    }
  }
  if (hits.size() > aMaxHits) {
    hits.resize(aMaxHits);
  }
  return hits;
}

void
PrefixIndex::Store(std::uint32_t aEndpoint, const PromptPrefix& aPrefix)
{
  const auto [it, isNew] = mEntries.try_emplace(aPrefix.mHash);
  Entry& entry = it->second;
  if (isNew) {
    mUses.push_front(aPrefix.mHash);
    entry.mUse = mUses.begin();
  } else {
    mUses.splice(mUses.begin(), mUses, entry.mUse);
  }
  entry.mTokens = aPrefix.mTokens;
  auto& places = entry.mPlaces;
  places.erase(std::remove_if(places.begin(),
                              places.end(),
                              [&](const Place& aPlace) {
                                return aPlace.mEndpoint == aEndpoint;
                              }),
               places.end());
  places.insert(places.begin(), { aEndpoint, mSources[aEndpoint].mGeneration });
  if (places.size() > kMaxPlaces) {
    places.pop_back();
  }
  while (mEntries.size() > mMaxEntries) {
    mEntries.erase(mUses.back());
    mUses.pop_back();
  }
}

void
PrefixIndex::Erase(std::uint32_t aEndpoint, std::uint64_t aHash)
{
  const auto it = mEntries.find(aHash);
  if (it == mEntries.end()) {
    return;
  }
  auto& places = it->second.mPlaces;
  places.erase(std::remove_if(places.begin(),
                              places.end(),
                              [&](const Place& aPlace) {
                                return aPlace.mEndpoint == aEndpoint;
                              }),
               places.end());
  if (places.empty()) {
    mUses.erase(it->second.mUse);
    mEntries.erase(it);
  }
}

} // namespace bulrushfold
