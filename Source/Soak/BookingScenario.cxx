#include "Soak/BookingScenario.h"

#include <algorithm>

#include "Base/Identifiers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::uint64_t kShards = 3;
constexpr std::size_t kMaxUsedKeys = 1000;
constexpr Duration kSettleTime = std::chrono::seconds(120);
constexpr Duration kProbeDelay = std::chrono::seconds(60);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(250);
constexpr Duration kFaultInterval = std::chrono::milliseconds(200);
constexpr Duration kMeanCallInterval = std::chrono::milliseconds(60);
constexpr Duration kMaxDeadline = std::chrono::seconds(5);
constexpr Duration kMaxPause = std::chrono::seconds(8);
constexpr Duration kMaxOutage = std::chrono::seconds(12);
constexpr Duration kMaxLongOutage = std::chrono::minutes(3);
constexpr Duration kMaxPartition = std::chrono::seconds(6);
constexpr Duration kMaxRestartDelay = std::chrono::seconds(4);
constexpr Duration kMaxServiceTime = std::chrono::milliseconds(400);
constexpr Duration kReadTimeout = std::chrono::seconds(1);
constexpr std::int64_t kMaxSkewMs = 8000;
constexpr std::size_t kLongAnswerBytes = 200;

constexpr const char* kProcessDeath = "process_death";
constexpr const char* kProcessPause = "process_pause";
constexpr const char* kHolderPause = "holder_pause";
constexpr const char* kWallClockSkew = "wall_clock_skew";
constexpr const char* kMembershipSplit = "membership_split";
constexpr const char* kRetryElsewhere = "caller_retry_elsewhere";
constexpr const char* kOtherBody = "caller_other_body";
constexpr const char* kRetryTrimmed = "caller_retry_trimmed";
constexpr const char* kConnectRefused = "endpoint_connect_refused";
constexpr const char* kCrashBeforeRun = "endpoint_crash_before_run";
constexpr const char* kCrashAfterRun = "endpoint_crash_after_run";
constexpr const char* kConnectionTimedOut = "connection_silent";

BookingDaemon::Options
MakeOptions()
{
  BookingDaemon::Options options;
  options.mBookings.mShards = kShards;
  options.mBookings.mCommitInterval = std::chrono::milliseconds(10);
  // A short retention and small sizes, so that records are trimmed and sealed
  // many times in a run.
  options.mBookings.mRetention = std::chrono::seconds(20);
  options.mTableLimits.mMaxHeadBytes = 3000;
  options.mTableLimits.mMaxSegmentBytes = 9000;
  options.mBookings.mMaxPending = 60;
  options.mBookings.mMaxAnswerBytes = kLongAnswerBytes - 1;
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
  mCallbacks.mOwner = [this](const BookingDaemon& aObserver,
                             std::uint64_t aShard) {
    const std::size_t observer =
      static_cast<std::size_t>(aObserver.Name()[0] - 'a');
    return mDaemons[mViews.Owner(observer, aShard)].get();
  };
  mCallbacks.mDispatch = [this](BookingDaemon& aDaemon,
                                const DispatchCall& aCall) {
    Dispatch(aDaemon, aCall);
  };
  mCallbacks.mAnswer = [this](BookingDaemon&, const AnswerCaller& aAnswer) {
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
BookingScenario::ShouldInject(const char* aClass, double aChance)
{
  if (mSettling || !mContext.mRandom.Bernoulli(aChance)) {
    return false;
  }
  mContext.mFaults.Count(aClass);
  return true;
}

Duration
BookingScenario::RandomDuration(Duration aMaximum)
{
  return Duration(1 + mContext.mRandom.UniformBelow(aMaximum.count()));
}

void
BookingScenario::Start()
{
  for (const char* name : { kProcessDeath,
                            kProcessPause,
                            kHolderPause,
                            kWallClockSkew,
                            kMembershipSplit,
                            kRetryElsewhere,
                            kOtherBody,
                            kRetryTrimmed,
                            kConnectRefused,
                            kCrashBeforeRun,
                            kCrashAfterRun,
                            kConnectionTimedOut }) {
    mContext.mFaults.Register(name);
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    mDaemons.push_back(std::make_unique<BookingDaemon>(
      mContext,
      std::string(1, static_cast<char>('a' + i)),
      MakeOptions(),
      mStore,
      mNetwork,
      mCallbacks));
    mViews.Add(mDaemons.back()->Process());
  }
  ScheduleMembership();
  ScheduleCaller();
  ScheduleFaults();
}

void
BookingScenario::ScheduleCaller()
{
  const double mean = ToSeconds(kMeanCallInterval);
  mContext.mEvents.After(FromSeconds(mContext.mRandom.Exponential(mean)),
                         [this] {
                           if (mSettling) {
                             return;
                           }
                           NewCall();
                           RetryUsedKey();
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
  if (mUsedKeys.size() > kMaxUsedKeys) {
    mUsedKeys.erase(mUsedKeys.begin());
  }
  if (ShouldInject(kRetryElsewhere, 0.15)) {
    RetryElsewhere(used, daemon);
  }
  if (ShouldInject(kOtherBody, 0.03)) {
    used.mDigest += "x";
    RetryElsewhere(used, daemon);
  }
}

void
BookingScenario::RetryElsewhere(const UsedKey& aUsed,
                                std::size_t aExcludedDaemon)
{
  mContext.mEvents.After(RandomDuration(kMaxDeadline),
                         [this, aUsed, aExcludedDaemon] {
                           std::size_t daemon = PickDaemon();
                           if (daemon == aExcludedDaemon) {
                             daemon = (daemon + 1) % kDaemons;
                           }
                           Submit(aUsed, daemon);
                         });
}

/** Sends a used key again, whose record may have been sealed or trimmed. */
void
BookingScenario::RetryUsedKey()
{
  if (ShouldInject(kRetryTrimmed, 0.1)) {
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
  record.mIsInterrupted = !daemon.Process().IsAlive();
  mAudit.OnRequest(request, record);
  const Duration deadline = kMaxDeadline / 5 + RandomDuration(kMaxDeadline);
  daemon.Process().Post(Duration(1), [&daemon, request, aUsed, deadline] {
    daemon.Begin(request, aUsed.mKey, aUsed.mDigest, deadline);
  });
  return request;
}

void
BookingScenario::ScheduleFaults()
{
  mContext.mEvents.After(kFaultInterval, [this] {
    if (mSettling) {
      return;
    }
    InjectDaemonFaults();
    if (!mStore.IsUnavailable() && mContext.mRandom.Bernoulli(0.01)) {
      const bool isLong = mContext.mRandom.Bernoulli(0.05);
      mStore.StartOutage(RandomDuration(isLong ? kMaxLongOutage : kMaxOutage));
    }
    ScheduleFaults();
  });
}

void
BookingScenario::InjectDaemonFaults()
{
  const std::size_t i = PickDaemon();
  FakeProcess& process = mDaemons[i]->Process();
  if (process.IsAlive() && !process.IsPaused()) {
    if (ShouldInject(kProcessDeath, 0.03)) {
      KillDaemon(i);
    } else if (ShouldInject(kProcessPause, 0.04)) {
      process.Pause(RandomDuration(kMaxPause));
    }
  }
  if (ShouldInject(kWallClockSkew, 0.02)) {
    const auto skew =
      static_cast<std::int64_t>(mContext.mRandom.UniformBelow(2 * kMaxSkewMs));
    mDaemons[i]->ProcessClock().SetSkew(
      std::chrono::milliseconds(skew - kMaxSkewMs));
  }
  if (ShouldInject(kMembershipSplit, 0.02)) {
    mViews.Partition(PickDaemon(), RandomDuration(kMaxPartition));
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
  mContext.mEvents.After(RandomDuration(kMaxRestartDelay), [this, aIndex] {
    if (!mDaemons[aIndex]->Process().IsAlive()) {
      mDaemons[aIndex]->Restart();
    }
  });
}

void
BookingScenario::ScheduleMembership()
{
  mContext.mEvents.After(kMembershipInterval, [this] {
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
  if (ShouldInject(kConnectRefused, 0.03)) {
    process.Post(Duration(100),
                 [&aDaemon, request] { aDaemon.OnNotSent(request); });
    return;
  }
  // The holder is paused between its decision and the first byte.
  if (ShouldInject(kHolderPause, 0.02)) {
    process.Pause(RandomDuration(kMaxPause));
  }
  process.Post(Duration(1),
               [this, &aDaemon, request] { Execute(aDaemon, request); });
}

void
BookingScenario::Execute(BookingDaemon& aDaemon, const std::string& aRequest)
{
  FakeProcess& process = aDaemon.Process();
  const auto interrupt = [&aDaemon, aRequest] {
    aDaemon.OnInterrupted(aRequest);
  };
  if (ShouldInject(kCrashBeforeRun, 0.03)) {
    process.Post(RandomDuration(kMaxServiceTime), interrupt);
    return;
  }
  const bool crash = ShouldInject(kCrashAfterRun, 0.03);
  const bool timesOut = !crash && ShouldInject(kConnectionTimedOut, 0.03);
  // The call was sent. The endpoint executes it even if the daemon dies or is
  // paused.
  mContext.mEvents.After(
    RandomDuration(kMaxServiceTime / 10), [=, &aDaemon, &process] {
      wire::BookingAnswer answer;
      answer.status = 200;
      answer.truncated = false;
      answer.body = mAudit.OnRun(aRequest);
      if (crash || timesOut) {
        process.Post(crash ? RandomDuration(kMaxServiceTime) : kReadTimeout,
                     interrupt);
      }
      if (!crash) {
        const Duration late = timesOut ? 3 * kReadTimeout : Duration{};
        process.Post(
          late + RandomDuration(kMaxServiceTime),
          [&aDaemon, aRequest, answer] { aDaemon.OnAnswer(aRequest, answer); });
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
  mStore.EndFaults();
  mNetwork.EndFaults();
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (!mDaemons[i]->Process().IsAlive()) {
      mDaemons[i]->Restart();
    }
    mDaemons[i]->Process().Resume();
    mViews.EndPartition(i);
  }
  mContext.mEvents.After(kProbeDelay, [this] {
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
  for (const auto& request : mAudit.UnansweredRequests()) {
    mContext.mJournal.ReportViolation(
      "all-answered", mAudit.Request(request).mKey, request + " has no answer");
  }
  for (const auto& request : mProbes) {
    if (!mAudit.IsDone(request)) {
      mContext.mJournal.ReportViolation(
        "recovers",
        mAudit.Request(request).mKey,
        request + " did not run after all faults ended");
    }
  }
  CheckStoreSize();
}

/** Checks that segments of expired keys are deleted from the store. */
void
BookingScenario::CheckStoreSize()
{
  // Each delayed segment write may create an object that nothing deletes.
  const std::size_t limit = kShards * 40 + mAudit.RequestCount() / 50;
  if (mStore.Data().ObjectCount() > limit) {
    mContext.mJournal.ReportViolation(
      "store-bounded",
      "store",
      absl::StrCat(mStore.Data().ObjectCount(), " objects, limit ", limit));
  }
}

std::string
BookingScenario::Statistics() const
{
  std::string text;
  for (const auto& [reason, count] : mAudit.AnswersByReason()) {
    absl::StrAppend(&text, "booking answers ", reason, "=", count, "\n");
  }
  return absl::StrCat(text,
                      "booking runs=",
                      mAudit.RunCount(),
                      " done=",
                      mAudit.AnswerCount(BookingOutcome::Done),
                      " not_run=",
                      mAudit.AnswerCount(BookingOutcome::NotRun),
                      " unknown=",
                      mAudit.AnswerCount(BookingOutcome::Unknown),
                      " body_differs=",
                      mAudit.AnswerCount(BookingOutcome::BodyDiffers),
                      " not_run_of_used_key=",
                      mAudit.NotRunOfUsedKeyCount());
}

} // namespace bulrushfold
