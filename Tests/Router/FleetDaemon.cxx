#include "Router/PlacementFleet.h"

#include <algorithm>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPrefix = "config/";
/** Engine that caches the prompts of all interrupted streams. */
constexpr const char* kCachingEngine = "d2";
constexpr Duration kStreamQueueTime = seconds(1);
/** Latest answer to a plain request: after the timeout of the owner's answer,
 * the daemon chooses by itself. */
constexpr Duration kMaxPlainWait = milliseconds(310);
/** Time for the first feed of a new owner. */
constexpr Duration kFeedWait = milliseconds(700);
constexpr Duration kMaxStreamWait = kStreamQueueTime + milliseconds(400);

/** A stream that runs as soon as it is placed. */
class VirtualStream : public DispatchedStream
{
public:
  VirtualStream(FleetDaemon& aDaemon, std::uint64_t aNumber)
    : mDaemon(aDaemon)
    , mNumber(aNumber)
    , mSubmittedAt(aDaemon.mFleet.mClock.Now())
  {
  }
  void HandlePlacement(const StreamPlacement* aPlacement) override
  {
    Answer();
    mDaemon.mFleet.mLastDecode =
      aPlacement == nullptr ? "" : aPlacement->mDecode;
    if (aPlacement == nullptr) {
      Finish(Duration::zero());
      return;
    }
    Later(milliseconds(20), [](FleetDaemon& aDaemon, std::uint64_t aNumber) {
      aDaemon.mClient.OnPrefillEnded(aNumber, milliseconds(20));
      aDaemon.mClient.OnDecodeStarted(aNumber);
    });
    Finish(milliseconds(300));
  }
  void HandleOverQuota(Duration) override
  {
    Answer();
    Finish(Duration::zero());
  }
  void HandleUnservable(Duration) override
  {
    Answer();
    Finish(Duration::zero());
  }
  void HandleOverload() override
  {
    Answer();
    Finish(Duration::zero());
  }
  void HandleMove(const std::string&) override {}

private:
  void Answer()
  {
    PlacementFleet& fleet = mDaemon.mFleet;
    ++fleet.mAnswers[mNumber];
    if (fleet.mClock.Now() - mSubmittedAt > kMaxStreamWait) {
      ++fleet.mResult.mHeld;
    }
  }
  template<typename Step>
  void Later(Duration aDelay, Step aStep)
  {
    mDaemon.mFleet.After(
      aDelay,
      [daemon = &mDaemon, alive = mDaemon.mIsAlive, number = mNumber, aStep] {
        if (*alive) {
          aStep(*daemon, number);
        }
      });
  }
  void Finish(Duration aDelay)
  {
    Later(aDelay, [](FleetDaemon& aDaemon, std::uint64_t aNumber) {
      aDaemon.mClient.OnDecodeEnded(aNumber);
      aDaemon.mClient.Unregister(aNumber);
      aDaemon.mStreams.erase(aNumber);
    });
  }

  FleetDaemon& mDaemon;
  std::uint64_t mNumber;
  Instant mSubmittedAt;
};
} // namespace

FleetDaemon::FleetDaemon(PlacementFleet& aFleet, std::size_t aIndex)
  : mFleet(aFleet)
  , mName("front-" + std::to_string(aIndex))
  , mRandom(aFleet.mRandom.Bits())
  , mTurns(mLoads, mName)
  , mHealth(mRandom)
  , mRetryBudget({ 0.2, 50, seconds(10) }, aFleet.mClock.Now())
  , mSelector(mDirectory, mLoads, mHealth, "z", mRandom)
  , mPlainQueue(mSelector)
  , mPlainPlacer(aFleet.mClock, mPlainQueue, Waker([this] {
                   mPlainPlacer.Dispatch();
                 }))
  , mScheduler(mDirectory,
               mLoads,
               mRuns,
               mCachedPrompts,
               mTurns,
               mHealth,
               "z",
               mRandom,
               aFleet.mClock.Now() - seconds(60))
  , mStreamPlacer(aFleet.mQueue, aFleet.mClock, mScheduler)
  , mStore(aFleet.mStore)
  , mFeed(static_cast<std::int64_t>(aFleet.mRandom.Bits() >> 2) + 1)
  , mOwner(aFleet.mClock,
           { mPlainPlacer,
             mStreamPlacer,
             mLoads,
             mHealth,
             mRetryBudget,
             mGuard,
             mDeferred,
             mDirectory,
             mFeed,
             mQuotas,
             mOrigins },
           { "10.0.0.1", 1 },
           OwnerHooks())
  , mClient(aFleet.mClock,
            mName,
            std::chrono::duration_cast<std::chrono::microseconds>(
              aFleet.mClock.Now().time_since_epoch())
              .count(),
            aFleet.LinkOf(aIndex),
            mPlainPlacer,
            mStreamPlacer,
            ClientHooks())
{
  mDirectory.Replace(aFleet.Endpoints(), 1, aFleet.mClock.Now());
  WatchStore();
  mClient.SetMembers(aFleet.Members());
}

std::function<void(Instant)>
FleetDaemon::Waker(std::function<void()> aCallback)
{
  // Like a timer, one call replaces the one before.
  auto latest = std::make_shared<std::uint64_t>(0);
  return [this, alive = mIsAlive, latest, callback = std::move(aCallback)](
           Instant aTime) {
    const std::uint64_t number = ++*latest;
    mFleet.After(std::max(aTime - mFleet.mClock.Now(), Duration::zero()),
                 [alive, latest, number, callback] {
                   if (*alive && number == *latest) {
                     callback();
                   }
                 });
  };
}

PlacementOwner::Hooks
FleetDaemon::OwnerHooks()
{
  PlacementOwner::Hooks hooks;
  hooks.mNextNumber = [this] { return mNextNumber++; };
  hooks.mMemberCount = [] { return PlacementFleet::kDaemons; };
  hooks.mFindCachedPrompt = [this](const StreamDemand& aDemand,
                                   const std::function<void()>& aDone) {
    mFleet.After(milliseconds(5),
                 [this, alive = mIsAlive, key = aDemand.mPromptKey, aDone] {
                   if (*alive) {
                     mCachedPrompts.OnListed(
                       kCachingEngine, { { key, 5000 } }, mFleet.mClock.Now());
                     aDone();
                   }
                 });
  };
  hooks.mOnStepDown = [this] { mClient.StepDown(); };
  hooks.mWakeAt = Waker([this] { mOwner.OnWake(); });
  return hooks;
}

PlacementClient::Hooks
FleetDaemon::ClientHooks()
{
  PlacementClient::Hooks hooks;
  hooks.mMakeStatus = [] {
    PeerStatus status;
    status.mAddress = { "10.0.0.1", 1 };
    return status;
  };
  hooks.mOnNews = [](const std::string&, const PeerStatus&, std::size_t) {};
  hooks.mOnOwnerLeft = [this](const std::string&, bool aHasNext) {
    if (!aHasNext) {
      if (!mStore.OnFeedLost().empty()) {
        mFeed.OnWatched(kPrefix);
      }
      return;
    }
    mStore.OnFeedChanging();
    mFleet.After(kFeedWait, [this, alive = mIsAlive] {
      if (*alive && !mStore.StopWaiting().empty()) {
        mFeed.OnWatched(kPrefix);
      }
    });
  };
  hooks.mReachesStore = [this] { return !mStore.IsFed(); };
  hooks.mFeedPositions = [this] { return mStore.Positions(); };
  hooks.mOnFeed = [this](const FeedUpdate& aUpdate) {
    mStore.OnFeed(aUpdate);
    if (aUpdate.mIsCurrent) {
      mFeed.OnLost(aUpdate.mPrefix);
    }
  };
  hooks.mIsUsable = [this](const std::string& aEndpoint) {
    return mDirectory.IsUsable(aEndpoint);
  };
  hooks.mWakeAt = Waker([this] { mClient.OnWake(); });
  hooks.mTakeQuota = [this](const PlacementTerms& aTerms) {
    return mQuotas.Take(aTerms, mFleet.mClock.Now());
  };
  hooks.mRefundQuota = [this](const PlacementTerms& aTerms) {
    mQuotas.Refund(aTerms);
  };
  hooks.mOnFollowing = [this] { mQuotas.Suspend(); };
  hooks.mDefer = [this](std::function<void()> aCallback) {
    mFleet.After(Duration::zero(),
                 [alive = mIsAlive, callback = std::move(aCallback)] {
                   if (*alive) {
                     callback();
                   }
                 });
  };
  return hooks;
}

void
FleetDaemon::WatchStore()
{
  const StoreListing listing{ { mFleet.mStore.Object() },
                              mFleet.mStore.Version() };
  mFeed.OnListing(kPrefix, listing);
  mVersion = listing.mRevision;
  StoreWatchHooks hooks;
  hooks.mOnChange = [this](const StoredObject& aObject) {
    mFleet.mResult.mWentBack += aObject.mVersion < mVersion ? 1 : 0;
    mVersion = std::max(mVersion, aObject.mVersion);
    if (mFleet.mDefect != FleetDefect::SilentFeed) {
      mFeed.OnChange(kPrefix, aObject);
      mOwner.Announce();
    }
  };
  hooks.mOnResumed = [this] { mIsWatching = true; };
  mIsWatching = true;
  hooks.mOnEnd = [this](const absl::Status&, std::uint64_t) {
    mIsWatching = false;
    mFleet.After(milliseconds(100), [this, alive = mIsAlive] {
      if (*alive && !mIsWatching) {
        mWatch.reset();
        WatchStore();
      }
    });
  };
  mWatch = mStore.Watch(kPrefix, listing.mRevision, std::move(hooks));
}

void
FleetDaemon::RequestPlain(std::uint64_t aNumber)
{
  const Instant now = mFleet.mClock.Now();
  const PlainDemand demand{
    aNumber, "app", {}, false, now + milliseconds(300)
  };
  if (mFleet.mDefect == FleetDefect::NoLimit) {
    mPlainQueue.SetLimited(false);
  }
  mClient.RequestPlain(demand, [this, aNumber, now](const PlainGrant& aGrant) {
    ++mFleet.mAnswers[aNumber];
    if (mFleet.mClock.Now() - now > kMaxPlainWait) {
      ++mFleet.mResult.mHeld;
    }
    if (!aGrant.mChoice) {
      return;
    }
    mFleet.mResult.mPlacedByOwner += aGrant.mPlacedBy.empty() ? 0 : 1;
    const std::string endpoint = aGrant.mChoice->mEndpoint;
    mLoads.Begin(endpoint, { 1, 0 });
    mFleet.BeginRun(endpoint);
    const Duration span = milliseconds(20 + mRandom.UniformBelow(60));
    mFleet.After(
      span, [this, &fleet = mFleet, alive = mIsAlive, aNumber, endpoint] {
        fleet.EndRun(endpoint);
        if (*alive) {
          mLoads.End(endpoint, { 1, 0 });
        }
        if (*alive && fleet.mDefect != FleetDefect::NoRelease) {
          mClient.OnPlainEnded(aNumber, SendResult::Answered, std::nullopt);
        }
      });
  });
}

void
FleetDaemon::RequestStream(std::uint64_t aNumber, std::uint64_t aCachedKey)
{
  const Instant now = mFleet.mClock.Now();
  auto& stream = mStreams[aNumber];
  stream = std::make_unique<VirtualStream>(*this, aNumber);
  StreamDemand demand;
  demand.mNumber = aNumber;
  demand.mService = "llm";
  demand.mProfile.mMemoryTokens = 60'000;
  demand.mPromptTokens = 5000;
  demand.mAnswerTokens = 500;
  demand.mMaxAnswerTokens = 1000;
  demand.mFirstEventDeadline = now + milliseconds(900);
  demand.mSubmittedAt = now;
  demand.mQueueDeadline = now + kStreamQueueTime;
  demand.mIsRetry = true;
  demand.mPromptKey = aCachedKey;
  demand.mWasInterrupted = aCachedKey != 0;
  demand.mStream = aNumber;
  demand.mResumableUntil = now + seconds(14);
  mClient.Submit(std::move(demand), *stream);
}

std::size_t
FleetDaemon::CountedWork() const
{
  std::size_t work = mRuns.Own().size();
  for (const auto& [endpoint, own] : mLoads.OwnWorks()) {
    work += own.mRequests;
  }
  return work;
}

} // namespace bulrushfold
