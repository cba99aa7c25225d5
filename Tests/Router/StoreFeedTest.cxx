#include "Platform/StoreFeed.h"

#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
const std::string kPrefix = "servers/";
constexpr std::int64_t kFeed = 7;

std::vector<std::string>
Keys(const FeedUpdate& aUpdate)
{
  std::vector<std::string> keys;
  for (const auto& it : aUpdate.mChanges) {
    keys.push_back((it.mObject.mIsDeleted ? "-" : "") + it.mObject.mKey);
  }
  return keys;
}
} // namespace

// Guards against daemons that miss a change, or get all objects again with each
// one.
TEST_CASE("A feed tells each daemon what it has not seen")
{
  using Strings = std::vector<std::string>;
  StoreFeed feed(kFeed);
  feed.OnListing(kPrefix,
                 { { { "a", 3, "", false }, { "b", 5, "", false } }, 5 });
  FeedPosition position{ kPrefix, 0, 0, 0 };
  const auto read = [&] {
    const FeedUpdate update = feed.Since(position);
    position.mFeed = update.mFeed;
    position.mSequence = update.mSequence;
    return Keys(update);
  };

  SUBCASE("that knows nothing: all objects, once")
  {
    CHECK(feed.HasNews(position));
    CHECK(read() == Strings{ "a", "b" });
    CHECK_FALSE(feed.HasNews(position));
    CHECK(read().empty());
  }
  SUBCASE("that watched the store itself: the objects after its revision")
  {
    position.mRevision = 3;
    CHECK(read() == Strings{ "b" });
  }
  SUBCASE("that follows: the change alone")
  {
    read();
    feed.OnChange(kPrefix, { "a", 6, "", false });
    CHECK(feed.HasNews(position));
    CHECK(read() == Strings{ "a" });
  }
  SUBCASE("about an object that a new listing lacks: that it was deleted")
  {
    read();
    feed.OnListing(kPrefix, { { { "b", 5, "", false } }, 8 });
    CHECK(read() == Strings{ "-a" });

    SUBCASE("also a daemon that followed another feed until now")
    {
      position.mFeed = kFeed + 1;
      position.mRevision = 5;
      CHECK(read() == Strings{ "-a" });
    }
    SUBCASE("but not one that has seen the store after that")
    {
      position.mFeed = kFeed + 1;
      position.mRevision = 8;
      CHECK(read().empty());
    }
  }
  // Guards against an object that stays because it was deleted before the
  // present owner read the store and after the former one died.
  SUBCASE("whose state is older than the feed: all keys")
  {
    using Keys = std::set<std::string>;
    position.mFeed = kFeed + 1;
    position.mRevision = 4;
    CHECK(feed.Since(position).mKeys == Keys{ "a", "b" });
    position.mRevision = 5;
    CHECK_FALSE(feed.Since(position).mKeys);
  }
  // Guards against an object that is taken for unchanged, because the store
  // assigned its revision again after it came back from a copy.
  SUBCASE("about a store that came back: all objects, and what was deleted")
  {
    read();
    feed.OnListing(
      kPrefix,
      { { { "b", ToVersion({ 1, 5 }), "", false } }, ToVersion({ 1, 5 }) });
    CHECK(feed.Since(position).mVersion == ToVersion({ 1, 5 }));
    CHECK(read() == Strings{ "-a", "b" });

    SUBCASE("also a daemon that watched the store itself until then")
    {
      position.mFeed = 0;
      position.mRevision = 5;
      CHECK(read() == Strings{ "-a", "b" });
    }
  }
  SUBCASE("that it does not reach the store, instead of an old state")
  {
    read();
    feed.OnLost(kPrefix);
    CHECK(feed.HasNews(position));
    CHECK_FALSE(feed.IsCurrent());
    CHECK_FALSE(feed.Since(position).mIsCurrent);
    feed.OnWatched(kPrefix);
    CHECK(feed.Since(position).mIsCurrent);
  }
  SUBCASE("that a large object changed, without its body")
  {
    read();
    feed.OnChange(kPrefix, { "a", 6, std::string(20'000, 'x'), false });
    const FeedUpdate update = feed.Since(position);
    REQUIRE(update.mChanges.size() == 1);
    CHECK(update.mChanges[0].mIsLarge);
    CHECK(update.mChanges[0].mObject.mBody.empty());
  }
}

} // namespace bulrushfold
