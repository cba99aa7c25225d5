#include "Cluster/CrashSuspects.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kRepeatAfter = std::chrono::seconds(1);
/** Time for which a cleared digest is kept, so that late copies of its earlier
 * state are recognised. */
constexpr Duration kKeepCleared = std::chrono::minutes(2);
constexpr std::size_t kMaxCounted = 16;
/** Entries in one message. */
constexpr std::size_t kMaxPerMessage = 200;

std::int64_t
Milliseconds(Duration aSpan)
{
  return std::max<std::int64_t>(
    0, std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count());
}

/** Time span from another daemon, at most aMax. */
Duration
Bounded(std::int64_t aMilliseconds, Duration aMax)
{
  const std::int64_t max = Milliseconds(aMax);
  return std::chrono::milliseconds(
    std::clamp<std::int64_t>(aMilliseconds, 0, max));
}

wire::CrashEntry
EmptyEntry(const std::string& aDigest)
{
  wire::CrashEntry entry;
  entry.digest = aDigest;
  entry.sequence = 0;
  entry.crashes = 0;
  entry.ttlMs = 0;
  entry.runMs = 0;
  entry.isCleared = false;
  return entry;
}
} // namespace

CrashSuspects::CrashSuspects(std::string aSelf,
                             const HashRings& aRings,
                             SuspectLimits aLimits,
                             Instant aNow)
  : mSelf(std::move(aSelf))
  , mRings(aRings)
  , mLimits(aLimits)
  , mNextRefresh(aNow + kRefreshInterval)
{
}

const CrashSuspects::Entry*
CrashSuspects::Find(const std::string& aDigest, Instant aNow) const
{
  const auto it = mEntries.find(aDigest);
  const bool isSuspect = it != mEntries.end() && !it->second.mIsCleared &&
                         it->second.mCrashes > 0 && aNow < it->second.mExpires;
  return isSuspect ? &it->second : nullptr;
}

SuspectVerdict
CrashSuspects::Admit(const std::string& aDigest, Instant aNow) const
{
  const Entry* entry = Find(aDigest, aNow);
  if (entry == nullptr) {
    return SuspectVerdict::Ordinary;
  }
  return entry->mCrashes >= mLimits.mCrashLimit ? SuspectVerdict::Refuse
                                                : SuspectVerdict::Alone;
}

std::int32_t
CrashSuspects::Crashes(const std::string& aDigest, Instant aNow) const
{
  const Entry* entry = Find(aDigest, aNow);
  return entry == nullptr ? 0 : entry->mCrashes;
}

SuspectResult
CrashSuspects::RequestRun(const std::string& aDigest, Instant aNow)
{
  SuspectResult result;
  const Entry* entry = Find(aDigest, aNow);
  if (entry == nullptr) {
    result.mCleared.push_back(aDigest);
    return result;
  }
  if (mRunning.count(aDigest) != 0 || !mAsking.insert(aDigest).second) {
    return result;
  }
  Report(wire::CrashAction::ASK_RUN,
         Encode(aDigest, *entry, aNow),
         "run",
         aNow,
         result);
  return result;
}

SuspectResult
CrashSuspects::OnCrash(const std::string& aEndpoint,
                       const std::vector<CrashedRequest>& aRequests,
                       Instant aNow)
{
  SuspectResult result;
  for (const auto& it : aRequests) {
    auto entry = EmptyEntry(it.mDigest);
    entry.__set_endpoint(aEndpoint);
    // Only a granted run is known to have been alone.
    entry.__set_wasAlone(it.mWasAlone && mRunning.erase(it.mDigest) != 0);
    Report(wire::CrashAction::CRASHED, entry, aEndpoint, aNow, result);
  }
  return result;
}

SuspectResult
CrashSuspects::OnSuccess(const std::string& aDigest, Instant aNow)
{
  SuspectResult result;
  mRunning.erase(aDigest);
  if (Find(aDigest, aNow) != nullptr) {
    Report(wire::CrashAction::SUCCEEDED,
           EmptyEntry(aDigest),
           "success",
           aNow,
           result);
  }
  return result;
}

SuspectResult
CrashSuspects::OnRunEnded(const std::string& aDigest, Instant aNow)
{
  SuspectResult result;
  if (mRunning.erase(aDigest) != 0) {
    Report(
      wire::CrashAction::RUN_ENDED, EmptyEntry(aDigest), "end", aNow, result);
  }
  return result;
}

void
CrashSuspects::Report(wire::CrashAction::type aAction,
                      const wire::CrashEntry& aEntry,
                      const std::string& aEvent,
                      Instant aNow,
                      SuspectResult& aResult)
{
  const Pending pending{ aAction, aEntry, aNow, aNow + kReportFor };
  auto& stored = mPending[{ aEntry.digest, aEvent }];
  stored = pending;
  SendPending(stored, aNow, aResult);
}

void
CrashSuspects::SendPending(Pending& aPending,
                           Instant aNow,
                           SuspectResult& aResult)
{
  aPending.mNextSend = aNow + kRepeatAfter;
  const std::string owner = mRings.Owner(aPending.mEntry.digest);
  if (owner == mSelf) {
    // Copies: handling the report removes the pending entry.
    const auto action = aPending.mAction;
    const auto entry = aPending.mEntry;
    HandleAsOwner(mSelf, action, entry, aNow, aResult);
    return;
  }
  if (!owner.empty()) {
    wire::CrashReport report;
    report.action = aPending.mAction;
    report.entries = { aPending.mEntry };
    aResult.mMessages.push_back({ owner, std::move(report) });
  }
}

void
CrashSuspects::HandleAsOwner(const std::string& aFrom,
                             wire::CrashAction::type aAction,
                             const wire::CrashEntry& aEntry,
                             Instant aNow,
                             SuspectResult& aResult)
{
  // Of a report under two views of the live daemons, one owner is wrong; the
  // sender repeats it when its view has changed.
  if (mRings.Owner(aEntry.digest) != mSelf) {
    return;
  }
  switch (aAction) {
    case wire::CrashAction::CRASHED:
      CountCrash(aFrom, aEntry, aNow, aResult);
      break;
    case wire::CrashAction::SUCCEEDED:
      Clear(aEntry.digest, aNow, aResult);
      Answer(aFrom, wire::CrashAction::SUCCEEDED, aEntry, aNow, aResult);
      break;
    case wire::CrashAction::RUN_ENDED:
      EndRun(aFrom, aEntry.digest, aNow, aResult);
      Answer(aFrom, wire::CrashAction::RUN_ENDED, aEntry, aNow, aResult);
      break;
    case wire::CrashAction::ASK_RUN:
      // An owner that has just taken over learns the state from the asker.
      Merge(aEntry, aNow);
      DecideRun(aFrom, aEntry.digest, aNow, aResult);
      break;
    default:
      break;
  }
}

void
CrashSuspects::CountCrash(const std::string& aFrom,
                          const wire::CrashEntry& aEntry,
                          Instant aNow,
                          SuspectResult& aResult)
{
  if (mEntries.size() >= kMaxEntries) {
    DropOldest(aEntry.digest);
  }
  Entry& entry = mEntries[aEntry.digest];
  auto& counted = entry.mCounted;
  const bool isNew =
    std::find(counted.begin(), counted.end(), aEntry.endpoint) == counted.end();
  if (isNew) {
    counted.push_back(aEntry.endpoint);
    if (counted.size() > kMaxCounted) {
      counted.pop_front();
    }
    const bool isExpired = entry.mIsCleared || aNow >= entry.mExpires;
    const std::int32_t crashes = isExpired ? 0 : entry.mCrashes;
    const std::int32_t limit =
      aEntry.wasAlone ? mLimits.mCrashLimit : mLimits.mCrashLimit - 1;
    entry.mCrashes = std::max(crashes, std::min(crashes + 1, limit));
    entry.mIsCleared = false;
    entry.mExpires = aNow + mLimits.mTimeToLive;
    if (entry.mRunner == aFrom && aEntry.wasAlone) {
      entry.mRunner.clear();
    }
    ++entry.mSequence;
    Publish(aEntry.digest, "", aNow, aResult);
    NoteChange(aEntry.digest, aNow, aResult);
  }
  Answer(aFrom, wire::CrashAction::CRASHED, aEntry, aNow, aResult);
}

void
CrashSuspects::DropOldest(const std::string& aExcept)
{
  const auto oldest =
    std::min_element(mEntries.begin(),
                     mEntries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.mExpires < aRight.second.mExpires;
                     });
  if (oldest->first != aExcept) {
    mEntries.erase(oldest);
  }
}

void
CrashSuspects::Clear(const std::string& aDigest,
                     Instant aNow,
                     SuspectResult& aResult)
{
  const auto it = mEntries.find(aDigest);
  if (it == mEntries.end() || it->second.mIsCleared) {
    return;
  }
  Entry& entry = it->second;
  entry.mCrashes = 0;
  entry.mIsCleared = true;
  entry.mRunner.clear();
  entry.mExpires = aNow + kKeepCleared;
  ++entry.mSequence;
  Publish(aDigest, "", aNow, aResult);
  NoteChange(aDigest, aNow, aResult);
}

void
CrashSuspects::EndRun(const std::string& aFrom,
                      const std::string& aDigest,
                      Instant aNow,
                      SuspectResult& aResult)
{
  const auto it = mEntries.find(aDigest);
  if (it != mEntries.end() && it->second.mRunner == aFrom) {
    it->second.mRunner.clear();
    ++it->second.mSequence;
    Publish(aDigest, "", aNow, aResult);
  }
}

void
CrashSuspects::DecideRun(const std::string& aFrom,
                         const std::string& aDigest,
                         Instant aNow,
                         SuspectResult& aResult)
{
  const auto it = mEntries.find(aDigest);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  const bool isBusy =
    !entry.mRunner.empty() && entry.mRunner != aFrom && aNow < entry.mRunUntil;
  const bool isRefused = entry.mCrashes >= mLimits.mCrashLimit;
  const bool isSuspect = Find(aDigest, aNow) != nullptr;
  if (isSuspect && (isBusy || isRefused)) {
    Answer(aFrom,
           wire::CrashAction::DENY_RUN,
           Encode(aDigest, entry, aNow),
           aNow,
           aResult);
    return;
  }
  if (isSuspect) {
    entry.mRunner = aFrom;
    entry.mRunUntil = aNow + mLimits.mRunLease;
    ++entry.mSequence;
    Publish(aDigest, "", aNow, aResult);
  }
  Answer(aFrom,
         wire::CrashAction::GRANT_RUN,
         Encode(aDigest, entry, aNow),
         aNow,
         aResult);
}

void
CrashSuspects::Answer(const std::string& aTo,
                      wire::CrashAction::type aAction,
                      const wire::CrashEntry& aEntry,
                      Instant aNow,
                      SuspectResult& aResult)
{
  wire::CrashReport report;
  report.action = aAction;
  report.entries = { aEntry };
  if (aTo != mSelf) {
    aResult.mMessages.push_back({ aTo, std::move(report) });
    return;
  }
  OnAnswer(aAction, aEntry, aNow, aResult);
}

void
CrashSuspects::OnAnswer(wire::CrashAction::type aAction,
                        const wire::CrashEntry& aEntry,
                        Instant aNow,
                        SuspectResult& aResult)
{
  switch (aAction) {
    case wire::CrashAction::CRASHED:
      mPending.erase({ aEntry.digest, aEntry.endpoint });
      break;
    case wire::CrashAction::SUCCEEDED:
      mPending.erase({ aEntry.digest, "success" });
      break;
    case wire::CrashAction::RUN_ENDED:
      mPending.erase({ aEntry.digest, "end" });
      break;
    case wire::CrashAction::GRANT_RUN:
      OnGrant(aEntry, aResult);
      break;
    default:
      // After DENY_RUN the question is repeated until it is granted.
      Merge(aEntry, aNow);
      NoteChange(aEntry.digest, aNow, aResult);
      break;
  }
}

void
CrashSuspects::OnGrant(const wire::CrashEntry& aEntry, SuspectResult& aResult)
{
  mPending.erase({ aEntry.digest, "run" });
  // A second grant answers a repeated question.
  if (mAsking.erase(aEntry.digest) == 0) {
    return;
  }
  mRunning.insert(aEntry.digest);
  aResult.mGranted.push_back(aEntry.digest);
}

void
CrashSuspects::NoteChange(const std::string& aDigest,
                          Instant aNow,
                          SuspectResult& aResult)
{
  if (mAsking.count(aDigest) == 0) {
    return;
  }
  const SuspectVerdict verdict = Admit(aDigest, aNow);
  if (verdict == SuspectVerdict::Alone) {
    return;
  }
  mAsking.erase(aDigest);
  mPending.erase({ aDigest, "run" });
  auto& list =
    verdict == SuspectVerdict::Refuse ? aResult.mRefused : aResult.mCleared;
  list.push_back(aDigest);
}

SuspectResult
CrashSuspects::OnReport(const std::string& aFrom,
                        const wire::CrashReport& aReport,
                        Instant aNow)
{
  SuspectResult result;
  if (aReport.action == wire::CrashAction::FETCH) {
    SendAll(aFrom, aNow, result);
    return result;
  }
  for (const auto& it : aReport.entries) {
    if (aReport.action == wire::CrashAction::COPY) {
      if (Merge(it, aNow)) {
        Publish(it.digest, aFrom, aNow, result);
        NoteChange(it.digest, aNow, result);
      }
    } else if (mRings.Owner(it.digest) == mSelf) {
      HandleAsOwner(aFrom, aReport.action, it, aNow, result);
    } else {
      OnAnswer(aReport.action, it, aNow, result);
    }
  }
  return result;
}

bool
CrashSuspects::Merge(const wire::CrashEntry& aEntry, Instant aNow)
{
  const auto it = mEntries.find(aEntry.digest);
  const bool isKnown = it != mEntries.end();
  if (isKnown ? aEntry.sequence <= it->second.mSequence
              : mEntries.size() >= kMaxEntries) {
    return false;
  }
  Entry& entry = mEntries[aEntry.digest];
  entry.mSequence = aEntry.sequence;
  entry.mCrashes = std::clamp(aEntry.crashes, 0, mLimits.mCrashLimit);
  entry.mIsCleared = aEntry.isCleared;
  entry.mExpires = aNow + Bounded(aEntry.ttlMs, mLimits.mTimeToLive);
  entry.mRunner = aEntry.runner;
  entry.mRunUntil = aNow + Bounded(aEntry.runMs, mLimits.mRunLease);
  return true;
}

void
CrashSuspects::Publish(const std::string& aDigest,
                       const std::string& aExcept,
                       Instant aNow,
                       SuspectResult& aResult) const
{
  wire::CrashReport report;
  report.action = wire::CrashAction::COPY;
  report.entries = { Encode(aDigest, mEntries.at(aDigest), aNow) };
  for (const auto& it : mRings.Successors(mSelf)) {
    if (it != aExcept) {
      aResult.mMessages.push_back({ it, report });
    }
  }
}

SuspectResult
CrashSuspects::Fetch() const
{
  SuspectResult result;
  wire::CrashReport report;
  report.action = wire::CrashAction::FETCH;
  for (const auto& it : mRings.Successors(mSelf)) {
    result.mMessages.push_back({ it, report });
  }
  return result;
}

void
CrashSuspects::SendAll(const std::string& aTo,
                       Instant aNow,
                       SuspectResult& aResult) const
{
  wire::CrashReport report;
  report.action = wire::CrashAction::COPY;
  for (const auto& [digest, entry] : mEntries) {
    report.entries.push_back(Encode(digest, entry, aNow));
    if (report.entries.size() == kMaxPerMessage) {
      aResult.mMessages.push_back({ aTo, report });
      report.entries.clear();
    }
  }
  if (!report.entries.empty()) {
    aResult.mMessages.push_back({ aTo, std::move(report) });
  }
}

SuspectResult
CrashSuspects::Tick(Instant aNow)
{
  SuspectResult result;
  Expire(aNow);
  std::vector<PendingKey> due;
  for (auto it = mPending.begin(); it != mPending.end();) {
    const bool isQuestion = mAsking.count(it->first.first) != 0;
    if (aNow >= it->second.mEnd && !isQuestion) {
      it = mPending.erase(it);
      continue;
    }
    if (aNow >= it->second.mNextSend) {
      due.push_back(it->first);
    }
    ++it;
  }
  for (const auto& it : due) {
    if (const auto at = mPending.find(it); at != mPending.end()) {
      SendPending(at->second, aNow, result);
    }
  }
  if (aNow >= mNextRefresh) {
    mNextRefresh = aNow + kRefreshInterval;
    for (const auto& [digest, entry] : mEntries) {
      if (mRings.Owner(digest) == mSelf) {
        Publish(digest, "", aNow, result);
      }
    }
  }
  return result;
}

void
CrashSuspects::Expire(Instant aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = aNow >= it->second.mExpires ? mEntries.erase(it) : std::next(it);
  }
}

wire::CrashEntry
CrashSuspects::Encode(const std::string& aDigest,
                      const Entry& aEntry,
                      Instant aNow) const
{
  auto entry = EmptyEntry(aDigest);
  entry.sequence = aEntry.mSequence;
  entry.crashes = aEntry.mCrashes;
  entry.ttlMs = Milliseconds(aEntry.mExpires - aNow);
  entry.runner = aEntry.mRunner;
  entry.runMs = Milliseconds(aEntry.mRunUntil - aNow);
  entry.isCleared = aEntry.mIsCleared;
  return entry;
}

} // namespace bulrushfold
