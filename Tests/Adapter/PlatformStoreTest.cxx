#include "PlatformStore.h"

#include <set>

#include <doctest/doctest.h>

#include "Net/LoopFixture.h"
#include "Platform/ObjectWatcher.h"
#include "StandInStore.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
} // namespace

TEST_CASE("The store's objects are read and written under conditions")
{
  EventLoop loop;
  HttpClient client(loop);
  StandInStore standIn(loop);
  platform::PlatformStore store(loop, client, standIn.Address());
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
  CHECK(standIn.Spec("k/a b")["x"] == 1);
  CHECK(get("k/a b")->mVersion == *created);
  CHECK(get("k/a b")->mBody == R"({"x":1})");

  SUBCASE("a second creation and an old version are refused")
  {
    CHECK(absl::IsFailedPrecondition(put("{}", std::nullopt).status()));
    CHECK(absl::IsFailedPrecondition(put("{}", *created + 7).status()));
    const auto updated = put(R"({"x":2})", *created);
    REQUIRE(updated.ok());
    CHECK(*updated > *created);
  }
  SUBCASE("a deletion may name the version")
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
    CHECK(standIn.Spec("k/a b").is_null());
  }
  SUBCASE("a list goes over several pages")
  {
    for (int i = 0; i < 8; ++i) {
      standIn.Write("n/" + std::to_string(i), Json{ { "i", i } });
    }
    std::optional<absl::StatusOr<StoreListing>> listing;
    store.List("n/", [&](auto aResult) { listing = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return listing.has_value(); }));
    REQUIRE(listing->ok());
    CHECK((*listing)->mObjects.size() == 8);
    CHECK((*listing)->mObjects[7].mKey == "n/7");
  }
  // Guards against an outage that is taken for an absent object.
  SUBCASE("each failure has its own status")
  {
    standIn.SetFault(StoreFault::Busy);
    CHECK(absl::IsUnavailable(get("k/a b").status()));
    standIn.SetFault(StoreFault::Limited);
    CHECK(absl::IsResourceExhausted(get("k/a b").status()));
    standIn.SetFault(StoreFault::Reset);
    CHECK(absl::IsUnknown(get("k/a b").status()));
    standIn.SetFault(StoreFault::LosesAnswers);
    CHECK(absl::IsUnknown(put(R"({"x":3})", *created).status()));
    CHECK(standIn.Spec("k/a b")["x"] == 3);
  }
}

TEST_CASE("A follower keeps up with the store")
{
  EventLoop loop;
  HttpClient client(loop);
  Random random(1);
  StandInStore standIn(loop);
  platform::PlatformStore store(loop, client, standIn.Address());
  std::set<std::string> known;
  int lost = 0;
  int back = 0;
  ObjectWatcherHooks hooks;
  hooks.mOnListing = [&](const StoreListing& aListing) {
    known.clear();
    for (const auto& it : aListing.mObjects) {
      known.insert(it.mKey);
    }
  };
  hooks.mOnChange = [&](const StoredObject& aObject) {
    if (aObject.mIsDeleted) {
      known.erase(aObject.mKey);
    } else {
      known.insert(aObject.mKey);
    }
  };
  hooks.mOnStoreUnavailable = [&](const absl::Status&) { ++lost; };
  hooks.mOnStoreRecovered = [&] { ++back; };
  ObjectWatcher watcher(loop, store, random, "k/", std::move(hooks));
  standIn.Write("k/1", Json::object());
  watcher.Start();
  const auto knows = [&](const std::set<std::string>& aKeys) {
    return RunUntil(loop, [&] { return known == aKeys; });
  };
  REQUIRE(knows({ "k/1" }));
  REQUIRE(RunUntil(loop, [&] { return standIn.WaitingWatches() == 1; }));

  SUBCASE("by its watch, without asking again")
  {
    standIn.Write("k/2", Json::object());
    standIn.Write("other/1", Json::object());
    CHECK(knows({ "k/1", "k/2" }));
    standIn.Remove("k/1");
    CHECK(knows({ "k/2" }));
    CHECK(lost == 0);
  }
  // Guards against a priced call for each entry when all runners start.
  SUBCASE("with few calls when many change at once")
  {
    const std::size_t before = standIn.Calls("GET");
    std::set<std::string> all{ "k/1" };
    int next = 2;
    const auto writer = loop.Every(milliseconds(10), [&] {
      if (next < 32) {
        const std::string key = "k/" + std::to_string(next++);
        standIn.Write(key, Json::object());
        all.insert(key);
      }
    });
    REQUIRE(RunUntil(loop, [&] { return all.size() == 31 && known == all; }));
    CHECK(standIn.Calls("GET") - before <= 4);
  }
  // Watches hear nothing while changes are made, then the history is gone.
  SUBCASE("after the history was dropped")
  {
    standIn.CutWatches();
    standIn.Remove("k/1");
    standIn.Write("k/2", Json::object());
    standIn.ForgetHistory();
    CHECK(knows({ "k/2" }));
  }
  SUBCASE("after any outage, of which it tells once")
  {
    StoreFault fault = StoreFault::None;
    SUBCASE("503")
    {
      fault = StoreFault::Busy;
    }
    SUBCASE("429")
    {
      fault = StoreFault::Limited;
    }
    SUBCASE("reset")
    {
      fault = StoreFault::Reset;
    }
    SUBCASE("silence")
    {
      fault = StoreFault::Silent;
    }
    standIn.SetFault(fault);
    REQUIRE(RunUntil(loop, [&] { return lost == 1; }));
    standIn.Remove("k/1");
    standIn.Write("k/2", Json::object());
    bool due = false;
    const auto timer = loop.After(milliseconds(500), [&] { due = true; });
    REQUIRE(RunUntil(loop, [&] { return due; }));
    CHECK(known == std::set<std::string>{ "k/1" });
    standIn.SetFault(StoreFault::None);
    CHECK(knows({ "k/2" }));
    CHECK(lost == 1);
    CHECK(back == 1);
  }
}

} // namespace bulrushfold
