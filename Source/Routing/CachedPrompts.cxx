#include "Routing/CachedPrompts.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Callers notice a silent daemon after about 4 s and come back; later the
 * engine has given the memory to other runs. */
constexpr Duration kLifetime = std::chrono::seconds(8);
/** Bounds memory and messages. */
constexpr std::size_t kMaxBroken = 256;
} // namespace

void
CachedPrompts::Expire(Instant aNow)
{
  while (!mBroken.empty() && (aNow - mBroken.front().mObservedAt > kLifetime ||
                              mBroken.size() > kMaxBroken)) {
    mBroken.pop_front();
  }
}

void
CachedPrompts::OnInterrupted(CachedPrompt aPrompt)
{
  if (aPrompt.mKey == 0) {
    return;
  }
  const Instant now = aPrompt.mObservedAt;
  mBroken.push_back(std::move(aPrompt));
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
  const auto look = [&](const CachedPrompt& aPrompt) {
    if (aPrompt.mKey != aKey || aNow - aPrompt.mObservedAt > kLifetime) {
      return;
    }
    CachedPrompt& known = best[aPrompt.mEndpoint];
    if (known.mTokens <= aPrompt.mTokens) {
      known = aPrompt;
    }
  };
  if (aKey == 0) {
    return {};
  }
  for (const auto& it : mBroken) {
    look(it);
  }
  for (const auto* prompts : { &mListed, &mPeers }) {
    for (const auto& [name, kept] : *prompts) {
      std::for_each(kept.begin(), kept.end(), look);
    }
  }
  for (const StreamRun* it : mRuns.WithPrompt(aKey)) {
    look({ aKey, it->mEndpoint, it->mPromptTokens, aNow });
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
  std::copy_if(mBroken.begin(),
               mBroken.end(),
               std::back_inserter(prompts),
               [aNow](const CachedPrompt& aPrompt) {
                 return aNow - aPrompt.mObservedAt <= kLifetime;
               });
  return prompts;
}

} // namespace bulrushfold
