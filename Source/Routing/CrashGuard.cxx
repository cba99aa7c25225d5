#include "Routing/CrashGuard.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "Base/EnumNames.h"
#include "Routing/CrashKeys.h"

namespace bulrushfold {

namespace {
/** Time after which a lost run no longer counts. */
constexpr Duration kLifetime = std::chrono::seconds(60);
/** The same for the runs of a refused request: each of them that expires lets
 * the request crash one more engine. */
constexpr Duration kRefusedLifetime = std::chrono::minutes(10);
constexpr std::size_t kMaxRuns = 512;
/** Maximum number of entries of each kind in one message to a peer. */
constexpr std::size_t kMaxReported = 48;
/** Time within which an engine that crashed silently leaves the registry. */
constexpr Duration kSilentLifetime = std::chrono::seconds(10);
constexpr std::size_t kMaxSilentRuns = 256;
/** Answers that are kept for one engine, the most recent. */
constexpr std::size_t kMaxAnswersPerEngine = 8;

constexpr EnumNames<CrashKeyKind, 3> kKindNames{ {
  { CrashKeyKind::PromptPart, "part" },
  { CrashKeyKind::Content, "content" },
  { CrashKeyKind::Request, "request" },
} };

template<typename Item>
void
KeepMostRecent(std::vector<Item>& aItems)
{
  std::stable_sort(
    aItems.begin(), aItems.end(), [](const Item& aLeft, const Item& aRight) {
      return aLeft.mAge < aRight.mAge;
    });
  if (aItems.size() > kMaxReported) {
    aItems.resize(kMaxReported);
  }
}
} // namespace

std::string_view
CrashKeyKindName(CrashKeyKind aKind)
{
  return FindEnumName(kKindNames, aKind);
}

void
CrashGuard::OnRunLost(std::uint64_t aEngine,
                      const RequestKeys& aKeys,
                      Instant aSentAt,
                      Instant aNow)
{
  if (aKeys.mParts.empty() && aKeys.mRequest == 0 && aKeys.mContent == 0) {
    return;
  }
  if (AddRun(mRandom.Bits(), { aEngine, aKeys, aSentAt, aNow, true }, aNow)) {
    Update(aNow);
    mOnOwnLoss.emit();
  }
}

void
CrashGuard::OnRunSilent(const std::string& aEndpoint,
                        std::uint64_t aEngine,
                        const RequestKeys& aKeys,
                        Instant aSentAt,
                        Instant aNow)
{
  mSilentRuns.push_back({ aEndpoint, { aEngine, aKeys, aSentAt, aNow, true } });
  while (mSilentRuns.size() > kMaxSilentRuns ||
         aNow - mSilentRuns.front().mRun.mLostAt > kSilentLifetime) {
    mSilentRuns.pop_front();
  }
}

void
CrashGuard::OnEngineGone(const std::string& aEndpoint, Instant aNow)
{
  const auto runs = std::exchange(mSilentRuns, {});
  for (const auto& it : runs) {
    Run run = it.mRun;
    if (it.mEndpoint != aEndpoint) {
      mSilentRuns.push_back(it);
      continue;
    }
    const bool isRecent = aNow - run.mLostAt <= kSilentLifetime;
    run.mLostAt = CrashDuring(run);
    if (isRecent && AddRun(mRandom.Bits(), run, aNow)) {
      Update(aNow);
      mOnOwnLoss.emit();
    }
  }
}

Instant
CrashGuard::CrashDuring(const Run& aRun) const
{
  std::optional<Instant> crash;
  if (const auto engine = mEngines.find(aRun.mEngine);
      engine != mEngines.end()) {
    for (const auto it : engine->second.mRuns) {
      const Instant lostAt = mRuns.at(it).mLostAt;
      if (lostAt >= aRun.mSentAt) {
        crash = std::min(crash.value_or(lostAt), lostAt);
      }
    }
  }
  return crash.value_or(aRun.mLostAt);
}

void
CrashGuard::OnAnswered(const RequestKeys& aKeys, Instant aNow)
{
  if (mRuns.empty()) {
    return;
  }
  bool isChanged = false;
  VisitKeys(aKeys, [&](std::uint64_t aKey, std::size_t, CrashKeyKind) {
    isChanged = AddAnswer(aKey, aNow) || isChanged;
  });
  if (isChanged) {
    Update(aNow);
  }
}

void
CrashGuard::OnEngineAnswered(std::uint64_t aEngine,
                             Instant aSentAt,
                             Instant aNow)
{
  if (AddEngineAnswer(aEngine, { aSentAt, aNow })) {
    Update(aNow);
  }
}

const RefusedPart*
CrashGuard::FindRefused(const RequestKeys& aKeys, Instant aNow)
{
  if (Expire(aNow)) {
    Update(aNow);
  }
  const RefusedPart* found = nullptr;
  VisitKeys(aKeys, [&](std::uint64_t aKey, std::size_t, CrashKeyKind) {
    const auto refused = mRefused.find(aKey);
    if (found == nullptr && refused != mRefused.end()) {
      found = &refused->second;
    }
  });
  return found;
}

void
CrashGuard::Merge(const CrashReport& aReport, Instant aNow)
{
  bool isChanged = false;
  for (const auto& it : aReport.mLost) {
    const Instant lostAt = aNow - it.mAge;
    const Run run{ it.mEngine, it.mKeys, lostAt - it.mTook, lostAt, false };
    isChanged = AddRun(it.mId, run, aNow) || isChanged;
  }
  for (const auto& it : aReport.mEngineAnswers) {
    const Instant answeredAt = aNow - it.mAge;
    isChanged =
      AddEngineAnswer(it.mEngine, { answeredAt - it.mTook, answeredAt }) ||
      isChanged;
  }
  for (const auto& it : aReport.mAnswered) {
    isChanged = AddAnswer(it.mPart, aNow - it.mAge) || isChanged;
  }
  if (isChanged) {
    Update(aNow);
  }
}

CrashReport
CrashGuard::Report(Instant aNow) const
{
  CrashReport report;
  for (const auto& [id, run] : mRuns) {
    report.mLost.push_back({ id,
                             run.mEngine,
                             run.mKeys,
                             aNow - run.mLostAt,
                             run.mLostAt - run.mSentAt });
  }
  std::stable_sort(report.mLost.begin(),
                   report.mLost.end(),
                   [this](const LostRun& aLeft, const LostRun& aRight) {
                     const auto isRepeated = [this](const LostRun& aRun) {
                       const auto count = [this](std::uint64_t aKey) {
                         const auto it = mRunCounts.find(aKey);
                         return it == mRunCounts.end() ? 0 : it->second;
                       };
                       return count(aRun.mKeys.mRequest) > 1 ||
                              count(aRun.mKeys.mContent) > 1;
                     };
                     return std::make_tuple(!isRepeated(aLeft), aLeft.mAge) <
                            std::make_tuple(!isRepeated(aRight), aRight.mAge);
                   });
  if (report.mLost.size() > kMaxReported) {
    report.mLost.resize(kMaxReported);
  }
  for (const auto& [part, time] : mAnsweredAt) {
    report.mAnswered.push_back({ part, aNow - time });
  }
  KeepMostRecent(report.mAnswered);
  for (const auto& [id, engine] : mEngines) {
    for (const auto& it : engine.mAnswers) {
      report.mEngineAnswers.push_back(
        { id, aNow - it.mAnsweredAt, it.mAnsweredAt - it.mSentAt });
    }
  }
  KeepMostRecent(report.mEngineAnswers);
  return report;
}

bool
CrashGuard::AddRun(std::uint64_t aId, const Run& aRun, Instant aNow)
{
  if (const auto it = mRuns.find(aId); it != mRuns.end()) {
    // The first report may have been delayed on its way; a later one, whose age
    // is greater, then corrects the time.
    Run& known = it->second;
    const bool isCorrected = aRun.mLostAt + kSameMoment < known.mLostAt;
    if (isCorrected) {
      known.mLostAt = aRun.mLostAt;
      known.mSentAt = aRun.mSentAt;
    }
    return isCorrected;
  }
  if (aNow - aRun.mLostAt >= LifetimeOf(aRun)) {
    return false;
  }
  mRuns[aId] = aRun;
  mEngines[aRun.mEngine].mRuns.insert(aId);
  VisitKeys(aRun.mKeys, [this](std::uint64_t aKey, std::size_t, CrashKeyKind) {
    ++mRunCounts[aKey];
  });
  if (mRuns.size() > kMaxRuns) {
    RemoveOldest();
  }
  return true;
}

CrashGuard::Runs::iterator
CrashGuard::RemoveRun(Runs::iterator aRun)
{
  const Run& run = aRun->second;
  VisitKeys(run.mKeys, [this](std::uint64_t aKey, std::size_t, CrashKeyKind) {
    const auto count = mRunCounts.find(aKey);
    if (--count->second == 0) {
      mRunCounts.erase(count);
    }
  });
  const auto engine = mEngines.find(run.mEngine);
  engine->second.mRuns.erase(aRun->first);
  if (engine->second.mRuns.empty()) {
    mEngines.erase(engine);
  }
  return mRuns.erase(aRun);
}

void
CrashGuard::RemoveOldest()
{
  // The evidence against a refused request must not give way to new losses.
  const auto rank = [this](const Run& aRun) {
    return std::make_tuple(IsOfRefused(aRun), aRun.mLostAt);
  };
  RemoveRun(std::min_element(
    mRuns.begin(), mRuns.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft.second) < rank(aRight.second);
    }));
}

bool
CrashGuard::IsExonerated(std::uint64_t aPart, Instant aLostAt) const
{
  const auto it = mAnsweredAt.find(aPart);
  return it != mAnsweredAt.end() && it->second >= aLostAt;
}

bool
CrashGuard::AddAnswer(std::uint64_t aPart, Instant aAnsweredAt)
{
  if (mRunCounts.count(aPart) == 0) {
    return false;
  }
  // An answer that exonerates the part of no further run is not recorded.
  const bool isUseful =
    std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aIt) {
      const Instant lostAt = aIt.second.mLostAt;
      return lostAt <= aAnsweredAt && Contains(aIt.second.mKeys, aPart) &&
             !IsExonerated(aPart, lostAt);
    });
  if (isUseful) {
    mAnsweredAt[aPart] = aAnsweredAt;
  }
  return isUseful;
}

bool
CrashGuard::AddEngineAnswer(std::uint64_t aEngine, const Answer& aAnswer)
{
  const auto engine = mEngines.find(aEngine);
  if (engine == mEngines.end()) {
    return false;
  }
  auto& answers = engine->second.mAnswers;
  // One answer after each loss is enough, whether its request was sent before
  // or after the loss.
  const bool isUseful = std::any_of(
    engine->second.mRuns.begin(),
    engine->second.mRuns.end(),
    [&](std::uint64_t aRun) {
      const Instant lostAt = mRuns.at(aRun).mLostAt;
      const bool isSentBefore = aAnswer.mSentAt < lostAt;
      return lostAt + kTimeTolerance < aAnswer.mAnsweredAt &&
             std::none_of(answers.begin(), answers.end(), [&](const auto& aIt) {
               return lostAt + kTimeTolerance < aIt.mAnsweredAt &&
                      (aIt.mSentAt < lostAt) == isSentBefore;
             });
    });
  if (isUseful) {
    answers.push_back(aAnswer);
    if (answers.size() > kMaxAnswersPerEngine) {
      answers.erase(answers.begin());
    }
  }
  return isUseful;
}

bool
CrashGuard::IsOfRefused(const Run& aRun) const
{
  return mRefused.count(aRun.mKeys.mRequest) > 0 ||
         mRefused.count(aRun.mKeys.mContent) > 0;
}

Duration
CrashGuard::LifetimeOf(const Run& aRun) const
{
  return IsOfRefused(aRun) ? kRefusedLifetime : kLifetime;
}

bool
CrashGuard::Expire(Instant aNow)
{
  bool isChanged = false;
  for (auto it = mRuns.begin(); it != mRuns.end();) {
    const bool isExpired = aNow - it->second.mLostAt >= LifetimeOf(it->second);
    isChanged = isChanged || isExpired;
    it = isExpired ? RemoveRun(it) : ++it;
  }
  for (auto it = mAnsweredAt.begin(); it != mAnsweredAt.end();) {
    it = mRunCounts.count(it->first) == 0 ? mAnsweredAt.erase(it) : ++it;
  }
  return isChanged;
}

} // namespace bulrushfold
