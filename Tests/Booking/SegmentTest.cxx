#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "ShardFixture.h"

namespace bulrushfold {

namespace {
constexpr int kPermit = wire::BookingVerdict::PERMIT;
constexpr int kDone = wire::BookingVerdict::DONE;
constexpr int kUnknown = wire::BookingVerdict::OUTCOME_UNKNOWN;
constexpr int kRecorded = wire::BookingResultVerdict::RECORDED;
constexpr Duration kSecond = std::chrono::seconds(1);

BookingShardOptions
SmallHead()
{
  BookingShardOptions options;
  options.mTable.mHeadBytes = 1000;
  options.mTable.mSegmentBytes = 3000;
  return options;
}

/** Lets aCount bookings run; returns their keys. */
std::vector<std::string>
RunBookings(ShardDriver& aOwner, Random& aRandom, int aCount)
{
  std::vector<std::string> keys;
  for (int i = 0; i < aCount; ++i) {
    keys.push_back(MakeKey(aOwner.mClock, aRandom));
    const std::string request = "r" + std::to_string(i);
    aOwner.Begin(keys.back(), request);
    aOwner.Pass(2 * ShardDriver::kStep);
    aOwner.Result(keys.back(), request, true);
    aOwner.Pass(2 * ShardDriver::kStep);
  }
  return keys;
}
} // namespace

TEST_CASE("Records leave the head for segments")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(1);
  ShardDriver a("a", clock, store, SmallHead());
  a.Become();
  const auto keys = RunBookings(a, random, 60);
  REQUIRE(a.mShard.Table().Segments() > 1);
  CHECK(a.mShard.Table().HeadBytes() < 2000);

  SUBCASE("a retry finds its answer in a segment, also at the next owner")
  {
    ShardDriver b("b", clock, store, SmallHead());
    b.Become();
    for (const auto& key : keys) {
      CHECK(a.Verdict(a.Begin(key, "retry")) == kDone);
    }
    for (const auto& key : keys) {
      CHECK(b.Verdict(b.Begin(key, "retry")) == kDone);
    }
  }
  // Guards against orphans: the store must not keep what no head refers to.
  SUBCASE("replaced segments are deleted")
  {
    a.Begin(MakeKey(clock, random), "last");
    a.Pass(kSecond);
    CHECK(store.Objects() <= 2 + a.mShard.Table().Segments());
  }
  SUBCASE("an unreadable segment means unknown, not a second run")
  {
    ShardDriver b("b", clock, store, SmallHead());
    b.Become();
    b.mMode = StoreMode::Down;
    const auto token = b.Begin(keys.front(), "retry");
    b.Pass(2 * kSecond);
    CHECK(b.Verdict(token) == kUnknown);
  }
  SUBCASE("whole segments are trimmed")
  {
    const auto before = store.Objects();
    clock.Advance(std::chrono::hours(25));
    a.Turn();
    a.Become();
    a.Pass(kSecond);
    a.Begin(MakeKey(clock, random), "new");
    a.Pass(kSecond);
    a.Begin(MakeKey(clock, random), "new2");
    a.Pass(kSecond);
    CHECK(store.Objects() < before);
    CHECK(a.mShard.Table().Segments() == 0);
    CHECK(a.Verdict(a.Begin(keys.front(), "retry")) == kUnknown);
  }
}

// Guards against a head over the store's limit of 1 MB, which would never be
// accepted and would block the shard for ever.
TEST_CASE("Large answers never make an object too large")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(8);
  BookingShardOptions options;
  options.mBookings.mMaxAnswerBytes = 524288;
  ShardDriver a("a", clock, store, options);
  a.Become();
  a.Pass(kSecond);
  std::vector<std::string> keys;
  for (int i = 0; i < 6; ++i) {
    keys.push_back(MakeKey(clock, random));
    a.Begin(keys.back(), "r");
  }
  a.Pass(kSecond);
  // All results wait for the same commit.
  a.mMode = StoreMode::Down;
  std::vector<ReplyToken> results;
  results.reserve(keys.size());
  for (const auto& key : keys) {
    results.push_back(a.Result(key, "r", true, std::string(524288, 'x')));
  }
  a.Pass(kSecond);
  a.mMode = StoreMode::Answers;
  a.Pass(3 * kSecond);
  for (const auto token : results) {
    CHECK(a.ResultVerdict(token) == kRecorded);
  }
  for (const auto& [key, object] : store.All()) {
    CHECK(object.mBody.size() <= kMaxObjectBytes);
  }
  ShardDriver b("b", clock, store, options);
  b.Become();
  for (const auto& key : keys) {
    const auto token = b.Begin(key, "retry");
    b.Pass(kSecond);
    CHECK(b.Verdict(token) == kDone);
  }
}

TEST_CASE("A late result changes a sealed intent")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(2);
  ShardDriver a("a", clock, store, SmallHead());
  a.Become();
  a.Pass(kSecond);
  const std::string key = MakeKey(clock, random);
  REQUIRE(a.Verdict(a.Begin(key, "first")) == kPermit);
  RunBookings(a, random, 30);
  ShardDriver b("b", clock, store, SmallHead());
  b.Become();
  const auto result = b.Result(key, "first", true);
  b.Pass(kSecond);
  CHECK(b.ResultVerdict(result) == kRecorded);
  RunBookings(b, random, 30);
  ShardDriver c("c", clock, store, SmallHead());
  c.Become();
  CHECK(c.Verdict(c.Begin(key, "retry")) == kDone);
}

// Guards against records lost between a segment and the head: the owner dies
// after any number of store calls, and the last call may or may not apply.
TEST_CASE("Sealing may be interrupted at each step")
{
  for (int steps = 0; steps < 90; ++steps) {
    for (const bool applied : { false, true }) {
      ManualClock clock;
      InMemoryStore store;
      Random random(3);
      ShardDriver a("a", clock, store, SmallHead());
      a.Become();
      std::vector<std::string> recorded = RunBookings(a, random, 6);
      a.mMode = StoreMode::Holds;
      int calls = 0;
      for (int i = 0; calls < steps && i < 1000; ++i) {
        if (i % 4 == 0) {
          const std::string key = MakeKey(clock, random);
          a.Begin(key, "s" + std::to_string(i));
        }
        a.Pass(ShardDriver::kStep);
        for (; !a.mHeld.empty() && calls < steps; ++calls) {
          a.Release();
        }
      }
      if (applied && !a.mHeld.empty()) {
        a.Release(false);
      }
      ShardDriver b("b", clock, store, SmallHead());
      b.Become();
      REQUIRE(b.mShard.Phase() == ShardPhase::Owner);
      for (const auto& key : recorded) {
        CHECK(b.Verdict(b.Begin(key, "retry")) == kDone);
      }
      RunBookings(b, random, 3);
      for (const auto& key : recorded) {
        CHECK(b.Verdict(b.Begin(key, "again")) == kDone);
      }
    }
  }
}

namespace {

/** Random events at two owners of one shard. */
class OwnersModel
{
public:
  OwnersModel()
    : mRandom(7)
    , mOne("one", mClock, mStore, SmallHead())
    , mTwo("two", mClock, mStore, SmallHead())
  {
    for (int i = 0; i < kKeys; ++i) {
      mKeys.push_back(MakeKey(mClock, mRandom));
    }
  }

  void Step(std::uint32_t aBits)
  {
    ShardDriver& owner = (aBits & 1) != 0 ? mOne : mTwo;
    const std::string& key = mKeys[(aBits >> 1) % kKeys];
    switch ((aBits >> 8) % 10) {
      case 0:
        owner.Become();
        break;
      case 1:
        owner.mMode = static_cast<StoreMode>((aBits >> 16) % 4);
        break;
      case 2:
        if (!owner.mHeld.empty()) {
          owner.Release((aBits >> 16) % 2 == 0);
        }
        break;
      case 3:
        owner.Pass(std::chrono::milliseconds(10 * ((aBits >> 16) % 64)));
        break;
      case 4:
        mClock.Advance(std::chrono::milliseconds((aBits >> 16) % 4096));
        break;
      case 5:
        End(owner, key, (aBits >> 16) % 2 == 0);
        break;
      default:
        Ask(owner, key, aBits >> 16);
    }
    Collect(mOne, mOneSeen);
    Collect(mTwo, mTwoSeen);
  }

  /** Requests that hold a permit and did not release it, by key. */
  std::map<std::string, std::set<std::string>> mReplicas;

private:
  static constexpr int kKeys = 5;

  void Ask(ShardDriver& aOwner, const std::string& aKey, std::uint32_t aBits)
  {
    const std::string request = "q" + std::to_string(aBits % 4);
    if (mReleased.count(aKey + request) != 0) {
      return;
    }
    const auto token = aOwner.Begin(aKey, request, "body", aBits % 2000);
    mAsked[&aOwner][token] = { aKey, request };
  }

  void End(ShardDriver& aOwner, const std::string& aKey, bool aRan)
  {
    const auto it = mReplicas.find(aKey);
    if (it == mReplicas.end() || it->second.empty()) {
      return;
    }
    const std::string request = *it->second.begin();
    if (!aRan && mRan.count(aKey + request) == 0) {
      it->second.erase(request);
      mReleased.insert(aKey + request);
      aOwner.Result(aKey, request, false);
    } else {
      mRan.insert(aKey + request);
      aOwner.Result(aKey, request, true);
    }
  }

  void Collect(ShardDriver& aOwner, std::set<ReplyToken>& aSeen)
  {
    for (const auto& [token, reply] : aOwner.mReplies) {
      if (reply.verdict == wire::BookingVerdict::PERMIT &&
          aSeen.insert(token).second) {
        const auto& [key, request] = mAsked[&aOwner][token];
        if (mReleased.count(key + request) == 0) {
          mReplicas[key].insert(request);
        }
      }
    }
  }

  ManualClock mClock;
  InMemoryStore mStore;
  Random mRandom;
  ShardDriver mOne;
  ShardDriver mTwo;
  std::vector<std::string> mKeys;
  std::map<ShardDriver*,
           std::map<ReplyToken, std::pair<std::string, std::string>>>
    mAsked;
  std::set<ReplyToken> mOneSeen;
  std::set<ReplyToken> mTwoSeen;
  std::set<std::string> mReleased;
  std::set<std::string> mRan;
};

} // namespace

// Guards against two dispatches of one key, in any order of takeovers, outages,
// lost answers, pauses, retries, results and releases.
TEST_CASE("At most one request of a key holds a permit")
{
  CHECK(rc::check([] {
    OwnersModel model;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      300, rc::gen::arbitrary<std::uint32_t>());
    for (const auto bits : steps) {
      model.Step(bits);
      for (const auto& [key, holders] : model.mReplicas) {
        RC_ASSERT(holders.size() <= 1U);
      }
    }
  }));
}

} // namespace bulrushfold
