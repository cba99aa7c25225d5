#include "Routing/PromptCrashGuard.h"

#include <algorithm>
#include <tuple>

namespace bulrushfold {

namespace {
/** Time after which a lost run no longer counts. */
constexpr Duration kLifetime = std::chrono::seconds(60);
/** Engines that are lost within this time count as one crash: they share a
 * cause, such as a power failure, rather than a prompt part. */
constexpr Duration kSameMoment = std::chrono::milliseconds(50);
constexpr std::size_t kMaxRuns = 256;
/** Maximum number of lost runs or answers in one message to a peer. */
constexpr std::size_t kMaxReported = 32;

template<typename Item>
void
KeepMostRecent(std::vector<Item>& aItems)
{
  std::sort(
    aItems.begin(), aItems.end(), [](const Item& aLeft, const Item& aRight) {
      return aLeft.mAge < aRight.mAge;
    });
  if (aItems.size() > kMaxReported) {
    aItems.resize(kMaxReported);
  }
}

bool
Contains(const std::vector<std::uint64_t>& aParts, std::uint64_t aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}
} // namespace

void
PromptCrashGuard::OnRunLost(std::uint64_t aEngine,
                            const Parts& aParts,
                            Instant aNow)
{
  if (!aParts.empty() && AddRun({ aEngine, aParts }, aNow, true, aNow)) {
    Update(aNow);
    mOnOwnLoss.emit();
  }
}

void
PromptCrashGuard::OnAnswered(const Parts& aParts, Instant aNow)
{
  bool isChanged = false;
  for (const std::uint64_t it : aParts) {
    isChanged = AddAnswer(it, aNow) || isChanged;
  }
  if (isChanged) {
    Update(aNow);
  }
}

const RefusedPart*
PromptCrashGuard::FindRefused(const Parts& aParts, Instant aNow)
{
  if (Expire(aNow)) {
    Update(aNow);
  }
  for (const std::uint64_t it : aParts) {
    if (const auto refused = mRefused.find(it); refused != mRefused.end()) {
      return &refused->second;
    }
  }
  return nullptr;
}

void
PromptCrashGuard::Merge(const std::vector<LostPrompt>& aLost,
                        const std::vector<AnsweredPart>& aAnswered,
                        Instant aNow)
{
  bool isChanged = false;
  for (const auto& it : aLost) {
    isChanged =
      AddRun({ it.mEngine, it.mParts }, aNow - it.mAge, false, aNow) ||
      isChanged;
  }
  for (const auto& it : aAnswered) {
    isChanged = AddAnswer(it.mPart, aNow - it.mAge) || isChanged;
  }
  if (isChanged) {
    Update(aNow);
  }
}

std::vector<LostPrompt>
PromptCrashGuard::Lost(Instant aNow) const
{
  std::vector<LostPrompt> lost;
  for (const auto& [key, run] : mRuns) {
    if (aNow - run.mLostAt < kLifetime) {
      lost.push_back({ key.first, key.second, aNow - run.mLostAt });
    }
  }
  KeepMostRecent(lost);
  return lost;
}

std::vector<AnsweredPart>
PromptCrashGuard::Answered(Instant aNow) const
{
  std::vector<AnsweredPart> answered;
  for (const auto& [part, time] : mAnsweredAt) {
    answered.push_back({ part, aNow - time });
  }
  KeepMostRecent(answered);
  return answered;
}

bool
PromptCrashGuard::AddRun(const RunKey& aKey,
                         Instant aLostAt,
                         bool aIsOwn,
                         Instant aNow)
{
  if (aNow - aLostAt >= kLifetime) {
    return false;
  }
  if (const auto it = mRuns.find(aKey); it != mRuns.end()) {
    // The first report may have been delayed on its way; a later one, whose age
    // is greater, then corrects the time.
    const bool isCorrected = aLostAt + kSameMoment < it->second.mLostAt;
    if (isCorrected) {
      it->second.mLostAt = aLostAt;
    }
    return isCorrected;
  }
  mRuns[aKey] = { aLostAt, aIsOwn };
  if (mRuns.size() > kMaxRuns) {
    mRuns.erase(std::min_element(
      mRuns.begin(), mRuns.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mLostAt < aRight.second.mLostAt;
      }));
  }
  return true;
}

bool
PromptCrashGuard::IsExonerated(std::uint64_t aPart, Instant aLostAt) const
{
  const auto it = mAnsweredAt.find(aPart);
  return it != mAnsweredAt.end() && it->second >= aLostAt;
}

bool
PromptCrashGuard::AddAnswer(std::uint64_t aPart, Instant aAnsweredAt)
{
  // An answer that exonerates the part of no further run is not recorded.
  const bool isUseful =
    std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aIt) {
      const Instant lostAt = aIt.second.mLostAt;
      return lostAt <= aAnsweredAt && Contains(aIt.first.second, aPart) &&
             !IsExonerated(aPart, lostAt);
    });
  if (isUseful) {
    mAnsweredAt[aPart] = aAnsweredAt;
  }
  return isUseful;
}

bool
PromptCrashGuard::Expire(Instant aNow)
{
  bool isChanged = false;
  for (auto it = mRuns.begin(); it != mRuns.end();) {
    const bool isExpired = aNow - it->second.mLostAt >= kLifetime;
    isChanged = isChanged || isExpired;
    it = isExpired ? mRuns.erase(it) : ++it;
  }
  for (auto it = mAnsweredAt.begin(); it != mAnsweredAt.end();) {
    it = aNow - it->second >= kLifetime ? mAnsweredAt.erase(it) : ++it;
  }
  return isChanged;
}

std::map<std::uint64_t, std::size_t>
PromptCrashGuard::NumberCrashes() const
{
  std::map<std::uint64_t, Instant> firstLoss;
  for (const auto& [key, run] : mRuns) {
    const auto it = firstLoss.emplace(key.first, run.mLostAt).first;
    it->second = std::min(it->second, run.mLostAt);
  }
  std::vector<std::pair<Instant, std::uint64_t>> engines;
  engines.reserve(firstLoss.size());
  for (const auto& [engine, lostAt] : firstLoss) {
    engines.emplace_back(lostAt, engine);
  }
  std::sort(engines.begin(), engines.end());
  std::map<std::uint64_t, std::size_t> numbers;
  std::size_t number = 0;
  Instant moment;
  for (const auto& [lostAt, engine] : engines) {
    if (numbers.empty() || lostAt - moment >= kSameMoment) {
      moment = lostAt;
      ++number;
    }
    numbers[engine] = number;
  }
  return numbers;
}

std::map<std::uint64_t, PromptCrashGuard::Evidence>
PromptCrashGuard::CollectEvidence() const
{
  const auto numbers = NumberCrashes();
  std::map<std::uint64_t, Evidence> result;
  for (const auto& [key, run] : mRuns) {
    const auto& [engine, parts] = key;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      if (!IsExonerated(parts[i], run.mLostAt)) {
        Evidence& evidence = result[parts[i]];
        evidence.mCrashes.insert(numbers.at(engine));
        ++evidence.mRuns;
        evidence.mDepth = std::max(evidence.mDepth, i);
      }
    }
  }
  return result;
}

RefusedPart
PromptCrashGuard::Describe(std::uint64_t aPart, std::size_t aCrashes) const
{
  RefusedPart result;
  result.mPart = aPart;
  result.mCrashes = static_cast<std::uint32_t>(aCrashes);
  for (const auto& [key, run] : mRuns) {
    if (!Contains(key.second, aPart) || IsExonerated(aPart, run.mLostAt)) {
      continue;
    }
    const bool isFirst = result.mOwnRuns + result.mPeerRuns == 0;
    ++(run.mIsOwn ? result.mOwnRuns : result.mPeerRuns);
    result.mFirstLossAt =
      isFirst ? run.mLostAt : std::min(result.mFirstLossAt, run.mLostAt);
    result.mLastLossAt = std::max(result.mLastLossAt, run.mLostAt);
  }
  return result;
}

void
PromptCrashGuard::Update(Instant aNow)
{
  auto evidence = CollectEvidence();
  std::map<std::uint64_t, RefusedPart> refused;
  while (!evidence.empty()) {
    // On a tie the deepest part is taken: the first parts of a prompt are
    // shared with the most other requests.
    const auto worst = std::max_element(
      evidence.begin(),
      evidence.end(),
      [](const auto& aLeft, const auto& aRight) {
        const Evidence& left = aLeft.second;
        const Evidence& right = aRight.second;
        return std::make_tuple(left.mCrashes.size(), left.mDepth, left.mRuns) <
               std::make_tuple(
                 right.mCrashes.size(), right.mDepth, right.mRuns);
      });
    const auto explained = worst->second.mCrashes;
    if (explained.size() < kCrashLimit) {
      break;
    }
    refused[worst->first] = Describe(worst->first, explained.size());
    evidence.erase(worst);
    for (auto& [part, item] : evidence) {
      for (const std::size_t it : explained) {
        item.mCrashes.erase(it);
      }
    }
  }
  const auto before = std::exchange(mRefused, std::move(refused));
  for (const auto& [part, item] : mRefused) {
    if (before.count(part) == 0) {
      mOnDecision.emit(item, true, aNow);
    }
  }
  for (const auto& [part, item] : before) {
    if (mRefused.count(part) == 0) {
      mOnDecision.emit(item, false, aNow);
    }
  }
}

} // namespace bulrushfold
