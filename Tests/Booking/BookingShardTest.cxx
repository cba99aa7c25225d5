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
  a.Become();
  REQUIRE(a.mShard.Phase() == ShardPhase::Owner);
  const std::string key = MakeKey(clock, random);

  // Guards against a dispatch that the store knows nothing about.
  SUBCASE("no permit before the commit is confirmed")
  {
    a.mMode = StoreMode::Holds;
    a.Pass(kSecond / 10);
    const auto token = a.Begin(key, "r1");
    REQUIRE(a.mHeld.size() == 1);
    CHECK(a.Verdict(token) == 0);
    a.Release();
    CHECK(a.Verdict(token) == kPermit);
  }
  SUBCASE("a permit that was lost is given again, to its holder only")
  {
    a.Pass(kSecond / 10);
    const auto first = a.Begin(key, "r1");
    CHECK(a.Verdict(first) == kPermit);
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
    const auto other = a.Begin(key, "r2");
    a.Pass(kSecond / 2);
    CHECK(a.Verdict(other) == 0);
    a.Pass(kSecond);
    CHECK(a.Verdict(other) == kUnknown);
  }
  SUBCASE("a retry receives the recorded answer")
  {
    a.Pass(kSecond / 10);
    a.Begin(key, "r1");
    const auto waiting = a.Begin(key, "r2");
    const auto result = a.Result(key, "r1", true);
    a.Pass(kSecond / 10);
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
    a.Pass(kSecond / 10);
    a.Begin(key, "r1");
    CHECK(a.Verdict(a.Begin(key, "r2", "other")) == kDiffers);
  }
  SUBCASE("a released key can run under the next attempt")
  {
    a.Pass(kSecond / 10);
    a.Begin(key, "r1");
    const auto waiting = a.Begin(key, "r2");
    const auto release = a.Result(key, "r1", false);
    a.Pass(kSecond / 10);
    CHECK(a.ResultVerdict(release) == kRecorded);
    CHECK(a.Verdict(waiting) == kPermit);
    CHECK(a.mReplies[waiting].attempt == 2);
  }
  SUBCASE("malformed keys and keys of the future are refused")
  {
    CHECK(a.Verdict(a.Begin("w/x", "r1")) == kNotRun);
    const auto ahead = clock.Wall() + std::chrono::hours(1);
    const auto future = MakeRecordKey("w", MakeUuidV7(ahead, random));
    CHECK(a.Verdict(a.Begin(future, "r1")) == kNotRun);
  }
}

TEST_CASE("A lost store answer is resolved by reading back")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(2);
  ShardDriver a("a", clock, store);
  a.Become();
  a.Pass(kSecond / 10);
  const std::string key = MakeKey(clock, random);

  // Guards against refusing a call whose intent is stored, and against a
  // second batch under a version that the store has left.
  SUBCASE("the write took effect")
  {
    a.mMode = StoreMode::LosesWriteAnswers;
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
    a.mMode = StoreMode::Answers;
    a.Pass(kSecond / 10);
    CHECK(a.Verdict(a.Begin(MakeKey(clock, random), "r2")) == kPermit);
  }
  SUBCASE("the write is delayed and arrives after the read")
  {
    a.mMode = StoreMode::Holds;
    const auto token = a.Begin(key, "r1");
    const auto delayed = std::get<WriteObject>(a.mHeld.front());
    a.mHeld.clear();
    a.Run(a.mShard.OnWritten(delayed.mOperation, absl::UnknownError("")));
    a.Release(); // The read sees the object without the write.
    CHECK(a.Verdict(token) == 0);
    REQUIRE(store.Put(delayed.mKey, delayed.mBody, delayed.mExpected).ok());
    a.mMode = StoreMode::Answers;
    a.Pass(kSecond / 10);
    CHECK(a.Verdict(token) == kPermit);
    CHECK(a.mShard.Phase() == ShardPhase::Owner);
  }
  SUBCASE("another owner wrote in between")
  {
    ShardDriver b("b", clock, store);
    a.mMode = StoreMode::Down;
    const auto token = a.Begin(key, "r1");
    b.Become();
    a.mMode = StoreMode::Answers;
    a.Pass(kSecond);
    CHECK(a.Verdict(token) == kNotOwner);
    CHECK(a.mShard.Phase() == ShardPhase::NotOwner);
  }
}

TEST_CASE("A store outage refuses new bookings as not run")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(3);
  BookingShardOptions options;
  options.mBookings.mMaxPending = 3;
  ShardDriver a("a", clock, store, options);
  a.Become();
  a.Pass(kSecond / 10);
  a.mMode = StoreMode::Down;
  const std::string key = MakeKey(clock, random);
  const auto first = a.Begin(key, "r1");
  const std::string queued = MakeKey(clock, random);
  const auto second = a.Begin(queued, "r2");

  SUBCASE("at their deadline, also when the batch was already sent")
  {
    a.Pass(2 * kSecond);
    CHECK(a.Verdict(first) == kNotRun);
    CHECK(a.Verdict(second) == kNotRun);
    a.mMode = StoreMode::Answers;
    a.Pass(2 * kSecond);
    CHECK(a.mShard.Phase() == ShardPhase::Owner);
    // The intent of the first was withdrawn, so the caller can try again.
    CHECK(a.Verdict(a.Begin(key, "r3")) == kPermit);
    CHECK(a.mShard.Counters().mPermits == 1);
  }
  SUBCASE("when too many wait")
  {
    const auto third = a.Begin(MakeKey(clock, random), "r3");
    CHECK(a.Verdict(third) == 0);
    CHECK(a.Verdict(a.Begin(MakeKey(clock, random), "r4")) == kNotRun);
    CHECK(a.Verdict(a.Begin(key, "r5")) == kUnknown);
  }
  SUBCASE("through an hour")
  {
    a.Pass(std::chrono::hours(1));
    a.mMode = StoreMode::Answers;
    a.Pass(2 * kSecond);
    const auto token = a.Begin(MakeKey(clock, random), "r9");
    a.Pass(kSecond / 10);
    CHECK(a.Verdict(token) == kPermit);
  }
  // Guards against "not run" from a daemon that has never read the records.
  SUBCASE("but a daemon that could not load the shard says unknown")
  {
    ShardDriver b("b", clock, store);
    b.mMode = StoreMode::Down;
    b.Become();
    const auto token = b.Begin(MakeKey(clock, random), "r4");
    b.Pass(2 * kSecond);
    CHECK(b.Verdict(token) == kUnknown);
  }
}

TEST_CASE("Owners change")
{
  ManualClock clock;
  InMemoryStore store;
  Random random(4);
  ShardDriver a("a", clock, store);
  ShardDriver b("b", clock, store);
  a.Become();
  a.Pass(kSecond / 10);
  const std::string key = MakeKey(clock, random);

  SUBCASE("the next owner knows the intent and gives no second permit")
  {
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
    b.Become();
    const auto retry = b.Begin(key, "r2");
    b.Pass(2 * kSecond);
    CHECK(b.Verdict(retry) == kUnknown);
    SUBCASE("but the holder is permitted again and its result is recorded")
    {
      CHECK(b.Verdict(b.Begin(key, "r1")) == kPermit);
      const auto result = b.Result(key, "r1", true);
      b.Pass(kSecond / 10);
      CHECK(b.ResultVerdict(result) == kRecorded);
      CHECK(b.Verdict(b.Begin(key, "r2")) == kDone);
    }
  }
  SUBCASE("two owners that both believe: one commit wins")
  {
    b.Become();
    const auto one = a.Begin(key, "r1");
    const auto two = b.Begin(key, "r2");
    a.Pass(kSecond / 10);
    b.Pass(kSecond / 10);
    CHECK(a.Verdict(one) == kNotOwner);
    CHECK(b.Verdict(two) == kPermit);
  }
  // Guards against a paused owner that acts on what it believed before.
  SUBCASE("a clock gap ends ownership before anything else")
  {
    a.mMode = StoreMode::Holds;
    const auto token = a.Begin(key, "r1");
    clock.Advance(std::chrono::seconds(10));
    a.Turn();
    CHECK(a.Verdict(token) == kNotOwner);
    CHECK(a.mShard.Phase() == ShardPhase::NotOwner);
    CHECK(a.Verdict(a.Begin(key, "r1")) == kNotOwner);
    a.Release(); // The write that was under way takes effect late.
    a.mMode = StoreMode::Answers;
    a.Become();
    CHECK(a.Verdict(a.Begin(key, "r2")) == 0);
    CHECK(a.Verdict(a.Begin(key, "r1")) == kPermit);
  }
  SUBCASE("the last daemon is replaced")
  {
    a.Begin(key, "r1");
    a.Result(key, "r1", true);
    a.Pass(kSecond / 10);
    a.Resign();
    ShardDriver c("a2", clock, store);
    c.Become();
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
  a.Become();
  a.Pass(kSecond / 10);
  const std::string key = MakeKey(clock, random);
  REQUIRE(a.Verdict(a.Begin(key, "r1")) == kPermit);
  clock.Advance(std::chrono::minutes(2));
  a.Begin(MakeKey(clock, random), "r2");
  CHECK(a.mShard.Table().HeadRecords() == 1);

  // Guards against a second run of a key whose record was removed.
  SUBCASE("a trimmed key is never run again, whoever owns the shard")
  {
    CHECK(a.Verdict(a.Begin(key, "r3")) == kUnknown);
    CHECK(a.ResultVerdict(a.Result(key, "r1", true)) == kGone);
    ShardDriver b("b", clock, store, options);
    b.Become();
    CHECK(b.Verdict(b.Begin(key, "r4")) == kUnknown);
  }
}

} // namespace bulrushfold
