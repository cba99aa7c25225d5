#include "Policy/PrefixIndex.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kBytesPerToken = 4;
// Endpoints stored for each prefix. More would not improve the choice, because
// the selector considers only a few of them.
constexpr std::size_t kMaxLocations = 4;
// Factor by which each gap of events reduces the weight of the entries that
// were stored before it.
constexpr double kGapFactor = 0.5;
constexpr std::uint32_t kMaxGaps = 4;
constexpr double kSmoothingFactor = 0.1;
constexpr double kMinWeight = 0.05;
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
  EventState& state = mEventStates[aEndpoint];
  for (const auto& it : aEvents) {
    const bool isRepeated =
      state.mHasEvents && it.mSequence < state.mNextSequence;
    if (isRepeated) {
      continue;
    }
    if (state.mHasEvents && it.mSequence > state.mNextSequence) {
      ++state.mGeneration;
    }
    state.mHasEvents = true;
    state.mNextSequence = it.mSequence + 1;
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
    const auto& locations = entry->second.mLocations;
    if (std::any_of(
          locations.begin(), locations.end(), [&](const Location& aLocation) {
            return aLocation.mEndpoint == aEndpoint;
          })) {
      expected = it.mTokens;
    }
  }
  EventState& state = mEventStates[aEndpoint];
  if (expected > 0) {
    const double found = std::min(
      1.0, static_cast<double>(aCachedTokens) / static_cast<double>(expected));
    state.mWeight += kSmoothingFactor * (found - state.mWeight);
    state.mWeight = std::max(state.mWeight, kMinWeight);
  }
  // The endpoint caches all prefixes of the prompt after the prefill, whether
  // or not its events report them.
  for (const auto& it : aPrefixes) {
    Store(aEndpoint, it);
  }
}

void
PrefixIndex::RemoveEndpoint(std::uint32_t aEndpoint)
{
  mEventStates.erase(aEndpoint);
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    auto& locations = it->second.mLocations;
    locations.erase(std::remove_if(locations.begin(),
                                   locations.end(),
                                   [&](const Location& aLocation) {
                                     return aLocation.mEndpoint == aEndpoint;
                                   }),
                    locations.end());
    if (locations.empty()) {
      mUseOrder.erase(it->second.mUsePosition);
      it = mEntries.erase(it);
    } else {
      ++it;
    }
  }
}

double
PrefixIndex::Weight(const Location& aLocation) const
{
  const auto it = mEventStates.find(aLocation.mEndpoint);
  if (it == mEventStates.end()) {
    return 0;
  }
  double weight = it->second.mWeight;
  const std::uint32_t gaps =
    std::min(kMaxGaps, it->second.mGeneration - aLocation.mGeneration);
  for (std::uint32_t n = 0; n < gaps; ++n) {
    weight *= kGapFactor;
  }
  return weight;
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
    for (const auto& location : entry->second.mLocations) {
      const bool isListed =
        std::any_of(hits.begin(), hits.end(), [&](const Hit& aHit) {
          return aHit.mEndpoint == location.mEndpoint;
        });
      if (!isListed) {
        hits.push_back({ location.mEndpoint,
                         Weight(location) * static_cast<double>(it->mTokens) });
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
    mUseOrder.push_front(aPrefix.mHash);
    entry.mUsePosition = mUseOrder.begin();
  } else {
    mUseOrder.splice(mUseOrder.begin(), mUseOrder, entry.mUsePosition);
  }
  entry.mTokens = aPrefix.mTokens;
  auto& locations = entry.mLocations;
  locations.erase(std::remove_if(locations.begin(),
                                 locations.end(),
                                 [&](const Location& aLocation) {
                                   return aLocation.mEndpoint == aEndpoint;
                                 }),
                  locations.end());
  locations.insert(locations.begin(),
                   { aEndpoint, mEventStates[aEndpoint].mGeneration });
  if (locations.size() > kMaxLocations) {
    locations.pop_back();
  }
  while (mEntries.size() > mMaxEntries) {
    mEntries.erase(mUseOrder.back());
    mUseOrder.pop_back();
  }
}

void
PrefixIndex::Erase(std::uint32_t aEndpoint, std::uint64_t aHash)
{
  const auto it = mEntries.find(aHash);
  if (it == mEntries.end()) {
    return;
  }
  auto& locations = it->second.mLocations;
  locations.erase(std::remove_if(locations.begin(),
                                 locations.end(),
                                 [&](const Location& aLocation) {
                                   return aLocation.mEndpoint == aEndpoint;
                                 }),
                  locations.end());
  if (locations.empty()) {
    mUseOrder.erase(it->second.mUsePosition);
    mEntries.erase(it);
  }
}

} // namespace bulrushfold
