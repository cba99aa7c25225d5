#include "Platform/RelayedStore.h"

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
const std::string kPrefix = "servers/";

/** A store whose calls the test answers. */
class ManualStore : public ObjectStore
{
public:
  void Get(const std::string&, GetHook aHook) override
  {
    mReads.push_back(std::move(aHook));
  }
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
    aHook(StoreListing{ { { "z", 4, "x", false } }, 4 });
  }
  std::unique_ptr<StoreWatch> Watch(const std::string&,
                                    std::uint64_t aRevision,
                                    StoreWatchHooks) override
  {
    mWatchedFrom = aRevision;
    return std::make_unique<CountedWatch>(mWatches);
  }
  const StoreStatistics& Statistics() const override { return mStatistics; }

  std::vector<GetHook> mReads;
  int mWatches = 0;
  std::uint64_t mWatchedFrom = 0;

private:
  struct CountedWatch : public StoreWatch
  {
    explicit CountedWatch(int& aCount)
      : mCount(aCount)
    {
      ++mCount;
    }
    ~CountedWatch() override { --mCount; }
    int& mCount;
  };

  StoreStatistics mStatistics;
};

FeedUpdate
MakeUpdate(std::uint64_t aSequence, std::vector<FeedChange> aChanges)
{
  return { kPrefix, true, 7, aSequence, std::move(aChanges), std::nullopt };
}
} // namespace

TEST_CASE("A watch on a relayed store")
{
  ManualStore store;
  RelayedStore relayed(store);
  std::vector<StoredObject> changes;
  int ends = 0;
  StoreWatchHooks hooks;
  hooks.mOnChange = [&](const StoredObject& aObject) {
    changes.push_back(aObject);
  };
  hooks.mOnEnd = [&](const absl::Status&, std::uint64_t) { ++ends; };
  int resumptions = 0;
  hooks.mOnResumed = [&] { ++resumptions; };
  relayed.List(kPrefix, [](const absl::StatusOr<StoreListing>&) {});
  const auto watch = relayed.Watch(kPrefix, 4, std::move(hooks));
  REQUIRE(store.mWatches == 1);
  CHECK_FALSE(relayed.IsFed());
  relayed.OnFeed(MakeUpdate(1, { { { "a", 6, "x", false }, false } }));
  REQUIRE(changes.size() == 1);

  // Guards against store calls of each daemon while one reads for all.
  SUBCASE("follows a feed without a watch of its own")
  {
    CHECK(relayed.IsFed());
    CHECK(store.mWatches == 0);
    CHECK(relayed.Positions()[0].mRevision == 6);
    CHECK(relayed.Positions()[0].mSequence == 1);
  }
  // Guards against changes that are lost when the feed ends.
  SUBCASE("continues at the store where the feed ended")
  {
    CHECK(relayed.OnFeedLost() == std::vector<std::string>{ kPrefix });
    CHECK_FALSE(relayed.IsFed());
    CHECK(store.mWatches == 1);
    CHECK(store.mWatchedFrom == 6);
    CHECK(ends == 0);
  }
  SUBCASE("waits for the next feed without a call to the store")
  {
    relayed.OnFeedChanging();
    CHECK(relayed.IsFed());
    CHECK(store.mWatches == 0);
    CHECK(relayed.Positions()[0].mFeed == 0);

    SUBCASE("and follows it")
    {
      relayed.OnFeed({ kPrefix, true, 8, 1, {}, std::nullopt });
      CHECK(relayed.StopWaiting().empty());
      CHECK(store.mWatches == 0);
    }
    SUBCASE("and learns what was deleted between the feeds")
    {
      FeedUpdate update = MakeUpdate(1, {});
      update.mKeys = { "a" };
      relayed.OnFeed(update);
      REQUIRE(changes.size() == 2);
      CHECK(changes[1].mKey == "z");
      CHECK(changes[1].mIsDeleted);
      relayed.OnFeed(update);
      CHECK(changes.size() == 2);
    }
    // Guards against endpoints that are dropped without the grace period,
    // because their deletion seems to be from before the store came back from a
    // copy.
    SUBCASE("with the version at which they were found deleted")
    {
      FeedUpdate update = MakeUpdate(1, {});
      update.mKeys.emplace();
      update.mVersion = ToVersion({ 2, 5 });
      relayed.OnFeed(update);
      REQUIRE(changes.size() == 3);
      CHECK(changes[1].mIsDeleted);
      CHECK(changes[1].mVersion == update.mVersion);
      CHECK(relayed.Positions()[0].mRevision == update.mVersion);
    }
    SUBCASE("also when its daemon does not know the store's state yet")
    {
      relayed.OnFeed({ kPrefix, false, 0, 0, {}, std::nullopt });
      CHECK(ends == 0);
      CHECK(relayed.IsFed());
    }
    SUBCASE("but not for long")
    {
      CHECK(relayed.StopWaiting() == std::vector<std::string>{ kPrefix });
      CHECK(store.mWatches == 1);
      CHECK(store.mWatchedFrom == 6);
    }
  }
  SUBCASE("ends when the daemon with the feed has lost the store")
  {
    FeedUpdate update = MakeUpdate(2, {});
    update.mIsCurrent = false;
    relayed.OnFeed(update);
    CHECK(ends == 1);
    CHECK_FALSE(relayed.IsFed());
    CHECK(store.mWatches == 0);

    // Guards against an owner that does not reach the store and tells the
    // others that its state is the present one.
    SUBCASE("and is not continued at the store without a listing")
    {
      CHECK(relayed.OnFeedLost().empty());
      CHECK(store.mWatches == 0);
    }
    // Guards against two calls of each daemon when the store has recovered.
    SUBCASE("and goes on when that daemon has it again")
    {
      relayed.OnFeed(MakeUpdate(3, { { { "b", 9, "x", false }, false } }));
      CHECK(resumptions == 1);
      CHECK(changes.size() == 2);
      CHECK(relayed.IsFed());
      relayed.OnFeed(update);
      CHECK(ends == 2);
    }
  }
  SUBCASE("reads a large object from the store")
  {
    relayed.OnFeed(MakeUpdate(2, { { { "b", 7, "", false }, true } }));
    REQUIRE(store.mReads.size() == 1);
    CHECK(changes.size() == 1);
    store.mReads[0](StoredObject{ "b", 7, "body", false });
    REQUIRE(changes.size() == 2);
    CHECK(changes[1].mBody == "body");
  }
  // Guards against an endpoint that is in use again after it was removed.
  SUBCASE("drops what it read before the object was deleted")
  {
    relayed.OnFeed(MakeUpdate(2, { { { "b", 7, "", false }, true } }));
    relayed.OnFeed(MakeUpdate(3, { { { "b", 8, "", true }, false } }));
    REQUIRE(store.mReads.size() == 1);
    store.mReads[0](StoredObject{ "b", 7, "body", false });
    REQUIRE(changes.size() == 2);
    CHECK(changes[1].mIsDeleted);
  }
  // Guards against an older state after a newer one.
  SUBCASE("drops an answer to an earlier read")
  {
    relayed.OnFeed(MakeUpdate(2, { { { "b", 7, "", false }, true } }));
    relayed.OnFeed(MakeUpdate(3, { { { "b", 8, "", false }, true } }));
    REQUIRE(store.mReads.size() == 2);
    store.mReads[1](StoredObject{ "b", 8, "new", false });
    store.mReads[0](StoredObject{ "b", 7, "old", false });
    REQUIRE(changes.size() == 2);
    CHECK(changes[1].mBody == "new");
  }
}

} // namespace bulrushfold
