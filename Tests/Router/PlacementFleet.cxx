#include "Router/PlacementFleet.h"

#include <algorithm>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPrefix = "config/";
constexpr Duration kStreamQueueTime = seconds(1);
/** Latest answer to a plain request: after the timeout of the owner's answer,
 * the daemon chooses by itself. */
constexpr Duration kMaxPlainWait = milliseconds(310);
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
  , mPlainQueue(mDirectory, mLoads, mSelector)
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
             mPromptGuard,
             mDeferred,
             mDirectory,
             mFeed },
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
  hooks.mOnOwnerLeft = [this](const std::string&) {
    mStore.OnFeedLost();
    mFeed.OnWatched(kPrefix);
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
  mFeed.OnListing(kPrefix, listing, mFleet.mClock.Now());
  mVersion = listing.mRevision;
  StoreWatchHooks hooks;
  hooks.mOnChange = [this](const StoredObject& aObject) {
    mVersion = std::max(mVersion, aObject.mVersion);
    if (mFleet.mDefect != FleetDefect::SilentFeed) {
      mFeed.OnChange(kPrefix, aObject, mFleet.mClock.Now());
      mOwner.Announce();
    }
  };
  hooks.mOnEnd = [this](const absl::Status&, std::uint64_t) {
    mFleet.After(milliseconds(100), [this, alive = mIsAlive] {
      if (*alive) {
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
FleetDaemon::RequestStream(std::uint64_t aNumber)
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

PlacementFleet::PlacementFleet(std::uint64_t aSeed, FleetDefect aDefect)
  : mRandom(aSeed)
  , mDefect(aDefect)
{
  mClock.Advance(seconds(1000));
  mDaemons.resize(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    mDaemons[i] = std::make_unique<FleetDaemon>(*this, i);
  }
}

std::vector<FleetMember>
PlacementFleet::Members() const
{
  std::vector<FleetMember> members;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    members.push_back({ "front-" + std::to_string(i),
                        { "10.0.0.1", static_cast<std::uint16_t>(i + 1) },
                        i < 6 ? 0.5 : 0.1 });
  }
  return members;
}

std::vector<EndpointRecord>
PlacementFleet::Endpoints() const
{
  std::vector<EndpointRecord> records;
  const auto add = [&](const std::string& aId,
                       const std::string& aService,
                       EndpointRole aRole,
                       std::uint32_t aSlots) {
    EndpointRecord record;
    record.mId = aId;
    record.mService = aService;
    record.mRole = aRole;
    record.mSlots = aSlots;
    record.mFailureDomain = "z";
    records.push_back(record);
  };
  for (int i = 0; i < 4; ++i) {
    add("a" + std::to_string(i), "app", EndpointRole::General, kSlots);
    add("d" + std::to_string(i), "llm", EndpointRole::Decode, 12);
  }
  add("p0", "llm", EndpointRole::Prefill, 4);
  add("p1", "llm", EndpointRole::Prefill, 4);
  return records;
}

std::size_t
PlacementFleet::IndexOf(const FleetMember& aMember) const
{
  return aMember.mAddress.mPort - 1u;
}

Duration
PlacementFleet::Delay()
{
  return std::chrono::microseconds(500 + mRandom.UniformBelow(1500));
}

PlacementLink
PlacementFleet::LinkOf(std::size_t aDaemon)
{
  PlacementLink link;
  link.mSend = [this, aDaemon](const FleetMember& aTarget,
                               wire::MessageKind::type aKind,
                               const std::string& aPayload) {
    Deliver(aDaemon, IndexOf(aTarget), aKind, aPayload, nullptr);
  };
  link.mCall = [this, aDaemon](const FleetMember& aTarget,
                               wire::MessageKind::type aKind,
                               const std::string& aPayload,
                               Duration aTimeout,
                               PlacementLink::ReplyHook aHook) {
    auto hook = std::make_shared<PlacementLink::ReplyHook>(std::move(aHook));
    const auto alive = mDaemons[aDaemon] ? mDaemons[aDaemon]->mIsAlive
                                         : std::make_shared<bool>(true);
    const auto finish = [hook,
                         alive](const absl::StatusOr<std::string>& aReply) {
      if (const auto once = std::exchange(*hook, nullptr); once && *alive) {
        once(aReply);
      }
    };
    if (mDefect != FleetDefect::NoTimeouts) {
      After(aTimeout, [finish] {
        finish(absl::DeadlineExceededError("no reply in time"));
      });
    }
    const std::size_t target = IndexOf(aTarget);
    Deliver(
      aDaemon,
      target,
      aKind,
      aPayload,
      [this, aDaemon, target, finish](absl::StatusOr<std::string> aReply) {
        if (!IsCut(target, aDaemon)) {
          After(Delay(),
                [finish, reply = std::move(aReply)] { finish(reply); });
        }
      });
  };
  return link;
}

void
PlacementFleet::Deliver(std::size_t aFrom,
                        std::size_t aTo,
                        wire::MessageKind::type aKind,
                        const std::string& aPayload,
                        const PlacementOwner::Responder& aResponder)
{
  if (IsCut(aFrom, aTo)) {
    return;
  }
  const std::string sender = "front-" + std::to_string(aFrom);
  // The messages of a connection keep their order.
  After(milliseconds(1), [=] {
    FleetDaemon* daemon = mDaemons[aTo].get();
    if (daemon == nullptr) {
      if (aResponder) {
        aResponder(absl::UnavailableError("the connection closed"));
      }
      return;
    }
    switch (aKind) {
      case wire::MessageKind::PLACE_PLAIN:
        daemon->mOwner.HandlePlain(sender, aPayload, aResponder);
        return;
      case wire::MessageKind::PLACE_STREAM:
        daemon->mOwner.HandleStream(sender, aPayload, aResponder);
        return;
      case wire::MessageKind::PLACEMENT_EVENTS:
        daemon->mOwner.HandleEvents(sender, aPayload);
        return;
      default:
        daemon->mOwner.HandlePoll(sender, aPayload, aResponder);
        return;
    }
  });
}

void
PlacementFleet::BeginRun(const std::string& aEndpoint)
{
  // While faults last, several daemons may place at the same time.
  const bool isOver = ++mRunning[aEndpoint] > kSlots + 1;
  if (isOver && !mHasFaults) {
    ++mResult.mOverLimit;
  }
}

void
PlacementFleet::AddRequests()
{
  if (mClock.Now() >= mRequestsEnd) {
    return;
  }
  FleetDaemon* daemon = mDaemons[mRandom.UniformBelow(kDaemons)].get();
  if (daemon != nullptr) {
    const std::uint64_t number = mNextRequest++;
    ++mResult.mRequests;
    // A request of a daemon that is killed gets no answer.
    mAnswers[number] = 0;
    if (mRandom.Bernoulli(0.85)) {
      daemon->RequestPlain(number);
    } else {
      daemon->RequestStream(number);
    }
  }
  After(FromSeconds(mRandom.Exponential(0.005)), [this] { AddRequests(); });
}

void
PlacementFleet::AddFault()
{
  if (mClock.Now() >= mFaultsEnd) {
    mCuts.clear();
    return;
  }
  // The daemons that may become the owner are hit most often.
  const std::size_t victim =
    mRandom.UniformBelow(mRandom.Bernoulli(0.7) ? 6 : kDaemons);
  const Duration span = milliseconds(100 + mRandom.UniformBelow(3000));
  if (mRandom.Bernoulli(0.4) && mDaemons[victim]) {
    mDaemons[victim].reset();
    After(span, [this, victim] {
      mDaemons[victim] = std::make_unique<FleetDaemon>(*this, victim);
    });
  } else {
    // A cut in one direction or in both, to one daemon or to all.
    const bool isBothWays = mRandom.Bernoulli(0.5);
    const bool isToAll = mRandom.Bernoulli(0.5);
    const std::size_t other = mRandom.UniformBelow(kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (isToAll || i == other) {
        mCuts.insert({ victim, i });
        if (isBothWays) {
          mCuts.insert({ i, victim });
        }
      }
    }
    After(span, [this, victim] {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        mCuts.erase({ victim, i });
        mCuts.erase({ i, victim });
      }
    });
  }
  if (mRandom.Bernoulli(0.5)) {
    mStore.Write();
  }
  After(FromSeconds(mRandom.Exponential(0.7)), [this] { AddFault(); });
}

void
PlacementFleet::Continue(Duration aSpan)
{
  const Instant end = mClock.Now() + aSpan;
  bool isOver = false;
  After(aSpan, [&] { isOver = true; });
  while (!isOver && mClock.Now() <= end && mQueue.RunNext()) {
  }
}

FleetResult
PlacementFleet::Run(Duration aSpan, bool aHasFaults)
{
  // The daemons find their owner before the first request.
  const Instant start = mClock.Now() + seconds(2);
  mHasFaults = aHasFaults;
  mFaultsEnd = start + aSpan * 2 / 3;
  mRequestsEnd = start + aSpan;
  After(seconds(2), [this] { AddRequests(); });
  After(seconds(2), [this] { mStore.Write(); });
  if (aHasFaults) {
    After(seconds(2), [this] { AddFault(); });
  }
  Continue(seconds(2) + aSpan + seconds(8));
  for (const auto& [number, answers] : mAnswers) {
    mResult.mAnsweredTwice += answers > 1 ? 1 : 0;
  }
  for (const auto& it : mDaemons) {
    if (it) {
      mResult.mLostGrants += it->CountedWork();
      mResult.mOutdated += it->mVersion == mStore.Version() ? 0 : 1;
    }
  }
  mResult.mWatches = mStore.WatchCount();
  return mResult;
}

} // namespace bulrushfold
