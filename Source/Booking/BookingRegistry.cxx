#include "Booking/BookingRegistry.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {

using wire::BookingResultVerdict;
using wire::BookingVerdict;

constexpr EnumNames<BookingOutcome, 4> kOutcomeNames{ {
  { BookingOutcome::Done, "done" },
  { BookingOutcome::NotRun, "not_run" },
  { BookingOutcome::Unknown, "unknown" },
  { BookingOutcome::BodyDiffers, "body_differs" },
} };

constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
// A caller waits for the verdict; a new owner appears within a second.
constexpr Duration kMaxAskBackoff = std::chrono::milliseconds(500);
// The owner decides at the deadline; its reply needs time to arrive.
constexpr Duration kVerdictGrace = std::chrono::milliseconds(250);
// A permit that arrives later than this after the end is answered by nobody;
// the record stays an intent, which is safe.
constexpr Duration kClosedKept = std::chrono::seconds(30);
// How long a late answer is still recorded after its caller was told "outcome
// unknown"; bounds the memory of calls whose endpoint never answers.
constexpr Duration kLostKept = std::chrono::minutes(10);
// Requests that may wait for an answer or a confirmation.
constexpr std::size_t kEntriesPerPending = 16;

} // namespace

std::string_view
BookingOutcomeName(BookingOutcome aOutcome)
{
  return FindEnumName(kOutcomeNames, aOutcome);
}

BookingRegistry::BookingRegistry(BookingRegistryOptions aOptions,
                                 const Clock& aClock)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
{
}

bool
BookingRegistry::HasUnfinishedRequests() const
{
  return std::any_of(mRequests.begin(), mRequests.end(), [](const auto& aPair) {
    const Phase phase = aPair.second.mPhase;
    return phase == Phase::Asking || phase == Phase::Dispatched ||
           phase == Phase::Reporting;
  });
}

RegistryActions
BookingRegistry::TakeActions()
{
  return std::exchange(mActions, {});
}

BookingRegistry::Entry*
BookingRegistry::Find(const std::string& aRequest)
{
  const auto it = mRequests.find(aRequest);
  return it == mRequests.end() ? nullptr : &it->second;
}

RegistryActions
BookingRegistry::Begin(const std::string& aRequest,
                       const std::string& aRecordKey,
                       const std::string& aDigest,
                       Instant aDeadline)
{
  ++mCounters.mBegun;
  if (mRequests.size() >= kEntriesPerPending * mOptions.mBookings.mMaxPending) {
    mActions.push_back(AnswerCaller{
      aRequest, BookingOutcome::NotRun, "too_many_bookings", std::nullopt });
    return TakeActions();
  }
  Entry& entry = mRequests[aRequest];
  entry.mKey = aRecordKey;
  entry.mDigest = aDigest;
  entry.mDeadline = aDeadline;
  entry.mBackoff = kFirstBackoff;
  Ask(aRequest, entry);
  return TakeActions();
}

void
BookingRegistry::Ask(const std::string& aRequest, Entry& aEntry)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aEntry.mDeadline - mClock.Now());
  wire::BookingBegin begin;
  begin.key = aEntry.mKey;
  begin.digest = aEntry.mDigest;
  begin.holder = mOptions.mHolder;
  begin.request = aRequest;
  begin.remainingMs = std::max<std::int64_t>(0, left.count());
  aEntry.mAwaitsReply = true;
  mActions.push_back(SendBegin{
    aRequest, ShardOf(aEntry.mKey, mOptions.mBookings.mShards), begin });
}

RegistryActions
BookingRegistry::OnBeginReply(
  const std::string& aRequest,
  const absl::StatusOr<wire::BookingBeginReply>& aReply)
{
  Entry* entry = Find(aRequest);
  if (entry == nullptr) {
    return TakeActions();
  }
  if (aReply.ok() && aReply->verdict == BookingVerdict::PERMIT) {
    OnPermit(aRequest, *entry, aReply->attempt);
  } else if (entry->mPhase == Phase::Asking) {
    if (!aReply.ok() || aReply->verdict == BookingVerdict::NOT_OWNER) {
      entry->mAwaitsReply = false;
      entry->mNextAt = mClock.Now() + entry->mBackoff;
      entry->mBackoff = std::min(2 * entry->mBackoff, kMaxAskBackoff);
    } else {
      TakeVerdict(aRequest, *entry, *aReply);
    }
  }
  return TakeActions();
}

void
BookingRegistry::OnPermit(const std::string& aRequest,
                          Entry& aEntry,
                          std::int32_t aNumber)
{
  if (aEntry.mPhase == Phase::Closed) {
    Report(aRequest, aEntry, false);
    return;
  }
  if (aEntry.mPhase != Phase::Asking) {
    return;
  }
  if (mClock.Now() >= aEntry.mDeadline) {
    Answer(aRequest, aEntry, BookingOutcome::NotRun, "deadline");
    Report(aRequest, aEntry, false);
    return;
  }
  aEntry.mPhase = Phase::Dispatched;
  ++mCounters.mDispatched;
  mActions.push_back(DispatchCall{ aRequest, aNumber });
}

void
BookingRegistry::TakeVerdict(const std::string& aRequest,
                             Entry& aEntry,
                             const wire::BookingBeginReply& aReply)
{
  auto outcome = BookingOutcome::Unknown;
  const wire::BookingAnswer* answer = nullptr;
  if (aReply.verdict == BookingVerdict::DONE) {
    outcome = BookingOutcome::Done;
    answer = &aReply.answer;
  } else if (aReply.verdict == BookingVerdict::NOT_RUN) {
    outcome = BookingOutcome::NotRun;
  } else if (aReply.verdict == BookingVerdict::BODY_DIFFERS) {
    outcome = BookingOutcome::BodyDiffers;
  }
  Answer(aRequest, aEntry, outcome, aReply.reason, answer);
  Close(aEntry);
}

void
BookingRegistry::Answer(const std::string& aRequest,
                        Entry& aEntry,
                        BookingOutcome aOutcome,
                        const std::string& aReason,
                        const wire::BookingAnswer* aAnswer)
{
  if (aEntry.mAnswered) {
    return;
  }
  aEntry.mAnswered = true;
  AnswerCaller action{ aRequest, aOutcome, aReason, std::nullopt };
  if (aAnswer != nullptr) {
    action.mAnswer = *aAnswer;
  }
  mActions.push_back(std::move(action));
}

void
BookingRegistry::Close(Entry& aEntry)
{
  aEntry.mPhase = Phase::Closed;
  aEntry.mNextAt = mClock.Now() + kClosedKept;
}

void
BookingRegistry::Report(const std::string& aRequest, Entry& aEntry, bool aRan)
{
  if (!aRan) {
    ++mCounters.mReleased;
  }
  aEntry.mPhase = Phase::Reporting;
  aEntry.mBackoff = kFirstBackoff;
  aEntry.mResult.key = aEntry.mKey;
  aEntry.mResult.request = aRequest;
  aEntry.mResult.ran = aRan;
  SendReport(aRequest, aEntry);
}

void
BookingRegistry::SendReport(const std::string& aRequest, Entry& aEntry)
{
  aEntry.mAwaitsReply = true;
  mActions.push_back(
    SendResult{ aRequest,
                ShardOf(aEntry.mKey, mOptions.mBookings.mShards),
                aEntry.mResult });
}

RegistryActions
BookingRegistry::OnAnswer(const std::string& aRequest,
                          wire::BookingAnswer aAnswer)
{
  Entry* entry = Find(aRequest);
  if (entry == nullptr ||
      (entry->mPhase != Phase::Dispatched && entry->mPhase != Phase::Lost)) {
    return TakeActions();
  }
  if (entry->mPhase == Phase::Lost) {
    ++mCounters.mLateResults;
  }
  Answer(aRequest, *entry, BookingOutcome::Done, "ran", &aAnswer);
  if (aAnswer.body.size() > mOptions.mBookings.mMaxAnswerBytes) {
    aAnswer.body.clear();
    aAnswer.truncated = true;
  }
  entry->mResult.__set_answer(aAnswer);
  Report(aRequest, *entry, true);
  return TakeActions();
}

RegistryActions
BookingRegistry::OnNotSent(const std::string& aRequest,
                           const std::string& aReason)
{
  Entry* entry = Find(aRequest);
  if (entry != nullptr && entry->mPhase == Phase::Dispatched) {
    Answer(aRequest, *entry, BookingOutcome::NotRun, aReason);
    Report(aRequest, *entry, false);
  }
  return TakeActions();
}

RegistryActions
BookingRegistry::OnInterrupted(const std::string& aRequest,
                               const std::string& aReason)
{
  Entry* entry = Find(aRequest);
  if (entry != nullptr && entry->mPhase == Phase::Dispatched) {
    Answer(aRequest, *entry, BookingOutcome::Unknown, aReason);
    entry->mPhase = Phase::Lost;
    entry->mNextAt = mClock.Now() + kLostKept;
  }
  return TakeActions();
}

RegistryActions
BookingRegistry::OnCallerDisconnected(const std::string& aRequest)
{
  if (Entry* entry = Find(aRequest)) {
    entry->mAnswered = true;
  }
  return TakeActions();
}

RegistryActions
BookingRegistry::OnResultReply(
  const std::string& aRequest,
  const absl::StatusOr<wire::BookingResultReply>& aReply)
{
  Entry* entry = Find(aRequest);
  if (entry == nullptr || entry->mPhase != Phase::Reporting) {
    return TakeActions();
  }
  const bool again = !aReply.ok() ||
                     aReply->verdict == BookingResultVerdict::NOT_OWNER ||
                     aReply->verdict == BookingResultVerdict::BUSY;
  if (again) {
    entry->mAwaitsReply = false;
    entry->mNextAt = mClock.Now() + entry->mBackoff;
    entry->mBackoff = std::min(2 * entry->mBackoff, kMaxBackoff);
  } else if (entry->mResult.ran) {
    mRequests.erase(aRequest);
  } else {
    // A delayed begin may still produce a permit for this request.
    Close(*entry);
  }
  return TakeActions();
}

RegistryActions
BookingRegistry::OnTimer()
{
  for (auto it = mRequests.begin(); it != mRequests.end();) {
    it = TurnEntry(it->first, it->second) ? std::next(it) : mRequests.erase(it);
  }
  return TakeActions();
}

void
BookingRegistry::TurnAsking(const std::string& aRequest, Entry& aEntry)
{
  const Instant now = mClock.Now();
  if (now >= aEntry.mDeadline && !aEntry.mGraceEnd) {
    // A pause may have outlasted the deadline and a message may be lost, so the
    // owner is asked once more; it can still say "not run".
    aEntry.mGraceEnd = now + kVerdictGrace;
    Ask(aRequest, aEntry);
  } else if (aEntry.mGraceEnd && now >= *aEntry.mGraceEnd) {
    // An earlier request with this key may have run, so this one cannot be
    // called "not run".
    Answer(aRequest, aEntry, BookingOutcome::Unknown, "no_verdict");
    Report(aRequest, aEntry, false);
  } else if (!aEntry.mAwaitsReply && now >= aEntry.mNextAt) {
    Ask(aRequest, aEntry);
  }
}

/** Returns false when the entry may be forgotten. */
bool
BookingRegistry::TurnEntry(const std::string& aRequest, Entry& aEntry)
{
  const Instant now = mClock.Now();
  switch (aEntry.mPhase) {
    case Phase::Asking:
      TurnAsking(aRequest, aEntry);
      return true;
    case Phase::Dispatched:
      return true;
    case Phase::Lost:
    case Phase::Closed:
      return now < aEntry.mNextAt;
    case Phase::Reporting:
      if (now > aEntry.mDeadline + mOptions.mBookings.mRetention) {
        ++mCounters.mUnconfirmedDropped;
        return false;
      }
      if (!aEntry.mAwaitsReply && now >= aEntry.mNextAt) {
        SendReport(aRequest, aEntry);
      }
      return true;
  }
  return true;
}

} // namespace bulrushfold
