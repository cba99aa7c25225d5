#include "Soak/BookingScenario.h"

#include <algorithm>

#include "Base/Identifiers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::uint64_t kShards = 3;
constexpr std::size_t kKeysKept = 1000;
constexpr Duration kSettleTime = std::chrono::seconds(120);
constexpr Duration kProbeAfter = std::chrono::seconds(60);
constexpr Duration kMembershipTurn = std::chrono::milliseconds(250);
constexpr Duration kFaultTurn = std::chrono::milliseconds(200);
constexpr Duration kMeanCallGap = std::chrono::milliseconds(60);
constexpr Duration kMaxDeadline = std::chrono::seconds(5);
constexpr Duration kMaxPause = std::chrono::seconds(8);
constexpr Duration kMaxOutage = std::chrono::seconds(12);
constexpr Duration kLongOutage = std::chrono::minutes(3);
constexpr Duration kMaxSplit = std::chrono::seconds(6);
constexpr Duration kMaxDown = std::chrono::seconds(4);
constexpr Duration kServiceTime = std::chrono::milliseconds(400);
constexpr Duration kSilenceBound = std::chrono::seconds(1);
constexpr std::int64_t kMaxSkewMs = 8000;
constexpr std::size_t kLongAnswer = 200;

constexpr const char* kDeath = "process_death";
constexpr const char* kPause = "process_pause";
constexpr const char* kHolderPause = "holder_pause";
constexpr const char* kSkew = "wall_clock_skew";
constexpr const char* kSplit = "membership_split";
constexpr const char* kRetry = "caller_retry_elsewhere";
constexpr const char* kOtherBody = "caller_other_body";
constexpr const char* kOldKey = "caller_retry_trimmed";
constexpr const char* kRefused = "endpoint_connect_refused";
constexpr const char* kCrashBefore = "endpoint_crash_before_run";
constexpr const char* kCrashAfter = "endpoint_crash_after_run";
constexpr const char* kSilent = "connection_silent";

BookingDaemon::Options
MakeOptions()
{
  BookingDaemon::Options options;
  options.mBookings.mShards = kShards;
  options.mBookings.mCommitInterval = std::chrono::milliseconds(10);
  // Short, so that records are trimmed and sealed many times in a run.
  options.mBookings.mRetention = std::chrono::seconds(20);
  options.mTable.mHeadBytes = 3000;
  options.mTable.mSegmentBytes = 9000;
  options.mBookings.mMaxPending = 60;
  options.mBookings.mMaxAnswerBytes = kLongAnswer - 1;
  options.mClockGapLimit = std::chrono::seconds(1);
  return options;
}

} // namespace

BookingScenario::BookingScenario(SoakContext& aContext)
  : mContext(aContext)
  , mStore(aContext)
  , mNetwork(aContext)
  , mAudit(aContext)
  , mViews(aContext)
{
  mHooks.mOwner = [this](const BookingDaemon& aAsker, std::uint64_t aShard) {
    const std::size_t asker = static_cast<std::size_t>(aAsker.Name()[0] - 'a');
    return mDaemons[mViews.Owner(asker, aShard)].get();
  };
  mHooks.mDispatch = [this](BookingDaemon& aDaemon, const DispatchCall& aCall) {
    Dispatch(aDaemon, aCall);
  };
  mHooks.mAnswer = [this](BookingDaemon&, const AnswerCaller& aAnswer) {
    Answer(aAnswer);
  };
}

std::vector<std::string>
BookingScenario::Defects() const
{
  return { "dispatch-before-commit",
           "ignore-version-conflict",
           "lost-answer-as-not-run",
           "trim-without-mark",
           "ignore-body",
           "permit-any-request",
           "dispatch-twice",
           "answer-twice" };
}

Duration
BookingScenario::SettleTime() const
{
  return kSettleTime;
}

bool
BookingScenario::Strikes(const char* aClass, double aChance)
{
  if (mSettling || !mContext.mRandom.Bernoulli(aChance)) {
    return false;
  }
  mContext.mFaults.Strike(aClass);
  return true;
}

Duration
BookingScenario::UpTo(Duration aSpan)
{
  return Duration(1 + mContext.mRandom.UniformBelow(aSpan.count()));
}

void
BookingScenario::Start()
{
  for (const char* name : { kDeath,
                            kPause,
                            kHolderPause,
                            kSkew,
                            kSplit,
                            kRetry,
                            kOtherBody,
                            kOldKey,
                            kRefused,
                            kCrashBefore,
                            kCrashAfter,
                            kSilent }) {
    mContext.mFaults.Register(name);
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    mDaemons.push_back(std::make_unique<BookingDaemon>(
      mContext,
      std::string(1, static_cast<char>('a' + i)),
      MakeOptions(),
      mStore,
      mNetwork,
      mHooks));
    mViews.Add(mDaemons.back()->Process());
  }
  ScheduleMembership();
  ScheduleCaller();
  ScheduleFaults();
}

void
BookingScenario::ScheduleCaller()
{
  const double mean = ToSeconds(kMeanCallGap);
  mContext.mEvents.After(FromSeconds(mContext.mRandom.Exponential(mean)),
                         [this] {
                           if (mSettling) {
                             return;
                           }
                           NewCall();
                           RetryOldKey();
                           ScheduleCaller();
                         });
}

void
BookingScenario::NewCall()
{
  UsedKey used;
  used.mKey =
    MakeRecordKey("w", MakeUuidV7(mContext.mClock.Wall(), mContext.mRandom));
  used.mDigest = absl::StrCat("body", mContext.mRandom.UniformBelow(1000));
  const std::size_t daemon = PickDaemon();
  Submit(used, daemon);
  mUsedKeys.push_back(used);
  if (mUsedKeys.size() > kKeysKept) {
    mUsedKeys.erase(mUsedKeys.begin());
  }
  if (Strikes(kRetry, 0.15)) {
    RetryElsewhere(used, daemon);
  }
  if (Strikes(kOtherBody, 0.03)) {
    used.mDigest += "x";
    RetryElsewhere(used, daemon);
  }
}

void
BookingScenario::RetryElsewhere(const UsedKey& aUsed, std::size_t aExcept)
{
  mContext.mEvents.After(UpTo(kMaxDeadline), [this, aUsed, aExcept] {
    std::size_t daemon = PickDaemon();
    if (daemon == aExcept) {
      daemon = (daemon + 1) % kDaemons;
    }
    Submit(aUsed, daemon);
  });
}

/** Sends a key again whose record may have been sealed or trimmed. */
void
BookingScenario::RetryOldKey()
{
  if (Strikes(kOldKey, 0.1)) {
    const auto i = mContext.mRandom.UniformBelow(mUsedKeys.size());
    Submit(mUsedKeys[i], PickDaemon());
  }
}

std::size_t
BookingScenario::PickDaemon()
{
  return mContext.mRandom.UniformBelow(kDaemons);
}

std::string
BookingScenario::Submit(const UsedKey& aUsed, std::size_t aDaemon)
{
  BookingDaemon& daemon = *mDaemons[aDaemon];
  std::string request = absl::StrCat("q", mNextRequest++);
  AuditedRequest record;
  record.mKey = aUsed.mKey;
  record.mDigest = aUsed.mDigest;
  record.mDaemon = aDaemon;
  record.mBroken = !daemon.Process().IsAlive();
  mAudit.OnRequest(request, record);
  const Duration deadline = kMaxDeadline / 5 + UpTo(kMaxDeadline);
  daemon.Process().Post(Duration(1), [&daemon, request, aUsed, deadline] {
    daemon.Begin(request, aUsed.mKey, aUsed.mDigest, deadline);
  });
  return request;
}

void
BookingScenario::ScheduleFaults()
{
  mContext.mEvents.After(kFaultTurn, [this] {
    if (mSettling) {
      return;
    }
    StrikeDaemons();
    if (!mStore.IsDown() && mContext.mRandom.Bernoulli(0.01)) {
      const bool isLong = mContext.mRandom.Bernoulli(0.05);
      mStore.BeginOutage(UpTo(isLong ? kLongOutage : kMaxOutage));
    }
    ScheduleFaults();
  });
}

void
BookingScenario::StrikeDaemons()
{
  const std::size_t i = PickDaemon();
  FakeProcess& process = mDaemons[i]->Process();
  if (process.IsAlive() && !process.IsPaused()) {
    if (Strikes(kDeath, 0.03)) {
      KillDaemon(i);
    } else if (Strikes(kPause, 0.04)) {
      process.Pause(UpTo(kMaxPause));
    }
  }
  if (Strikes(kSkew, 0.02)) {
    const auto skew =
      static_cast<std::int64_t>(mContext.mRandom.UniformBelow(2 * kMaxSkewMs));
    mDaemons[i]->Calendar().SetSkew(
      std::chrono::milliseconds(skew - kMaxSkewMs));
  }
  if (Strikes(kSplit, 0.02)) {
    mViews.Split(PickDaemon(), UpTo(kMaxSplit));
  }
}

void
BookingScenario::KillDaemon(std::size_t aIndex)
{
  mDaemons[aIndex]->Process().Kill();
  for (const auto& request : mAudit.OnDaemonDied(aIndex)) {
    const auto& record = mAudit.Request(request);
    RetryElsewhere({ record.mKey, record.mDigest }, aIndex);
  }
  mContext.mEvents.After(UpTo(kMaxDown), [this, aIndex] {
    if (!mDaemons[aIndex]->Process().IsAlive()) {
      mDaemons[aIndex]->Restart();
    }
  });
}

void
BookingScenario::ScheduleMembership()
{
  mContext.mEvents.After(kMembershipTurn, [this] {
    mViews.Update();
    for (auto& it : mDaemons) {
      it->Process().Post(Duration(1), [&it] { it->UpdateOwnership(); });
    }
    ScheduleMembership();
  });
}

void
BookingScenario::Dispatch(BookingDaemon& aDaemon, const DispatchCall& aCall)
{
  FakeProcess& process = aDaemon.Process();
  const std::string request = aCall.mRequest;
  if (Strikes(kRefused, 0.03)) {
    process.Post(Duration(100),
                 [&aDaemon, request] { aDaemon.OnNotSent(request); });
    return;
  }
  // The holder is paused between its decision and the first byte.
  if (Strikes(kHolderPause, 0.02)) {
    process.Pause(UpTo(kMaxPause));
  }
  process.Post(Duration(1),
               [this, &aDaemon, request] { Execute(aDaemon, request); });
}

void
BookingScenario::Execute(BookingDaemon& aDaemon, const std::string& aRequest)
{
  FakeProcess& process = aDaemon.Process();
  const auto lost = [&aDaemon, aRequest] { aDaemon.OnInterrupted(aRequest); };
  if (Strikes(kCrashBefore, 0.03)) {
    process.Post(UpTo(kServiceTime), lost);
    return;
  }
  const bool crash = Strikes(kCrashAfter, 0.03);
  const bool silent = !crash && Strikes(kSilent, 0.03);
  // The call is on its way; the endpoint runs it whatever happens to the
  // daemon.
  mContext.mEvents.After(UpTo(kServiceTime / 10), [=, &aDaemon, &process] {
    wire::BookingAnswer answer;
    answer.status = 200;
    answer.truncated = false;
    answer.body = mAudit.OnRun(aRequest);
    if (crash || silent) {
      process.Post(crash ? UpTo(kServiceTime) : kSilenceBound, lost);
    }
    if (!crash) {
      const Duration late = silent ? 3 * kSilenceBound : Duration{};
      process.Post(late + UpTo(kServiceTime), [&aDaemon, aRequest, answer] {
        aDaemon.OnAnswer(aRequest, answer);
      });
    }
  });
}

void
BookingScenario::Answer(const AnswerCaller& aAnswer)
{
  mAudit.OnAnswer(aAnswer);
  const bool retries = aAnswer.mOutcome == BookingOutcome::NotRun ||
                       aAnswer.mOutcome == BookingOutcome::Unknown;
  if (retries && !mSettling && mContext.mRandom.Bernoulli(0.3)) {
    const auto& record = mAudit.Request(aAnswer.mRequest);
    RetryElsewhere({ record.mKey, record.mDigest }, record.mDaemon);
  }
}

void
BookingScenario::Settle()
{
  mSettling = true;
  mStore.Heal();
  mNetwork.Heal();
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (!mDaemons[i]->Process().IsAlive()) {
      mDaemons[i]->Restart();
    }
    mDaemons[i]->Process().Resume();
    mViews.Heal(i);
  }
  mContext.mEvents.After(kProbeAfter, [this] {
    for (std::size_t i = 0; i < kDaemons * kShards; ++i) {
      UsedKey used;
      used.mKey = MakeRecordKey(
        "w", MakeUuidV7(mContext.mClock.Wall(), mContext.mRandom));
      used.mDigest = "probe";
      mProbes.push_back(Submit(used, i % kDaemons));
    }
  });
}

void
BookingScenario::Check()
{
  for (const auto& request : mAudit.Open()) {
    mContext.mJournal.Violate(
      "all-answered", mAudit.Request(request).mKey, request + " has no answer");
  }
  for (const auto& request : mProbes) {
    if (!mAudit.Done(request)) {
      mContext.mJournal.Violate("recovers",
                                mAudit.Request(request).mKey,
                                request +
                                  " did not run after all faults ended");
    }
  }
  CheckStoreSize();
}

/** Records and segments of old keys must not stay in the store. */
void
BookingScenario::CheckStoreSize()
{
  // Late copies of segment writes may each leave an object behind.
  const std::size_t bound = kShards * 40 + mAudit.Requests() / 50;
  if (mStore.Data().Objects() > bound) {
    mContext.mJournal.Violate(
      "store-bounded",
      "store",
      absl::StrCat(mStore.Data().Objects(), " objects, bound ", bound));
  }
}

std::string
BookingScenario::Figures() const
{
  std::string text;
  for (const auto& [reason, count] : mAudit.Reasons()) {
    absl::StrAppend(&text, "booking answers ", reason, "=", count, "\n");
  }
  return absl::StrCat(text,
                      "booking runs=",
                      mAudit.Runs(),
                      " done=",
                      mAudit.Answers(BookingOutcome::Done),
                      " not_run=",
                      mAudit.Answers(BookingOutcome::NotRun),
                      " unknown=",
                      mAudit.Answers(BookingOutcome::Unknown),
                      " body_differs=",
                      mAudit.Answers(BookingOutcome::BodyDiffers),
                      " not_run_of_used_key=",
                      mAudit.NotRunOfUsedKey());
}

} // namespace bulrushfold
