#include "Outcome/OutcomeStore.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "OutcomeFixture.h"

namespace bulrushfold {

namespace {

struct StoreFixture
{
  ManualClock mClock;
  Random mRandom{ 9 };
  OutcomeStore mEntry{ "d1", "i1", {}, mClock };
  OutcomeStore mPeer{ "d2", "i2", {}, mClock };

  BeginRecord MakeBegin()
  {
    BeginRecord begin;
    begin.mRequestId = MakeRequestId(mClock.Wall(), mRandom, "d1");
    begin.mWorkspace = "w1";
    begin.mTarget = "m1";
    begin.mStart = mClock.Wall();
    return begin;
  }
  static OutcomeRecord MakeEnd(const BeginRecord& aBegin, Cause aCause)
  {
    OutcomeRecord record;
    record.mRequestId = aBegin.mRequestId;
    record.mTraceId = TraceIdOf(aBegin.mRequestId);
    record.mWorkspace = aBegin.mWorkspace;
    record.mTarget = aBegin.mTarget;
    record.mStart = aBegin.mStart;
    record.mTotal = Ms(100);
    record.mAttempts = 1;
    record.mCause = aCause;
    record.mStatus = InfoOf(aCause).mUsualStatus;
    record.mHop = InfoOf(aCause).mUsualHop;
    return record;
  }
  /** Copies everything that the entry daemon has not sent yet. */
  void Replicate()
  {
    while (const auto batch = mEntry.CollectBatch(100)) {
      const auto decoded = DecodeOutcomes(EncodeOutcomes(*batch));
      REQUIRE(decoded.ok());
      mPeer.Receive(*decoded);
    }
  }
  std::uint64_t CountAtPeer(Cause aCause)
  {
    const auto window = MakeReportWindow(MinuteOf(mClock.Wall()), 60);
    std::uint64_t sum = 0;
    const auto dead = [](const auto&, const auto&) { return false; };
    for (const auto& part : mPeer.MakeReportParts(window, dead)) {
      for (const auto& [key, count] : part.mCurrent) {
        sum += key.mCause == aCause ? count : 0;
      }
    }
    return sum;
  }
};

} // namespace

TEST_CASE_FIXTURE(StoreFixture, "Outcome records of a daemon that dies")
{
  const BeginRecord begin = MakeBegin();
  mEntry.Begin(begin);

  SUBCASE("an open request becomes lost")
  {
    Replicate();
    CHECK(mPeer.Explain(begin.mRequestId)->mBegin->mDaemon == "d1");
    mPeer.HandleDaemonDead("d1", "i1");
    const auto known = mPeer.Explain(begin.mRequestId);
    REQUIRE(known);
    REQUIRE(known->mEnd);
    CHECK(known->mEnd->mStatus == OutcomeStatus::Lost);
    CHECK(known->mEnd->mCause == Cause::DaemonDied);
    CHECK(known->mEnd->mDaemon == "d1");
    CHECK(CountAtPeer(Cause::DaemonDied) == 1);
    CHECK(mPeer.OpenCount() == 0);
  }

  // Guards against open requests that stay "in progress" for ever because
  // membership learnt of the daemon before it knew the incarnation.
  SUBCASE("an open request becomes lost when only the daemon's name is known")
  {
    Replicate();
    mPeer.HandleDaemonDead("d");
    mPeer.HandleDaemonDead("d11");
    CHECK(mPeer.Explain(begin.mRequestId)->mBegin);
    mPeer.HandleDaemonDead("d1");
    CHECK(mPeer.Explain(begin.mRequestId)->mEnd->mCause == Cause::DaemonDied);
    CHECK(CountAtPeer(Cause::DaemonDied) == 1);
  }

  // Guards against reporting requests as lost that were answered.
  SUBCASE("a request whose end record came first does not")
  {
    mEntry.End(MakeEnd(begin, Cause::ServedInTime));
    Replicate();
    mPeer.HandleDaemonDead("d1", "i1");
    CHECK(mPeer.Explain(begin.mRequestId)->mEnd->mCause == Cause::ServedInTime);
    CHECK(CountAtPeer(Cause::DaemonDied) == 0);
  }
  SUBCASE("a begin record that arrives after the end record is ignored")
  {
    OutcomeRecords late{ "d1", "i1", { begin }, {} };
    mEntry.End(MakeEnd(begin, Cause::ServedInTime));
    Replicate();
    mPeer.Receive(late);
    mPeer.HandleDaemonDead("d1", "i1");
    CHECK(CountAtPeer(Cause::DaemonDied) == 0);
    CHECK(mPeer.OpenCount() == 0);
  }
  SUBCASE("the death of another incarnation changes nothing")
  {
    Replicate();
    mPeer.HandleDaemonDead("d1", "i0");
    mPeer.HandleDaemonDead("d3", "i1");
    CHECK(mPeer.Explain(begin.mRequestId)->mBegin);
  }
  // Guards against a cut between regions that leaves false records behind.
  SUBCASE("a daemon that was only cut off corrects the record")
  {
    Replicate();
    mPeer.HandleDaemonDead("d1", "i1");
    mEntry.End(MakeEnd(begin, Cause::SlowDecode));
    Replicate();
    CHECK(mPeer.Explain(begin.mRequestId)->mEnd->mCause == Cause::SlowDecode);
    CHECK(CountAtPeer(Cause::DaemonDied) == 0);
    CHECK(CountAtPeer(Cause::SlowDecode) == 1);
    mPeer.HandleDaemonAlive("d1", "i1");
    const BeginRecord next = MakeBegin();
    mEntry.Begin(next);
    Replicate();
    CHECK(mPeer.Explain(next.mRequestId)->mBegin);
  }
  SUBCASE("a begin record that arrives after the death becomes lost")
  {
    mPeer.HandleDaemonDead("d1", "i1");
    Replicate();
    CHECK(mPeer.Explain(begin.mRequestId)->mEnd->mCause == Cause::DaemonDied);
  }
}

TEST_CASE_FIXTURE(StoreFixture, "Batches of outcome records")
{
  const BeginRecord begin = MakeBegin();
  mEntry.Begin(begin);

  SUBCASE("a request that ended before the batch has no begin record in it")
  {
    mEntry.End(MakeEnd(begin, Cause::ServedInTime));
    const auto batch = mEntry.CollectBatch(100);
    REQUIRE(batch);
    CHECK(batch->mBegins.empty());
    CHECK(batch->mEnds.size() == 1);
    CHECK_FALSE(mEntry.CollectBatch(100));
  }
  SUBCASE("new holders receive the open requests again")
  {
    CHECK(mEntry.CollectBatch(100)->mBegins.size() == 1);
    mEntry.RequeueInProgress();
    CHECK(mEntry.CollectBatch(100)->mBegins.size() == 1);
  }
  SUBCASE("a batch that arrives twice counts once")
  {
    mEntry.End(MakeEnd(begin, Cause::SlowDecode));
    const auto batch = mEntry.CollectBatch(100);
    mPeer.Receive(*batch);
    mPeer.Receive(*batch);
    CHECK(CountAtPeer(Cause::SlowDecode) == 1);
  }
  SUBCASE("a batch is bounded")
  {
    for (int i = 0; i < 250; ++i) {
      mEntry.End(MakeEnd(MakeBegin(), Cause::ServedInTime));
    }
    std::size_t sum = 0;
    while (const auto batch = mEntry.CollectBatch(100)) {
      CHECK(batch->mEnds.size() + batch->mBegins.size() <= 100);
      sum += batch->mEnds.size() + batch->mBegins.size();
    }
    CHECK(sum == 251);
  }
}

TEST_CASE_FIXTURE(StoreFixture, "Bounds of an outcome store")
{
  SUBCASE("records leave after the retention time")
  {
    const BeginRecord ended = MakeBegin();
    const BeginRecord open = MakeBegin();
    mEntry.Begin(open);
    mEntry.End(MakeEnd(ended, Cause::SlowDecode));
    mClock.Advance(std::chrono::minutes(59));
    mEntry.Trim();
    CHECK(mEntry.Explain(ended.mRequestId));
    mClock.Advance(std::chrono::minutes(2));
    mEntry.Trim();
    CHECK_FALSE(mEntry.Explain(ended.mRequestId));
    CHECK(mEntry.RecordCount() == 0);
    CHECK(mEntry.OpenCount() == 0);
  }
  // Guards against losing the few records that matter in a flood of others.
  SUBCASE("served records leave first when there are too many")
  {
    OutcomeStore store("d1", "i1", { std::chrono::hours(1), 10 }, mClock);
    const BeginRecord late = MakeBegin();
    store.End(MakeEnd(late, Cause::SlowDecode));
    for (int i = 0; i < 100; ++i) {
      store.End(MakeEnd(MakeBegin(), Cause::ServedInTime));
      store.Begin(MakeBegin());
    }
    CHECK(store.RecordCount() == 10);
    CHECK(store.OpenCount() == 10);
    CHECK(store.Explain(late.mRequestId));
    CHECK(store.Dropped() == 91 + 90);
  }
  SUBCASE("counts outlast the records, for the comparison of two hours")
  {
    mEntry.End(MakeEnd(MakeBegin(), Cause::SlowDecode));
    mClock.Advance(std::chrono::minutes(90));
    mEntry.Trim();
    const auto window = MakeReportWindow(MinuteOf(mClock.Wall()), 60);
    const auto live = [](const auto&, const auto&) { return true; };
    const auto parts = mEntry.MakeReportParts(window, live);
    REQUIRE(parts.size() == 1);
    CHECK(parts[0].mIsOwn);
    CHECK(parts[0].mCurrent.empty());
    CHECK(parts[0].mBefore.size() == 1);
    mClock.Advance(std::chrono::hours(3));
    mEntry.Trim();
    CHECK(mEntry.MakeReportParts(window, live).empty());
  }
}

// Guards against any order of deliveries that loses a record or counts it
// twice.
TEST_CASE("Copies agree for any order and repetition of batches")
{
  CHECK(rc::check([] {
    StoreFixture it;
    const auto n = *rc::gen::inRange(1, 12);
    std::vector<OutcomeRecords> batches;
    std::size_t ended = 0;
    std::vector<std::string> ids;
    for (int i = 0; i < n; ++i) {
      const BeginRecord begin = it.MakeBegin();
      ids.push_back(begin.mRequestId);
      it.mEntry.Begin(begin);
      if (*rc::gen::arbitrary<bool>()) {
        batches.push_back(*it.mEntry.CollectBatch(100));
      }
      if (*rc::gen::arbitrary<bool>()) {
        it.mEntry.End(StoreFixture::MakeEnd(begin, Cause::SlowDecode));
        ++ended;
      }
    }
    while (const auto batch = it.mEntry.CollectBatch(3)) {
      batches.push_back(*batch);
    }
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, batches.size()));
    const auto deathAt = *rc::gen::inRange<std::size_t>(0, order.size() + 1);
    for (std::size_t i = 0; i < order.size(); ++i) {
      if (i == deathAt) {
        it.mPeer.HandleDaemonDead("d1", "i1");
      }
      it.mPeer.Receive(batches[order[i]]);
    }
    for (const auto& batch : batches) {
      it.mPeer.Receive(batch);
    }
    it.mPeer.HandleDaemonDead("d1", "i1");
    RC_ASSERT(it.CountAtPeer(Cause::SlowDecode) == ended);
    RC_ASSERT(it.CountAtPeer(Cause::DaemonDied) == ids.size() - ended);
    RC_ASSERT(it.mPeer.OpenCount() == 0U);
    for (const auto& id : ids) {
      RC_ASSERT(it.mPeer.Explain(id)->mEnd.has_value());
    }
  }));
}

} // namespace bulrushfold
