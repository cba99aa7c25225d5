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
SmallHeadOptions()
{
  BookingShardOptions options;
  options.mTableLimits.mMaxHeadBytes = 1000;
  options.mTableLimits.mMaxSegmentBytes = 3000;
  return options;
}

/** Executes aCount bookings and returns their keys. */
std::vector<std::string>
RunBookings(ShardDriver& aOwner, Random& aRandom, int aCount)
{
  std::vector<std::string> keys;
  for (int i = 0; i < aCount; ++i) {
    keys.push_back(MakeKey(aOwner.mClock, aRandom));
    const std::string request = "r" + std::to_string(i);
    aOwner.Begin(keys.back(), request);
    aOwner.AdvanceTime(2 * ShardDriver::kStep);
    aOwner.Result(keys.back(), request, true);
    aOwner.AdvanceTime(2 * ShardDriver::kStep);
  }
  return keys;
}
} // namespace

TEST_CASE("Records move from the head to segments")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(1);
  ShardDriver a("a", clock, store, SmallHeadOptions());
  a.Acquire();
  const auto keys = RunBookings(a, random, 60);
  REQUIRE(a.mShard.Table().SegmentCount() > 1);
  CHECK(a.mShard.Table().HeadBytes() < 2000);

  SUBCASE("a retry receives its answer from a segment, also from a new owner")
  {
    ShardDriver b("b", clock, store, SmallHeadOptions());
    b.Acquire();
    for (const auto& key : keys) {
      CHECK(a.Verdict(a.Begin(key, "retry")) == kDone);
    }
    for (const auto& key : keys) {
      CHECK(b.Verdict(b.Begin(key, "retry")) == kDone);
    }
  }
  // Guards against segment objects that stay in the store although no head
  // refers to them.
  SUBCASE("replaced segments are deleted")
  {
    a.Begin(MakeKey(clock, random), "last");
    a.AdvanceTime(kSecond);
    CHECK(store.ObjectCount() <= 2 + a.mShard.Table().SegmentCount());
  }
  SUBCASE("an unreadable segment gives unknown, not a second permit")
  {
    ShardDriver b("b", clock, store, SmallHeadOptions());
    b.Acquire();
    b.mMode = StoreMode::Unavailable;
    const auto token = b.Begin(keys.front(), "retry");
    b.AdvanceTime(2 * kSecond);
    CHECK(b.Verdict(token) == kUnknown);
  }
  SUBCASE("a segment with only expired records is deleted")
  {
    const auto before = store.ObjectCount();
    clock.Advance(std::chrono::hours(25));
    a.RunTimers();
    a.Acquire();
    a.AdvanceTime(kSecond);
    a.Begin(MakeKey(clock, random), "new");
    a.AdvanceTime(kSecond);
    a.Begin(MakeKey(clock, random), "new2");
    a.AdvanceTime(kSecond);
    CHECK(store.ObjectCount() < before);
    CHECK(a.mShard.Table().SegmentCount() == 0);
    CHECK(a.Verdict(a.Begin(keys.front(), "retry")) == kUnknown);
  }
}

// Guards against a head object over the store's limit of 1 MB: the store would
// reject every write of it, so that the shard could never commit again.
TEST_CASE("Large answers do not exceed the store's object limit")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(8);
  BookingShardOptions options;
  options.mBookings.mMaxAnswerBytes = 524288;
  ShardDriver a("a", clock, store, options);
  a.Acquire();
  a.AdvanceTime(kSecond);
  std::vector<std::string> keys;
  for (int i = 0; i < 6; ++i) {
    keys.push_back(MakeKey(clock, random));
    a.Begin(keys.back(), "r");
  }
  a.AdvanceTime(kSecond);
  // During the outage all results are queued for the same commit.
  a.mMode = StoreMode::Unavailable;
  std::vector<ReplyToken> results;
  results.reserve(keys.size());
  for (const auto& key : keys) {
    results.push_back(a.Result(key, "r", true, std::string(524288, 'x')));
  }
  a.AdvanceTime(kSecond);
  a.mMode = StoreMode::Available;
  a.AdvanceTime(3 * kSecond);
  for (const auto token : results) {
    CHECK(a.ResultVerdict(token) == kRecorded);
  }
  for (const auto& [key, object] : store.All()) {
    CHECK(object.mBody.size() <= kMaxObjectBytes);
  }
  ShardDriver b("b", clock, store, options);
  b.Acquire();
  for (const auto& key : keys) {
    const auto token = b.Begin(key, "retry");
    b.AdvanceTime(kSecond);
    CHECK(b.Verdict(token) == kDone);
  }
}

TEST_CASE("A late result replaces an intent in a segment")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(2);
  ShardDriver a("a", clock, store, SmallHeadOptions());
  a.Acquire();
  a.AdvanceTime(kSecond);
  const std::string key = MakeKey(clock, random);
  REQUIRE(a.Verdict(a.Begin(key, "first")) == kPermit);
  RunBookings(a, random, 30);
  ShardDriver b("b", clock, store, SmallHeadOptions());
  b.Acquire();
  const auto result = b.Result(key, "first", true);
  b.AdvanceTime(kSecond);
  CHECK(b.ResultVerdict(result) == kRecorded);
  RunBookings(b, random, 30);
  ShardDriver c("c", clock, store, SmallHeadOptions());
  c.Acquire();
  CHECK(c.Verdict(c.Begin(key, "retry")) == kDone);
}

// Guards against records that are lost while they move from the head to a
// segment: the owner dies after any number of store calls, and the last call
// may or may not take effect.
TEST_CASE("No record is lost when sealing is interrupted at any step")
{
  for (int steps = 0; steps < 90; ++steps) {
    for (const bool applied : { false, true }) {
      ManualClock clock;
      InMemoryStore store;
      Random random(3);
      ShardDriver a("a", clock, store, SmallHeadOptions());
      a.Acquire();
      std::vector<std::string> recorded = RunBookings(a, random, 6);
      a.mMode = StoreMode::DefersCalls;
      int calls = 0;
      for (int i = 0; calls < steps && i < 1000; ++i) {
        if (i % 4 == 0) {
          const std::string key = MakeKey(clock, random);
          a.Begin(key, "s" + std::to_string(i));
        }
        a.AdvanceTime(ShardDriver::kStep);
        for (; !a.mDeferredCalls.empty() && calls < steps; ++calls) {
          a.CompleteDeferredCall();
        }
      }
      if (applied && !a.mDeferredCalls.empty()) {
        a.CompleteDeferredCall(false);
      }
      ShardDriver b("b", clock, store, SmallHeadOptions());
      b.Acquire();
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

/** Generates events at two daemons that both act as owner of one shard. */
class TwoOwnersModel
{
public:
  TwoOwnersModel()
    : mRandom(7)
    , mOne("one", mClock, mStore, SmallHeadOptions())
    , mTwo("two", mClock, mStore, SmallHeadOptions())
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
        owner.Acquire();
        break;
      case 1:
        owner.mMode = static_cast<StoreMode>((aBits >> 16) % 4);
        break;
      case 2:
        if (!owner.mDeferredCalls.empty()) {
          owner.CompleteDeferredCall((aBits >> 16) % 2 == 0);
        }
        break;
      case 3:
        owner.AdvanceTime(std::chrono::milliseconds(10 * ((aBits >> 16) % 64)));
        break;
      case 4:
        mClock.Advance(std::chrono::milliseconds((aBits >> 16) % 4096));
        break;
      case 5:
        EndBooking(owner, key, (aBits >> 16) % 2 == 0);
        break;
      default:
        BeginBooking(owner, key, aBits >> 16);
    }
    CollectPermits(mOne, mOneSeenReplies);
    CollectPermits(mTwo, mTwoSeenReplies);
  }

  /** Requests by key that received a permit and did not release it. */
  std::map<std::string, std::set<std::string>> mPermitHolders;

private:
  static constexpr int kKeys = 5;

  void BeginBooking(ShardDriver& aOwner,
                    const std::string& aKey,
                    std::uint32_t aBits)
  {
    const std::string request = "q" + std::to_string(aBits % 4);
    if (mReleasedRequests.count(aKey + request) != 0) {
      return;
    }
    const auto token = aOwner.Begin(aKey, request, "body", aBits % 2000);
    mBegins[&aOwner][token] = { aKey, request };
  }

  void EndBooking(ShardDriver& aOwner, const std::string& aKey, bool aRan)
  {
    const auto it = mPermitHolders.find(aKey);
    if (it == mPermitHolders.end() || it->second.empty()) {
      return;
    }
    const std::string request = *it->second.begin();
    if (!aRan && mExecutedRequests.count(aKey + request) == 0) {
      it->second.erase(request);
      mReleasedRequests.insert(aKey + request);
      aOwner.Result(aKey, request, false);
    } else {
      mExecutedRequests.insert(aKey + request);
      aOwner.Result(aKey, request, true);
    }
  }

  void CollectPermits(ShardDriver& aOwner, std::set<ReplyToken>& aSeenReplies)
  {
    for (const auto& [token, reply] : aOwner.mReplies) {
      if (reply.verdict == wire::BookingVerdict::PERMIT &&
          aSeenReplies.insert(token).second) {
        const auto& [key, request] = mBegins[&aOwner][token];
        if (mReleasedRequests.count(key + request) == 0) {
          mPermitHolders[key].insert(request);
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
    mBegins;
  std::set<ReplyToken> mOneSeenReplies;
  std::set<ReplyToken> mTwoSeenReplies;
  std::set<std::string> mReleasedRequests;
  std::set<std::string> mExecutedRequests;
};

} // namespace

// Guards against two dispatches of one key, with random sequences of takeovers,
// outages, lost store replies, pauses, retries, results and releases.
TEST_CASE("At most one request of a key has a permit")
{
  CHECK(rc::check([] {
    TwoOwnersModel model;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      300, rc::gen::arbitrary<std::uint32_t>());
    for (const auto bits : steps) {
      model.Step(bits);
      for (const auto& [key, holders] : model.mPermitHolders) {
        RC_ASSERT(holders.size() <= 1U);
      }
    }
  }));
}

} // namespace bulrushfold
