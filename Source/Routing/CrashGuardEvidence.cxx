#include "Routing/CrashGuard.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "Routing/CrashKeys.h"

namespace bulrushfold {

std::vector<std::pair<Instant, std::uint64_t>>
CrashGuard::CrashedRuns(const Engine& aEngine) const
{
  std::vector<std::pair<Instant, std::uint64_t>> runs;
  for (const auto it : aEngine.mRuns) {
    runs.emplace_back(mRuns.at(it).mLostAt, it);
  }
  std::sort(runs.begin(), runs.end());
  const auto survived = [&](const Run& aRun) {
    return std::any_of(
      aEngine.mAnswers.begin(), aEngine.mAnswers.end(), [&](const auto& aIt) {
        return aIt.mSentAt < aRun.mLostAt &&
               aRun.mLostAt + kTimeTolerance < aIt.mAnsweredAt;
      });
  };
  std::vector<std::pair<Instant, std::uint64_t>> crashed;
  std::optional<Instant> crashedAt;
  for (const auto& [lostAt, id] : runs) {
    const Run& run = mRuns.at(id);
    const bool wasRunning =
      crashedAt && run.mSentAt <= *crashedAt + kTimeTolerance;
    const bool isUpAgain =
      crashedAt && std::any_of(aEngine.mAnswers.begin(),
                               aEngine.mAnswers.end(),
                               [&, lost = lostAt](const auto& aIt) {
                                 return *crashedAt <= aIt.mSentAt &&
                                        aIt.mAnsweredAt <= lost;
                               });
    if (survived(run) || (crashedAt && !wasRunning && !isUpAgain)) {
      continue;
    }
    if (!wasRunning) {
      crashedAt = lostAt;
    }
    crashed.emplace_back(*crashedAt, id);
  }
  return crashed;
}

CrashGuard::Crashes
CrashGuard::NumberCrashes() const
{
  std::vector<std::pair<Instant, std::uint64_t>> runs;
  for (const auto& [id, engine] : mEngines) {
    const auto crashed = CrashedRuns(engine);
    runs.insert(runs.end(), crashed.begin(), crashed.end());
  }
  std::sort(runs.begin(), runs.end());
  Crashes numbers;
  std::size_t number = 0;
  Instant moment;
  for (const auto& [crashedAt, id] : runs) {
    if (numbers.empty() || crashedAt - moment >= kSameMoment) {
      moment = crashedAt;
      ++number;
    }
    numbers[id] = number;
  }
  return numbers;
}

std::map<std::uint64_t, CrashGuard::Evidence>
CrashGuard::CollectEvidence() const
{
  std::map<std::uint64_t, Evidence> result;
  for (const auto& [id, crash] : NumberCrashes()) {
    const Run& run = mRuns.at(id);
    VisitKeys(run.mKeys,
              [&, number = crash](
                std::uint64_t aKey, std::size_t aDepth, CrashKeyKind aKind) {
                if (mRunCounts.at(aKey) < kCrashLimit ||
                    IsExonerated(aKey, run.mLostAt)) {
                  return;
                }
                Evidence& evidence = result[aKey];
                evidence.mCrashes.insert(number);
                ++evidence.mRuns;
                evidence.mDepth = std::max(evidence.mDepth, aDepth);
                evidence.mTook += run.mLostAt - run.mSentAt;
                evidence.mKind = aKind;
              });
  }
  return result;
}

RefusedPart
CrashGuard::Describe(std::uint64_t aPart, const Evidence& aEvidence) const
{
  RefusedPart result;
  result.mPart = aPart;
  result.mKind = aEvidence.mKind;
  result.mCrashes = static_cast<std::uint32_t>(aEvidence.mCrashes.size());
  for (const auto& [id, run] : mRuns) {
    if (!Contains(run.mKeys, aPart) || IsExonerated(aPart, run.mLostAt)) {
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
CrashGuard::Update(Instant aNow)
{
  // Most losses are of requests that are lost only once.
  const bool hasCandidate =
    std::any_of(mRunCounts.begin(), mRunCounts.end(), [](const auto& aIt) {
      return aIt.second >= kCrashLimit;
    });
  auto evidence =
    hasCandidate ? CollectEvidence() : std::map<std::uint64_t, Evidence>();
  std::map<std::uint64_t, RefusedPart> refused;
  while (!evidence.empty()) {
    // On a tie the deepest part is taken: the first parts of a prompt are
    // shared with the most other requests, and a content with those of other
    // callers. Among requests it is the one that was lost soonest after it was
    // sent, because the others ran before.
    const auto worst = std::max_element(
      evidence.begin(),
      evidence.end(),
      [](const auto& aLeft, const auto& aRight) {
        const Evidence& left = aLeft.second;
        const Evidence& right = aRight.second;
        return std::make_tuple(
                 left.mCrashes.size(), left.mDepth, left.mRuns, -left.mTook) <
               std::make_tuple(right.mCrashes.size(),
                               right.mDepth,
                               right.mRuns,
                               -right.mTook);
      });
    const auto explained = worst->second.mCrashes;
    if (explained.size() < kCrashLimit) {
      break;
    }
    refused[worst->first] = Describe(worst->first, worst->second);
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
