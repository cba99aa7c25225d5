#include "PlatformStore.h"

#include <optional>
#include <set>

#include <doctest/doctest.h>

#include "FakePlatformStore.h"
#include "Net/LoopFixture.h"
#include "Platform/ObjectWatcher.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
} // namespace

TEST_CASE("PlatformStore reads objects and writes them conditionally")
{
  EventLoop loop;
  HttpClient client(loop);
  FakePlatformStore fakeStore(loop);
  platform::PlatformStore store(loop, client, fakeStore.Address());
  const auto put = [&](const std::string& aBody,
                       std::optional<std::uint64_t> aExpected) {
    std::optional<absl::StatusOr<std::uint64_t>> result;
    store.Put("k/a b", aBody, aExpected, [&](auto aResult) {
      result = std::move(aResult);
    });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  };
  const auto get = [&](const std::string& aKey) {
    std::optional<absl::StatusOr<StoredObject>> result;
    store.Get(aKey, [&](auto aResult) { result = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  };

  CHECK(absl::IsNotFound(get("k/a b").status()));
  const auto created = put(R"({"x":1})", std::nullopt);
  REQUIRE(created.ok());
  CHECK(fakeStore.Spec("k/a b")["x"] == 1);
  CHECK(get("k/a b")->mVersion == *created);
  CHECK(get("k/a b")->mBody == R"({"x":1})");

  SUBCASE("creating an existing object and writing with a wrong version fail")
  {
    CHECK(absl::IsFailedPrecondition(put("{}", std::nullopt).status()));
    CHECK(absl::IsFailedPrecondition(put("{}", *created + 7).status()));
    const auto updated = put(R"({"x":2})", *created);
    REQUIRE(updated.ok());
    CHECK(*updated > *created);
  }
  SUBCASE("deleting with a version fails when the version differs")
  {
    const auto erase = [&](std::optional<std::uint64_t> aExpected) {
      std::optional<absl::Status> result;
      store.Delete("k/a b", aExpected, [&](const auto& aResult) {
        result = aResult.status();
      });
      REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
      return *result;
    };
    CHECK(absl::IsFailedPrecondition(erase(*created + 7)));
    CHECK(erase(*created).ok());
    CHECK(fakeStore.Spec("k/a b").is_null());
  }
  SUBCASE("a listing combines all pages")
  {
    for (int i = 0; i < 8; ++i) {
      fakeStore.Write("n/" + std::to_string(i), Json{ { "i", i } });
    }
    std::optional<absl::StatusOr<StoreListing>> listing;
    store.List("n/", [&](auto aResult) { listing = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return listing.has_value(); }));
    REQUIRE(listing->ok());
    CHECK((*listing)->mObjects.size() == 8);
    CHECK((*listing)->mObjects[7].mKey == "n/7");
  }
  // Guards against reporting an outage of the store as a missing object.
  SUBCASE("each kind of failure has its own status")
  {
    fakeStore.SetFault(StoreFault::Unavailable);
    CHECK(absl::IsUnavailable(get("k/a b").status()));
    fakeStore.SetFault(StoreFault::RateLimited);
    CHECK(absl::IsResourceExhausted(get("k/a b").status()));
    fakeStore.SetFault(StoreFault::Reset);
    CHECK(absl::IsUnknown(get("k/a b").status()));
    fakeStore.SetFault(StoreFault::UnansweredWrites);
    CHECK(absl::IsUnknown(put(R"({"x":3})", *created).status()));
    CHECK(fakeStore.Spec("k/a b")["x"] == 3);
  }
}

// Guards against a configuration that is not in force in time at the daemons
// that follow the watch of one whose connection to the store falls silent.
TEST_CASE("A silent store is noticed in half of the time of a change")
{
  EventLoop loop;
  HttpClient client(loop);
  FakePlatformStore fakeStore(loop);
  fakeStore.Write("k/1", Json::object());
  const auto waitOfWatch = [&](Duration aChangeTime) {
    fakeStore.mLastWatchWait.reset();
    platform::PlatformStore store(
      loop, client, fakeStore.Address(), aChangeTime);
    std::optional<std::uint64_t> revision;
    store.List("k/", [&](const absl::StatusOr<StoreListing>& aListing) {
      revision = aListing->mRevision;
    });
    REQUIRE(RunUntil(loop, [&] { return revision.has_value(); }));
    const auto watch = store.Watch("k/", *revision, {});
    REQUIRE(
      RunUntil(loop, [&] { return fakeStore.mLastWatchWait.has_value(); }));
    return *fakeStore.mLastWatchWait;
  };
  CHECK(waitOfWatch(std::chrono::seconds(2)) == std::chrono::seconds(1));
  CHECK(waitOfWatch(std::chrono::seconds(3)) ==
        std::chrono::milliseconds(1500));
  // This daemon must be up to date again 3 s after a fault in any case.
  CHECK(waitOfWatch(std::chrono::minutes(1)) < std::chrono::seconds(3));
}

TEST_CASE("ObjectWatcher reports the current objects")
{
  EventLoop loop;
  HttpClient client(loop);
  Random random(1);
  FakePlatformStore fakeStore(loop);
  platform::PlatformStore store(loop, client, fakeStore.Address());
  std::set<std::string> keys;
  int failures = 0;
  int recoveries = 0;
  ObjectWatcherHooks hooks;
  hooks.mOnListing = [&](const StoreListing& aListing) {
    keys.clear();
    for (const auto& it : aListing.mObjects) {
      keys.insert(it.mKey);
    }
  };
  hooks.mOnChange = [&](const StoredObject& aObject) {
    if (aObject.mIsDeleted) {
      keys.erase(aObject.mKey);
    } else {
      keys.insert(aObject.mKey);
    }
  };
  hooks.mOnStoreUnavailable = [&](const absl::Status&) { ++failures; };
  hooks.mOnStoreRecovered = [&] { ++recoveries; };
  bool hasReader = false;
  hooks.mHasReader = [&] { return hasReader; };
  ObjectWatcher watcher(loop, store, random, "k/", std::move(hooks));
  fakeStore.Write("k/1", Json::object());
  watcher.Start();
  const auto waitForKeys = [&](const std::set<std::string>& aKeys) {
    return RunUntil(loop, [&] { return keys == aKeys; });
  };
  REQUIRE(waitForKeys({ "k/1" }));
  REQUIRE(RunUntil(loop, [&] { return fakeStore.PendingWatches() == 1; }));

  SUBCASE("from the watch, without another listing")
  {
    fakeStore.Write("k/2", Json::object());
    fakeStore.Write("other/1", Json::object());
    CHECK(waitForKeys({ "k/1", "k/2" }));
    fakeStore.Remove("k/1");
    CHECK(waitForKeys({ "k/2" }));
    CHECK(failures == 0);
  }
  // Guards against one call for each change when all endpoints register at the
  // same time. The platform charges for each call.
  SUBCASE("with few calls when many objects change within a short time")
  {
    const std::size_t before = fakeStore.CountCalls("GET");
    std::set<std::string> all{ "k/1" };
    int next = 2;
    const auto writer = loop.Every(milliseconds(10), [&] {
      if (next < 32) {
        const std::string key = "k/" + std::to_string(next++);
        fakeStore.Write(key, Json::object());
        all.insert(key);
      }
    });
    REQUIRE(RunUntil(loop, [&] { return all.size() == 31 && keys == all; }));
    CHECK(fakeStore.CountCalls("GET") - before <= 4);
  }
  // Guards against losing changes that were made while no watch was open, when
  // the store's history no longer contains them.
  SUBCASE("after the store discarded its history of changes")
  {
    fakeStore.CloseWatches();
    fakeStore.Remove("k/1");
    fakeStore.Write("k/2", Json::object());
    fakeStore.DiscardHistory();
    CHECK(waitForKeys({ "k/2" }));
  }
  // Guards against hundreds of daemons that all call a store that fails.
  SUBCASE("with few calls in an outage, while another daemon reads the store")
  {
    hasReader = true;
    SUBCASE("as there is one") {}
    SUBCASE("and with more as there is none")
    {
      hasReader = false;
    }
    fakeStore.SetFault(StoreFault::Unavailable);
    REQUIRE(RunUntil(loop, [&] { return failures == 1; }));
    const std::size_t before = fakeStore.CountCalls("GET");
    bool isOver = false;
    const auto timer = loop.After(milliseconds(1500), [&] { isOver = true; });
    REQUIRE(RunUntil(loop, [&] { return isOver; }));
    CHECK((fakeStore.CountCalls("GET") - before > 2) == !hasReader);
  }
  SUBCASE("after any outage, which is reported once")
  {
    StoreFault fault = StoreFault::None;
    SUBCASE("503")
    {
      fault = StoreFault::Unavailable;
    }
    SUBCASE("429")
    {
      fault = StoreFault::RateLimited;
    }
    SUBCASE("reset")
    {
      fault = StoreFault::Reset;
    }
    SUBCASE("no answer")
    {
      fault = StoreFault::NoAnswer;
    }
    fakeStore.SetFault(fault);
    REQUIRE(RunUntil(loop, [&] { return failures == 1; }));
    fakeStore.Remove("k/1");
    fakeStore.Write("k/2", Json::object());
    bool isOver = false;
    const auto timer = loop.After(milliseconds(500), [&] { isOver = true; });
    REQUIRE(RunUntil(loop, [&] { return isOver; }));
    CHECK(keys == std::set<std::string>{ "k/1" });
    fakeStore.SetFault(StoreFault::None);
    CHECK(waitForKeys({ "k/2" }));
    CHECK(failures == 1);
    CHECK(recoveries == 1);
  }
}

} // namespace bulrushfold
