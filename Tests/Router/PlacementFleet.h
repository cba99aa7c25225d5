#ifndef BULRUSHFOLD_TESTS_ROUTER_PLACEMENTFLEET_H
#define BULRUSHFOLD_TESTS_ROUTER_PLACEMENTFLEET_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Platform/RelayedStore.h"
#include "Router/PlacementClient.h"
#include "Router/PlacementOwner.h"
#include "Soak/VirtualTimeQueue.h"

namespace bulrushfold {

/** A fault in the daemons under test, which the checks must notice. */
enum class FleetDefect
{
  None,
  /** Clients keep what they were granted after the request has ended. */
  NoRelease,
  /** Clients do not notice that a call to the owner has failed. */
  NoTimeouts,
  /** The owner does not limit the requests of an endpoint. */
  NoLimit,
  /** The owner passes on no changes of the store. */
  SilentFeed,
  /** Revisions of the store are compared without its era. */
  IgnoredEra,
};

/** Store of a virtual fleet with one object, whose version is its number. */
class VirtualStore : public ObjectStore
{
public:
  explicit VirtualStore(VirtualTimeQueue& aQueue)
    : mQueue(aQueue)
  {
  }
  void Write()
  {
    ++mRevision.mNumber;
    for (const auto& [watch, hooks] : std::map(mWatches)) {
      AfterDelay(watch, [this](const StoreWatchHooks& aHooks) {
        aHooks.mOnChange(Object());
      });
    }
  }
  /** The store comes back from a copy that lacks the last aLost writes. */
  void ReturnFromCopy(std::uint64_t aLost)
  {
    mRevision.mNumber -= std::min(aLost, mRevision.mNumber - 1);
    mRevision.mEra += mIgnoresEra ? 0 : 1;
    for (const auto& [watch, hooks] : std::map(mWatches)) {
      AfterDelay(watch, [this, watch = watch](const StoreWatchHooks& aHooks) {
        const auto end = aHooks.mOnEnd;
        mWatches.erase(watch);
        end(absl::OutOfRangeError("the store came back"), 0);
      });
    }
  }
  void IgnoreEra() { mIgnoresEra = true; }
  StoredObject Object() const
  {
    return { "config/main", Version(), "", false };
  }
  std::uint64_t Version() const { return ToVersion(mRevision); }
  std::size_t WatchCount() const { return mWatches.size(); }
  /** Watches since the start. */
  std::size_t WatchCalls() const { return mWatchCalls; }

  void Get(const std::string&, GetHook aHook) override { aHook(Object()); }
  void Put(const std::string&,
           const std::string&,
           std::optional<std::uint64_t>,
           PutHook) override
  {
  }
  void Delete(const std::string&,
              std::optional<std::uint64_t>,
              PutHook) override
  {
  }
  void List(const std::string&, ListHook aHook) override
  {
    aHook(StoreListing{ { Object() }, Version() });
  }
  std::unique_ptr<StoreWatch> Watch(const std::string&,
                                    std::uint64_t aRevision,
                                    StoreWatchHooks aHooks) override
  {
    ++mWatchCalls;
    auto watch = std::make_unique<VirtualWatch>(*this);
    mWatches[watch.get()] = std::move(aHooks);
    if (aRevision < Version()) {
      AfterDelay(watch.get(), [this](const StoreWatchHooks& aIt) {
        aIt.mOnChange(Object());
      });
    }
    return watch;
  }
  const StoreStatistics& Statistics() const override { return mStatistics; }

private:
  struct VirtualWatch : public StoreWatch
  {
    explicit VirtualWatch(VirtualStore& aStore)
      : mStore(aStore)
    {
    }
    ~VirtualWatch() override { mStore.mWatches.erase(this); }
    VirtualStore& mStore;
  };

  /** Calls aCallback after the delay of the network, unless the watch ends. */
  void AfterDelay(StoreWatch* aWatch,
                  std::function<void(const StoreWatchHooks&)> aCallback)
  {
    mQueue.After(std::chrono::milliseconds(5),
                 [this, aWatch, callback = std::move(aCallback)] {
                   const auto it = mWatches.find(aWatch);
                   if (it != mWatches.end()) {
                     callback(StoreWatchHooks(it->second));
                   }
                 });
  }

  VirtualTimeQueue& mQueue;
  StoreRevision mRevision{ 0, 1 };
  bool mIgnoresEra = false;
  std::size_t mWatchCalls = 0;
  std::map<StoreWatch*, StoreWatchHooks> mWatches;
  StoreStatistics mStatistics;
};

/** Runs a stream scheduler in virtual time. */
class VirtualStreamPlacer : public StreamPlacer
{
public:
  VirtualStreamPlacer(VirtualTimeQueue& aQueue,
                      const Clock& aClock,
                      StreamScheduler& aScheduler)
    : mQueue(aQueue)
    , mClock(aClock)
    , mScheduler(aScheduler)
  {
  }
  ~VirtualStreamPlacer() override { *mIsAlive = false; }

  bool Admits(const StreamDemand& aDemand) override
  {
    return mScheduler.Admits(aDemand, mClock.Now());
  }
  void Submit(StreamDemand aDemand, DispatchedStream& aStream) override
  {
    mStreams[aDemand.mNumber] = &aStream;
    mScheduler.Submit(std::move(aDemand));
    Schedule(Duration::zero());
  }
  void Adopt(const StreamRun& aRun, DispatchedStream& aStream) override
  {
    mStreams[aRun.mNumber] = &aStream;
    mScheduler.Adopt(aRun);
  }
  void Withdraw(std::uint64_t aNumber) override
  {
    mScheduler.Withdraw(aNumber);
  }
  void Unregister(std::uint64_t aNumber) override { mStreams.erase(aNumber); }
  void OnPrefillEnded(std::uint64_t aNumber, Duration aDuration) override
  {
    mScheduler.OnPrefillEnded(aNumber, aDuration);
    Schedule(Duration::zero());
  }
  void OnDecodeStarted(std::uint64_t aNumber) override
  {
    mScheduler.OnDecodeStarted(aNumber, mClock.Now());
  }
  void OnDecodeEnded(std::uint64_t aNumber) override
  {
    mScheduler.OnDecodeEnded(aNumber, mClock.Now());
    Schedule(Duration::zero());
  }
  void OnRunAbandoned(std::uint64_t) override {}
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint) override
  {
    mScheduler.OnMoved(aNumber, aEndpoint);
  }
  void OnProgress(const std::string&,
                  std::uint64_t,
                  std::uint32_t,
                  Duration) override
  {
  }
  void OnReservationRefused(const std::string&, std::uint64_t) override {}
  void OnInterrupted(const CachedPrompt&) override {}
  std::size_t WaitingCount() const override
  {
    return mScheduler.WaitingCount();
  }

private:
  void Schedule(Duration aDelay)
  {
    mQueue.After(aDelay, [this, alive = mIsAlive] {
      if (*alive) {
        Dispatch();
      }
    });
  }
  void Dispatch()
  {
    const Instant now = mClock.Now();
    for (const auto number : mScheduler.RemoveExpired(now)) {
      if (mStreams.count(number) > 0) {
        mStreams.at(number)->HandlePlacement(nullptr);
      }
    }
    for (const auto& it : mScheduler.Dispatch(now)) {
      if (mStreams.count(it.mNumber) > 0) {
        mStreams.at(it.mNumber)->HandlePlacement(&it);
      }
    }
    if (const auto next = mScheduler.NextWake(now); next) {
      Schedule(*next - now);
    }
  }

  VirtualTimeQueue& mQueue;
  const Clock& mClock;
  StreamScheduler& mScheduler;
  std::map<std::uint64_t, DispatchedStream*> mStreams;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

class PlacementFleet;

/** One process of a daemon. */
class FleetDaemon
{
public:
  FleetDaemon(PlacementFleet& aFleet, std::size_t aIndex);
  ~FleetDaemon() { *mIsAlive = false; }

  void RequestPlain(std::uint64_t aNumber);
  /** aCachedKey: key of the prompt of an interrupted stream; 0: a new stream.
   */
  void RequestStream(std::uint64_t aNumber, std::uint64_t aCachedKey = 0);
  /** Requests and streams that are counted at endpoints. */
  std::size_t CountedWork() const;
  void WatchStore();

  PlacementFleet& mFleet;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  std::string mName;
  Random mRandom;
  EndpointDirectory mDirectory{ std::chrono::seconds(2) };
  EndpointLoads mLoads;
  StreamRuns mRuns;
  CachedPrompts mCachedPrompts{ mRuns };
  LocalPrefillTurns mTurns;
  EndpointHealth mHealth;
  SharedRetryBudget mRetryBudget;
  CrashGuard mGuard{ mRandom };
  WorkspaceQuotas mQuotas{ [] { return 1.0; } };
  DeferredRequests mDeferred;
  StreamOrigins mOrigins;
  PlainSelector mSelector;
  PlainQueue mPlainQueue;
  PlainPlacer mPlainPlacer;
  StreamScheduler mScheduler;
  VirtualStreamPlacer mStreamPlacer;
  RelayedStore mStore;
  StoreFeed mFeed;
  PlacementOwner mOwner;
  PlacementClient mClient;
  std::unique_ptr<StoreWatch> mWatch;
  bool mIsWatching = false;
  std::uint64_t mVersion = 0;
  std::uint64_t mNextNumber = 1'000'000;
  std::map<std::uint64_t, std::unique_ptr<DispatchedStream>> mStreams;

private:
  PlacementOwner::Hooks OwnerHooks();
  PlacementClient::Hooks ClientHooks();
  std::function<void(Instant)> Waker(std::function<void()> aCallback);
};

/** What the checks of a fleet found. */
struct FleetResult
{
  std::size_t mRequests = 0;
  /** Requests whose answer came later than allowed, or not at all. */
  std::size_t mHeld = 0;
  /** Requests that were answered twice. */
  std::size_t mAnsweredTwice = 0;
  /** Times at which an endpoint had more requests than allowed. */
  std::size_t mOverLimit = 0;
  /** Requests and streams that are counted after all have ended. */
  std::size_t mLostGrants = 0;
  /** Daemons that do not have the newest object at the end. */
  std::size_t mOutdated = 0;
  /** Objects that a daemon got after it had applied a newer version. */
  std::size_t mWentBack = 0;
  /** Watches on the store at the end. */
  std::size_t mWatches = 0;
  /** Plain requests that another daemon placed. */
  std::size_t mPlacedByOwner = 0;
};

/** A dozen and more daemons in virtual time, with a network between them that
 * loses and delays messages. */
class PlacementFleet
{
public:
  static constexpr std::size_t kDaemons = 16;
  static constexpr std::uint32_t kSlots = 3;

  PlacementFleet(std::uint64_t aSeed, FleetDefect aDefect);
  /** Runs requests for aSpan. aHasFaults: daemons are killed and paused, and
   * connections between them cut, in the first two thirds of that time. */
  FleetResult Run(Duration aSpan, bool aHasFaults);
  /** The store comes back from a copy as one of the faults, and once more after
   * them, with fewer writes after it than were lost. */
  void AddStoreReturns() { mHasStoreReturns = true; }

  /** Runs on without new requests. */
  void Continue(Duration aSpan);

  // Used by the daemons.
  PlacementLink LinkOf(std::size_t aDaemon);
  void After(Duration aDelay, std::function<void()> aEvent)
  {
    mQueue.After(aDelay, std::move(aEvent));
  }
  void BeginRun(const std::string& aEndpoint);
  void EndRun(const std::string& aEndpoint) { --mRunning[aEndpoint]; }
  std::vector<FleetMember> Members() const;
  std::vector<EndpointRecord> Endpoints() const;

  ManualClock mClock;
  VirtualTimeQueue mQueue{ mClock };
  Random mRandom;
  FleetDefect mDefect;
  /** Engine of the stream that was placed last. */
  std::string mLastDecode;
  VirtualStore mStore{ mQueue };
  std::vector<std::unique_ptr<FleetDaemon>> mDaemons;
  FleetResult mResult;
  /** Number of answers, by request. */
  std::map<std::uint64_t, std::size_t> mAnswers;

private:
  Duration Delay();
  bool IsCut(std::size_t aFrom, std::size_t aTo) const
  {
    return mCuts.count({ aFrom, aTo }) > 0;
  }
  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               wire::MessageKind::type aKind,
               const std::string& aPayload,
               const PlacementOwner::Responder& aResponder);
  void AddRequests();
  void AddFault();
  void ReturnStore();
  std::size_t IndexOf(const FleetMember& aMember) const;

  std::map<std::string, std::uint32_t> mRunning;
  std::set<std::pair<std::size_t, std::size_t>> mCuts;
  std::uint64_t mNextRequest = 1;
  bool mHasFaults = false;
  bool mHasStoreReturns = false;
  Instant mFaultsEnd;
  Instant mRequestsEnd;
};

} // namespace bulrushfold

#endif
