#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "FakePlatformStore.h"
#include "Net/LoopFixture.h"
#include "Platform/ObjectWatcher.h"
#include "Platform/RelayedStore.h"
#include "Platform/StoreFeed.h"
#include "PlatformStore.h"
#include "Routing/OrderLease.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kPrefix = "config/";
const std::string kKey = "config/main";
constexpr Duration kFeedInterval = milliseconds(10);
/** config_apply_ms of the grown deployments. */
constexpr Duration kApplyLimit = seconds(3);

/** The daemon that reads the store for others. */
class Reader
{
public:
  Reader(EventLoop& aLoop, HttpClient& aClient, const SocketAddress& aAddress)
    : mStore(aLoop, aClient, aAddress)
    , mWatcher(aLoop, mStore, mRandom, kPrefix, Hooks())
  {
    mWatcher.Start();
  }
  const StoreFeed& Feed() const { return mFeed; }

private:
  ObjectWatcherHooks Hooks()
  {
    ObjectWatcherHooks hooks;
    hooks.mOnListing = [this](const StoreListing& aListing) {
      mFeed.OnListing(kPrefix, aListing);
    };
    hooks.mOnChange = [this](const StoredObject& aObject) {
      mFeed.OnChange(kPrefix, aObject);
    };
    hooks.mOnStoreUnavailable = [this](const absl::Status&) {
      mFeed.OnLost(kPrefix);
    };
    hooks.mOnStoreRecovered = [] {};
    return hooks;
  }

  Random mRandom{ 1 };
  StoreFeed mFeed{ 7 };
  platform::PlatformStore mStore;
  ObjectWatcher mWatcher;
};

/** A daemon that follows the feed of a Reader. */
class Follower
{
public:
  Follower(EventLoop& aLoop,
           HttpClient& aClient,
           const SocketAddress& aAddress,
           const StoreFeed& aFeed)
    : mFeed(aFeed)
    , mStore(aLoop, aClient, aAddress)
    , mWatcher(aLoop, mRelayed, mRandom, kPrefix, Hooks())
    , mTimer(aLoop.Every(kFeedInterval, [this] { ReadFeed(); }))
  {
    mWatcher.Start();
  }

  std::string mConfig;
  std::set<std::string> mKeys;

private:
  ObjectWatcherHooks Hooks()
  {
    ObjectWatcherHooks hooks;
    hooks.mOnListing = [this](const StoreListing& aListing) {
      mKeys.clear();
      for (const auto& it : aListing.mObjects) {
        HandleObject(it);
      }
    };
    hooks.mOnChange = [this](const StoredObject& aObject) {
      HandleObject(aObject);
    };
    hooks.mOnStoreUnavailable = [](const absl::Status&) {};
    hooks.mOnStoreRecovered = [] {};
    hooks.mHasReader = [] { return true; };
    return hooks;
  }
  void HandleObject(const StoredObject& aObject)
  {
    if (aObject.mIsDeleted) {
      mKeys.erase(aObject.mKey);
      return;
    }
    mKeys.insert(aObject.mKey);
    if (aObject.mKey == kKey) {
      mConfig = aObject.mBody;
    }
  }
  void ReadFeed()
  {
    for (const auto& it : mRelayed.Positions()) {
      if (mFeed.HasNews(it)) {
        mRelayed.OnFeed(mFeed.Since(it));
      }
    }
  }

  const StoreFeed& mFeed;
  Random mRandom{ 2 };
  platform::PlatformStore mStore;
  RelayedStore mRelayed{ mStore };
  ObjectWatcher mWatcher;
  EventHandle mTimer;
};

Json
MakeVersion(int aVersion)
{
  return { { "version", aVersion } };
}

/** Holder of a lease that has an order to send. */
class LeaseHolder
{
public:
  LeaseHolder(EventLoop& aLoop,
              HttpClient& aClient,
              const SocketAddress& aAddress,
              const std::string& aName,
              OrderTiming aTiming)
    : mStore(aLoop, aClient, aAddress)
    , mLease(aName, aTiming)
    , mTimer(aLoop.Every(kFeedInterval, [this] { Step(); }))
  {
  }
  bool CanSendOrder() { return mLease.CanSendOrder(mClock.Now()); }
  std::uint64_t FencingNumber() const { return mLease.FencingNumber(); }

private:
  void Step()
  {
    mLease.OnEra(mStore.Era(), mClock.Now());
    const LeaseStep step = mLease.Tick(true, false, mClock.Now());
    if (step.mNeedsRead) {
      mStore.Get("orders/e", [this](const auto& aObject) {
        mLease.OnEra(mStore.Era(), mClock.Now());
        mLease.OnRead(aObject, mClock.Now());
      });
    }
    if (step.mBodyToWrite) {
      mStore.Put("orders/e",
                 *step.mBodyToWrite,
                 step.mExpectedVersion,
                 [this, write = step.mWriteNumber](const auto& aVersion) {
                   mLease.OnEra(mStore.Era(), mClock.Now());
                   mLease.OnWritten(write, aVersion, mClock.Now());
                 });
    }
  }

  SystemClock mClock;
  platform::PlatformStore mStore;
  OrderLease mLease;
  EventHandle mTimer;
};
} // namespace

// Guards against a config that is lost to all daemons that follow the feed of
// another one, because its revision had been assigned before the store came
// back from a copy.
TEST_CASE("A config written after the store came back reaches followers")
{
  EventLoop loop;
  HttpClient client(loop);
  FakePlatformStore store(loop);
  store.Write(kKey, MakeVersion(2));
  Reader reader(loop, client, store.Address());
  Follower follower(loop, client, store.Address(), reader.Feed());
  const auto isInForce = [&](int aVersion, Duration aLimit) {
    return RunUntil(
      loop,
      [&] { return follower.mConfig == MakeVersion(aVersion).dump(); },
      aLimit);
  };
  REQUIRE(isInForce(2, kApplyLimit));
  const StoreContent copy = store.Copy();
  store.Write(kKey, MakeVersion(5));
  store.Write(kKey, MakeVersion(6));
  store.Write("config/lost", Json::object());
  REQUIRE(isInForce(6, kApplyLimit));

  SUBCASE("after an absence")
  {
    store.SetFault(StoreFault::Unavailable);
    RunFor(loop, milliseconds(1500));
  }
  SUBCASE("at once") {}
  store.SetFault(StoreFault::None);
  store.ReturnFrom(copy);
  store.Write(kKey, MakeVersion(6));
  store.Write(kKey, MakeVersion(9));
  CHECK(isInForce(9, kApplyLimit));
  CHECK(follower.mKeys == std::set<std::string>{ kKey });

  SUBCASE("also after the store has passed the former revision")
  {
    for (int i = 10; i < 20; ++i) {
      store.Write(kKey, MakeVersion(i));
    }
    CHECK(isInForce(19, kApplyLimit));
  }
  SUBCASE("also after a second return")
  {
    store.ReturnFrom(copy);
    store.Write(kKey, MakeVersion(21));
    CHECK(isInForce(21, kApplyLimit));
  }
}

// Guards against a write that replaces the work of another daemon, because its
// object has the expected revision again after the store came back.
TEST_CASE("A revision from before the store came back is no condition")
{
  EventLoop loop;
  HttpClient client(loop);
  FakePlatformStore fakeStore(loop);
  platform::PlatformStore store(loop, client, fakeStore.Address());
  const auto put = [&](std::optional<std::uint64_t> aExpected) {
    std::optional<absl::StatusOr<std::uint64_t>> result;
    store.Put("k/x", R"("late")", aExpected, [&](auto aResult) {
      result = std::move(aResult);
    });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  };
  const auto get = [&] {
    std::optional<absl::StatusOr<StoredObject>> result;
    store.Get("k/x", [&](auto aResult) { result = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  };
  const StoreContent copy = fakeStore.Copy();
  const auto created = put(std::nullopt);
  REQUIRE(created.ok());
  fakeStore.ReturnFrom(copy);
  fakeStore.Write("k/x", "other");

  SUBCASE("of a write after the return is known")
  {
    const auto object = get();
    REQUIRE(object.ok());
    CHECK(object->mVersion > *created);
    CHECK(absl::IsFailedPrecondition(put(*created).status()));
    CHECK(fakeStore.Spec("k/x") == "other");
    CHECK(put(object->mVersion).ok());
  }
  SUBCASE("of a write that is the first call after the return")
  {
    // The store can't tell the revisions apart, so that it was written.
    CHECK(absl::IsUnknown(put(*created).status()));
    CHECK(store.Era() == 2);
  }
  SUBCASE("of a deletion")
  {
    REQUIRE(get().ok());
    std::optional<absl::Status> result;
    store.Delete(
      "k/x", *created, [&](const auto& aResult) { result = aResult.status(); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    CHECK(absl::IsFailedPrecondition(*result));
    CHECK(fakeStore.Spec("k/x") == "other");
  }
  SUBCASE("of a watch: the objects are listed again")
  {
    std::optional<absl::Status> end;
    int changes = 0;
    StoreWatchHooks hooks;
    hooks.mOnChange = [&](const StoredObject&) { ++changes; };
    hooks.mOnEnd = [&](const absl::Status& aStatus, std::uint64_t) {
      end = aStatus;
    };
    SUBCASE("as the first call after the return") {}
    SUBCASE("when the return is known")
    {
      REQUIRE(get().ok());
    }
    const auto watch = store.Watch("k/", *created - 1, std::move(hooks));
    REQUIRE(RunUntil(loop, [&] { return end.has_value(); }));
    CHECK(absl::IsOutOfRange(*end));
    CHECK(changes == 0);
  }
  SUBCASE("and one of an era that another daemon heard of first is none yet")
  {
    CHECK(store.Era() == 1);
    StoreWatchHooks hooks;
    hooks.mOnChange = [](const StoredObject&) {};
    hooks.mOnEnd = [](const absl::Status&, std::uint64_t) {};
    const auto watch = store.Watch("k/", ToVersion({ 2, 1 }), std::move(hooks));
    CHECK(store.Era() == 2);
    CHECK(absl::IsFailedPrecondition(put(*created).status()));
  }
}

// Guards against a daemon that stops reading a store whose era is unreadable.
TEST_CASE("A store whose era can't be used is read like one of the known era")
{
  EventLoop loop;
  HttpClient client(loop);
  FakePlatformStore fakeStore(loop);
  fakeStore.SetEra("5");
  platform::PlatformStore store(loop, client, fakeStore.Address());
  fakeStore.Write("k/x", 1);
  const auto version = [&] {
    std::optional<absl::StatusOr<StoredObject>> result;
    store.Get("k/x", [&](auto aResult) { result = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    REQUIRE(result->ok());
    return (*result)->mVersion;
  };
  const std::uint64_t before = version();
  CHECK(EraOf(before) == 5);
  const std::vector<std::optional<std::string>> texts{
    std::nullopt, "", "six", "-1", "4", "0", "1e3", "99999999999999999999"
  };
  for (const auto& it : texts) {
    CAPTURE(it.value_or("none"));
    fakeStore.SetEra(it);
    CHECK(version() == before);
    CHECK(store.Era() == 5);
  }
}

// Guards against a fencing number that is lower than one of a lease that the
// store lost when it came back from a copy.
TEST_CASE("Fencing numbers rise when the store comes back from a copy")
{
  OrderTiming timing;
  timing.mLease = milliseconds(400);
  timing.mClockGapLimit = milliseconds(50);
  timing.mOrderTimeout = milliseconds(50);
  timing.mRetryInterval = milliseconds(50);
  EventLoop loop;
  HttpClient client(loop);
  FakePlatformStore store(loop);
  const StoreContent copy = store.Copy();
  std::uint64_t highest = 0;
  const auto order = [&](const std::string& aName) {
    LeaseHolder holder(loop, client, store.Address(), aName, timing);
    REQUIRE(RunUntil(loop, [&] { return holder.CanSendOrder(); }));
    CHECK(holder.FencingNumber() > highest);
    highest = std::max(highest, holder.FencingNumber());
  };
  for (int i = 0; i < 20; ++i) {
    store.Write("other/x", i);
  }
  order("a");

  SUBCASE("at the next holder")
  {
    store.ReturnFrom(copy);
    order("b");
    store.ReturnFrom(copy);
    order("c");
  }
  SUBCASE("at the holder itself")
  {
    LeaseHolder holder(loop, client, store.Address(), "b", timing);
    REQUIRE(RunUntil(loop, [&] { return holder.CanSendOrder(); }));
    const std::uint64_t before = holder.FencingNumber();
    store.ReturnFrom(copy);
    REQUIRE(RunUntil(loop, [&] { return holder.FencingNumber() != before; }));
    CHECK(holder.FencingNumber() > before);
  }
}

} // namespace bulrushfold
