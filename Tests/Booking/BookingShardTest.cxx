#include "Booking/BookingShard.h"

#include <doctest/doctest.h>

#include "ShardFixture.h"

namespace bulrushfold {

namespace {
constexpr int kPermit = wire::BookingVerdict::PERMIT;
constexpr int kDone = wire::BookingVerdict::DONE;
constexpr int kNotRun = wire::BookingVerdict::NOT_RUN;
constexpr int kUnknown = wire::BookingVerdict::OUTCOME_UNKNOWN;
constexpr int kDiffers = wire::BookingVerdict::BODY_DIFFERS;
constexpr int kNotOwner = wire::BookingVerdict::NOT_OWNER;
constexpr int kRecorded = wire::BookingResultVerdict::RECORDED;
constexpr int kGone = wire::BookingResultVerdict::GONE;
constexpr Duration kSecond = std::chrono::seconds(1);
} // namespace

TEST_CASE("A shard owner grants one permit for a key")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(1);
  ShardDriver a("a", clock, store);
  a.Acquire();
  REQUIRE(a.mShard.Phase() == ShardPhase::Owner);
  const std::string key = MakeKey(clock, random);

  // Guards against a dispatch whose intent is not in the store.
  SUBCASE("no permit is granted before the commit is confirmed")
  {
    a.mMode = StoreMode::DefersCalls;
    a.AdvanceTime(kSecond / 10);
    const auto token = a.Begin(key, "r1");
    REQUIRE(a.mDeferredCalls.size() == 1);
    CHECK(a.Verdict(token) == 0);
    a.CompleteDeferredCall();
    CHECK(a.Verdict(token) == kPermit);
  }
  SUBCASE("a lost permit is granted again, to its holder only")
  {
    a.AdvanceTime(kSecond / 10);
    const auto first = a.Begin(key, "r1");
    CHECK(a.Verdict(first) == kPermit);
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
    const auto other = a.Begin(key, "r2");
    a.AdvanceTime(kSecond / 2);
    CHECK(a.Verdict(other) == 0);
    a.AdvanceTime(kSecond);
    CHECK(a.Verdict(other) == kUnknown);
  }
  SUBCASE("a retry receives the recorded answer")
  {
    a.AdvanceTime(kSecond / 10);
    a.Begin(key, "r1");
    const auto waiting = a.Begin(key, "r2");
    const auto result = a.Result(key, "r1", true);
    a.AdvanceTime(kSecond / 10);
    CHECK(a.ResultVerdict(result) == kRecorded);
    CHECK(a.Verdict(waiting) == kDone);
    const auto later = a.Begin(key, "r3");
    CHECK(a.Verdict(later) == kDone);
    CHECK(a.mReplies[later].answer.body == "answer");
    // A result that is sent again is confirmed again.
    CHECK(a.ResultVerdict(a.Result(key, "r1", true)) == kRecorded);
  }
  SUBCASE("a retry with another body is refused")
  {
    a.AdvanceTime(kSecond / 10);
    a.Begin(key, "r1");
    CHECK(a.Verdict(a.Begin(key, "r2", "other")) == kDiffers);
  }
  SUBCASE("a released key can be executed by the next attempt")
  {
    a.AdvanceTime(kSecond / 10);
    a.Begin(key, "r1");
    const auto waiting = a.Begin(key, "r2");
    const auto release = a.Result(key, "r1", false);
    a.AdvanceTime(kSecond / 10);
    CHECK(a.ResultVerdict(release) == kRecorded);
    CHECK(a.Verdict(waiting) == kPermit);
    CHECK(a.mReplies[waiting].attempt == 2);
  }
  SUBCASE("malformed keys and keys with a future time are refused")
  {
    CHECK(a.Verdict(a.Begin("w/x", "r1")) == kNotRun);
    const auto ahead = clock.Wall() + std::chrono::hours(1);
    const auto future = MakeRecordKey("w", MakeUuidV7(ahead, random));
    CHECK(a.Verdict(a.Begin(future, "r1")) == kNotRun);
  }
}

TEST_CASE("After a lost store reply the object is read back")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(2);
  ShardDriver a("a", clock, store);
  a.Acquire();
  a.AdvanceTime(kSecond / 10);
  const std::string key = MakeKey(clock, random);

  // Guards against refusing a call whose intent is stored, and against writing
  // the next batch with an outdated expected version.
  SUBCASE("the write took effect")
  {
    a.mMode = StoreMode::LosesWriteReplies;
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
    a.mMode = StoreMode::Available;
    a.AdvanceTime(kSecond / 10);
    CHECK(a.Verdict(a.Begin(MakeKey(clock, random), "r2")) == kPermit);
  }
  SUBCASE("the write is delayed and arrives after the read")
  {
    a.mMode = StoreMode::DefersCalls;
    const auto token = a.Begin(key, "r1");
    const auto delayed = std::get<WriteObject>(a.mDeferredCalls.front());
    a.mDeferredCalls.clear();
    a.Run(a.mShard.OnWritten(delayed.mOperation, absl::UnknownError("")));
    a.CompleteDeferredCall(); // The read returns the object before the write.
    CHECK(a.Verdict(token) == 0);
    REQUIRE(store.Put(delayed.mKey, delayed.mBody, delayed.mExpected).ok());
    a.mMode = StoreMode::Available;
    a.AdvanceTime(kSecond / 10);
    CHECK(a.Verdict(token) == kPermit);
    CHECK(a.mShard.Phase() == ShardPhase::Owner);
  }
  SUBCASE("another owner wrote the object in the meantime")
  {
    ShardDriver b("b", clock, store);
    a.mMode = StoreMode::Unavailable;
    const auto token = a.Begin(key, "r1");
    b.Acquire();
    a.mMode = StoreMode::Available;
    a.AdvanceTime(kSecond);
    CHECK(a.Verdict(token) == kNotOwner);
    CHECK(a.mShard.Phase() == ShardPhase::NotOwner);
  }
}

TEST_CASE("During a store outage new bookings are refused as not run")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(3);
  BookingShardOptions options;
  options.mBookings.mMaxPending = 3;
  ShardDriver a("a", clock, store, options);
  a.Acquire();
  a.AdvanceTime(kSecond / 10);
  a.mMode = StoreMode::Unavailable;
  const std::string key = MakeKey(clock, random);
  const auto first = a.Begin(key, "r1");
  const std::string queued = MakeKey(clock, random);
  const auto second = a.Begin(queued, "r2");

  SUBCASE("at their deadline, also if the batch was already sent")
  {
    a.AdvanceTime(2 * kSecond);
    CHECK(a.Verdict(first) == kNotRun);
    CHECK(a.Verdict(second) == kNotRun);
    a.mMode = StoreMode::Available;
    a.AdvanceTime(2 * kSecond);
    CHECK(a.mShard.Phase() == ShardPhase::Owner);
    // The intent of the first request was withdrawn, so a retry is permitted.
    CHECK(a.Verdict(a.Begin(key, "r3")) == kPermit);
    CHECK(a.mShard.Counters().mPermits == 1);
  }
  SUBCASE("when the limit of waiting requests is reached")
  {
    const auto third = a.Begin(MakeKey(clock, random), "r3");
    CHECK(a.Verdict(third) == 0);
    CHECK(a.Verdict(a.Begin(MakeKey(clock, random), "r4")) == kNotRun);
    CHECK(a.Verdict(a.Begin(key, "r5")) == kUnknown);
  }
  SUBCASE("bookings are permitted again after an outage of an hour")
  {
    a.AdvanceTime(std::chrono::hours(1));
    a.mMode = StoreMode::Available;
    a.AdvanceTime(2 * kSecond);
    const auto token = a.Begin(MakeKey(clock, random), "r9");
    a.AdvanceTime(kSecond / 10);
    CHECK(a.Verdict(token) == kPermit);
  }
  // Guards against "not run" from a daemon that has not read the records and so
  // can't exclude that the key was used.
  SUBCASE("a daemon that could not load the shard replies unknown")
  {
    ShardDriver b("b", clock, store);
    b.mMode = StoreMode::Unavailable;
    b.Acquire();
    const auto token = b.Begin(MakeKey(clock, random), "r4");
    b.AdvanceTime(2 * kSecond);
    CHECK(b.Verdict(token) == kUnknown);
  }
}

TEST_CASE("A key gets no second permit when the shard's owner changes")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(4);
  ShardDriver a("a", clock, store);
  ShardDriver b("b", clock, store);
  a.Acquire();
  a.AdvanceTime(kSecond / 10);
  const std::string key = MakeKey(clock, random);

  SUBCASE("the next owner reads the intent and grants no second permit")
  {
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
    b.Acquire();
    const auto retry = b.Begin(key, "r2");
    b.AdvanceTime(2 * kSecond);
    CHECK(b.Verdict(retry) == kUnknown);
    SUBCASE("the holder gets its permit again and its result is recorded")
    {
      CHECK(b.Verdict(b.Begin(key, "r1")) == kPermit);
      const auto result = b.Result(key, "r1", true);
      b.AdvanceTime(kSecond / 10);
      CHECK(b.ResultVerdict(result) == kRecorded);
      CHECK(b.Verdict(b.Begin(key, "r2")) == kDone);
    }
  }
  SUBCASE("of two daemons that act as owner, one commits")
  {
    b.Acquire();
    const auto one = a.Begin(key, "r1");
    const auto two = b.Begin(key, "r2");
    a.AdvanceTime(kSecond / 10);
    b.AdvanceTime(kSecond / 10);
    CHECK(a.Verdict(one) == kNotOwner);
    CHECK(b.Verdict(two) == kPermit);
  }
  // Guards against an owner that continues with outdated state after a pause.
  SUBCASE("a clock gap ends ownership before any other action")
  {
    a.mMode = StoreMode::DefersCalls;
    const auto token = a.Begin(key, "r1");
    clock.Advance(std::chrono::seconds(10));
    a.RunTimers();
    CHECK(a.Verdict(token) == kNotOwner);
    CHECK(a.mShard.Phase() == ShardPhase::NotOwner);
    CHECK(a.Verdict(a.Begin(key, "r1")) == kNotOwner);
    a.CompleteDeferredCall(); // The delayed write takes effect now.
    a.mMode = StoreMode::Available;
    a.Acquire();
    CHECK(a.Verdict(a.Begin(key, "r2")) == 0);
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
  }
  SUBCASE("a new daemon replaces the only one and reads its records")
  {
    a.Begin(key, "r1");
    a.Result(key, "r1", true);
    a.AdvanceTime(kSecond / 10);
    a.Resign();
    ShardDriver c("a2", clock, store);
    c.Acquire();
    CHECK(c.Verdict(c.Begin(key, "r2")) == kDone);
  }
}

TEST_CASE("Old records are trimmed by key time")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(5);
  BookingShardOptions options;
  options.mBookings.mRetention = std::chrono::minutes(1);
  options.mClockGapLimit = std::chrono::hours(1);
  ShardDriver a("a", clock, store, options);
  a.Acquire();
  a.AdvanceTime(kSecond / 10);
  const std::string key = MakeKey(clock, random);
  REQUIRE(a.Verdict(a.Begin(key, "r1")) == kPermit);
  clock.Advance(std::chrono::minutes(2));
  a.Begin(MakeKey(clock, random), "r2");
  CHECK(a.mShard.Table().HeadRecordCount() == 1);

  // Guards against a second execution of a key whose record was removed.
  SUBCASE("a trimmed key is not permitted again, also by the next owner")
  {
    CHECK(a.Verdict(a.Begin(key, "r3")) == kUnknown);
    CHECK(a.ResultVerdict(a.Result(key, "r1", true)) == kGone);
    ShardDriver b("b", clock, store, options);
    b.Acquire();
    CHECK(b.Verdict(b.Begin(key, "r4")) == kUnknown);
  }
}

} // namespace bulrushfold
