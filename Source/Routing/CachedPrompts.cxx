#include "Routing/CachedPrompts.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Callers detect a dead daemon after about 4 s and retry. After the lifetime
 * the engine will have reused the memory for other runs. */
constexpr Duration kLifetime = std::chrono::seconds(8);
/** Limits memory use and the size of messages. */
constexpr std::size_t kMaxInterrupted = 256;
} // namespace

void
CachedPrompts::Expire(Instant aNow)
{
  while (!mInterrupted.empty() &&
         (aNow - mInterrupted.front().mObservedAt > kLifetime ||
          mInterrupted.size() > kMaxInterrupted)) {
    mInterrupted.pop_front();
  }
}

void
CachedPrompts::OnInterrupted(CachedPrompt aPrompt)
{
  if (aPrompt.mKey == 0) {
    return;
  }
  const Instant now = aPrompt.mObservedAt;
  mInterrupted.push_back(std::move(aPrompt));
  Expire(now);
}

void
CachedPrompts::OnListed(const std::string& aEngine,
                        const std::vector<PromptPart>& aParts,
                        Instant aNow)
{
  auto& listed = mListed[aEngine];
  listed.clear();
  for (const auto& it : aParts) {
    listed.push_back({ it.mKey, aEngine, it.mTokens, aNow });
  }
}

void
CachedPrompts::SetPeer(const std::string& aPeer,
                       std::vector<CachedPrompt> aPrompts)
{
  mPeers[aPeer] = std::move(aPrompts);
}

std::vector<CachedPrompt>
CachedPrompts::Find(std::uint64_t aKey, Instant aNow) const
{
  std::map<std::string, CachedPrompt> best;
  const auto collect = [&](const CachedPrompt& aPrompt) {
    if (aPrompt.mKey != aKey || aNow - aPrompt.mObservedAt > kLifetime) {
      return;
    }
    CachedPrompt& entry = best[aPrompt.mEndpoint];
    if (entry.mTokens <= aPrompt.mTokens) {
      entry = aPrompt;
    }
  };
  if (aKey == 0) {
    return {};
  }
  for (const auto& it : mInterrupted) {
    collect(it);
  }
  for (const auto* prompts : { &mListed, &mPeers }) {
    for (const auto& [name, cached] : *prompts) {
      std::for_each(cached.begin(), cached.end(), collect);
    }
  }
  for (const StreamRun* it : mRuns.WithPrompt(aKey)) {
    collect({ aKey, it->mEndpoint, it->mPromptTokens, aNow });
  }
  std::vector<CachedPrompt> found;
  found.reserve(best.size());
  for (auto& [endpoint, prompt] : best) {
    found.push_back(std::move(prompt));
  }
  std::stable_sort(
    found.begin(), found.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mTokens > aRight.mTokens;
    });
  return found;
}

std::vector<CachedPrompt>
CachedPrompts::Own(Instant aNow) const
{
  std::vector<CachedPrompt> prompts;
  std::copy_if(mInterrupted.begin(),
               mInterrupted.end(),
               std::back_inserter(prompts),
               [aNow](const CachedPrompt& aPrompt) {
                 return aNow - aPrompt.mObservedAt <= kLifetime;
               });
  return prompts;
}

} // namespace bulrushfold
