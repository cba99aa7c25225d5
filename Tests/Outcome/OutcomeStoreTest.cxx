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
  OutcomeStore mEntryStore{ "d1", "i1", {}, mClock };
  OutcomeStore mPeerStore{ "d2", "i2", {}, mClock };

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
  /** Sends all unsent records of the entry daemon to the peer. */
  void Replicate()
  {
    while (const auto batch = mEntryStore.CollectBatch(100)) {
      const auto decoded = DecodeOutcomes(EncodeOutcomes(*batch));
      REQUIRE(decoded.ok());
      mPeerStore.Receive(*decoded);
    }
  }
  std::uint64_t CountAtPeer(Cause aCause)
  {
    const auto window = MakeReportWindow(MinuteOf(mClock.Wall()), 60);
    std::uint64_t sum = 0;
    const auto isLive = [](const auto&, const auto&) { return false; };
    for (const auto& part : mPeerStore.MakeReportParts(window, isLive)) {
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
  mEntryStore.Begin(begin);

  SUBCASE("a request in progress becomes lost")
  {
    Replicate();
    CHECK(mPeerStore.Explain(begin.mRequestId)->mBegin->mDaemon == "d1");
    mPeerStore.HandleDaemonDead("d1", "i1");
    const auto explanation = mPeerStore.Explain(begin.mRequestId);
    REQUIRE(explanation);
    REQUIRE(explanation->mEnd);
    CHECK(explanation->mEnd->mStatus == OutcomeStatus::Lost);
    CHECK(explanation->mEnd->mCause == Cause::DaemonDied);
    CHECK(explanation->mEnd->mDaemon == "d1");
    CHECK(CountAtPeer(Cause::DaemonDied) == 1);
    CHECK(mPeerStore.InProgressCount() == 0);
  }

  // Guards against requests that stay "in progress" forever because membership
  // declares the daemon dead by name, without its incarnation.
  SUBCASE("a request becomes lost when only the daemon's name is known")
  {
    Replicate();
    mPeerStore.HandleDaemonDead("d");
    mPeerStore.HandleDaemonDead("d11");
    CHECK(mPeerStore.Explain(begin.mRequestId)->mBegin);
    mPeerStore.HandleDaemonDead("d1");
    CHECK(mPeerStore.Explain(begin.mRequestId)->mEnd->mCause ==
          Cause::DaemonDied);
    CHECK(CountAtPeer(Cause::DaemonDied) == 1);
  }

  // Guards against reporting answered requests as lost.
  SUBCASE("a request whose end record arrived first does not become lost")
  {
    mEntryStore.End(MakeEnd(begin, Cause::ServedInTime));
    Replicate();
    mPeerStore.HandleDaemonDead("d1", "i1");
    CHECK(mPeerStore.Explain(begin.mRequestId)->mEnd->mCause ==
          Cause::ServedInTime);
    CHECK(CountAtPeer(Cause::DaemonDied) == 0);
  }
  SUBCASE("a begin record that arrives after the end record is ignored")
  {
    OutcomeRecords late{ "d1", "i1", { begin }, {} };
    mEntryStore.End(MakeEnd(begin, Cause::ServedInTime));
    Replicate();
    mPeerStore.Receive(late);
    mPeerStore.HandleDaemonDead("d1", "i1");
    CHECK(CountAtPeer(Cause::DaemonDied) == 0);
    CHECK(mPeerStore.InProgressCount() == 0);
  }
  SUBCASE("the death of another incarnation changes nothing")
  {
    Replicate();
    mPeerStore.HandleDaemonDead("d1", "i0");
    mPeerStore.HandleDaemonDead("d3", "i1");
    CHECK(mPeerStore.Explain(begin.mRequestId)->mBegin);
  }
  // Guards against wrong records after a partition between regions, in which
  // the peer declares the daemon dead although the daemon is alive.
  SUBCASE("a daemon that was only partitioned replaces the lost record")
  {
    Replicate();
    mPeerStore.HandleDaemonDead("d1", "i1");
    mEntryStore.End(MakeEnd(begin, Cause::SlowDecode));
    Replicate();
    CHECK(mPeerStore.Explain(begin.mRequestId)->mEnd->mCause ==
          Cause::SlowDecode);
    CHECK(CountAtPeer(Cause::DaemonDied) == 0);
    CHECK(CountAtPeer(Cause::SlowDecode) == 1);
    mPeerStore.HandleDaemonAlive("d1", "i1");
    const BeginRecord next = MakeBegin();
    mEntryStore.Begin(next);
    Replicate();
    CHECK(mPeerStore.Explain(next.mRequestId)->mBegin);
  }
  SUBCASE("a begin record that arrives after the death becomes lost")
  {
    mPeerStore.HandleDaemonDead("d1", "i1");
    Replicate();
    CHECK(mPeerStore.Explain(begin.mRequestId)->mEnd->mCause ==
          Cause::DaemonDied);
  }
}

TEST_CASE_FIXTURE(StoreFixture, "Batches of outcome records")
{
  const BeginRecord begin = MakeBegin();
  mEntryStore.Begin(begin);

  SUBCASE("a request that ended before the batch has no begin record in it")
  {
    mEntryStore.End(MakeEnd(begin, Cause::ServedInTime));
    const auto batch = mEntryStore.CollectBatch(100);
    REQUIRE(batch);
    CHECK(batch->mBegins.empty());
    CHECK(batch->mEnds.size() == 1);
    CHECK_FALSE(mEntryStore.CollectBatch(100));
  }
  SUBCASE("new replicas receive the requests in progress again")
  {
    CHECK(mEntryStore.CollectBatch(100)->mBegins.size() == 1);
    mEntryStore.RequeueInProgress();
    CHECK(mEntryStore.CollectBatch(100)->mBegins.size() == 1);
  }
  SUBCASE("a batch that arrives twice is counted once")
  {
    mEntryStore.End(MakeEnd(begin, Cause::SlowDecode));
    const auto batch = mEntryStore.CollectBatch(100);
    mPeerStore.Receive(*batch);
    mPeerStore.Receive(*batch);
    CHECK(CountAtPeer(Cause::SlowDecode) == 1);
  }
  SUBCASE("the size of a batch is limited")
  {
    for (int i = 0; i < 250; ++i) {
      mEntryStore.End(MakeEnd(MakeBegin(), Cause::ServedInTime));
    }
    std::size_t sum = 0;
    while (const auto batch = mEntryStore.CollectBatch(100)) {
      CHECK(batch->mEnds.size() + batch->mBegins.size() <= 100);
      sum += batch->mEnds.size() + batch->mBegins.size();
    }
    CHECK(sum == 251);
  }
}

TEST_CASE_FIXTURE(StoreFixture, "Limits of an outcome store")
{
  SUBCASE("records expire after the retention time")
  {
    const BeginRecord ended = MakeBegin();
    const BeginRecord inProgress = MakeBegin();
    mEntryStore.Begin(inProgress);
    mEntryStore.End(MakeEnd(ended, Cause::SlowDecode));
    mClock.Advance(std::chrono::minutes(59));
    mEntryStore.Trim();
    CHECK(mEntryStore.Explain(ended.mRequestId));
    mClock.Advance(std::chrono::minutes(2));
    mEntryStore.Trim();
    CHECK_FALSE(mEntryStore.Explain(ended.mRequestId));
    CHECK(mEntryStore.RecordCount() == 0);
    CHECK(mEntryStore.InProgressCount() == 0);
  }
  // Guards against removing the few records of requests that were not served in
  // time because of many records of served requests.
  SUBCASE("records of served requests are removed first at the limit")
  {
    OutcomeStore store("d1", "i1", { std::chrono::hours(1), 10 }, mClock);
    const BeginRecord late = MakeBegin();
    store.End(MakeEnd(late, Cause::SlowDecode));
    for (int i = 0; i < 100; ++i) {
      store.End(MakeEnd(MakeBegin(), Cause::ServedInTime));
      store.Begin(MakeBegin());
    }
    CHECK(store.RecordCount() == 10);
    CHECK(store.InProgressCount() == 10);
    CHECK(store.Explain(late.mRequestId));
    CHECK(store.Dropped() == 91 + 90);
  }
  SUBCASE("counts are stored longer than records, to compare two hours")
  {
    mEntryStore.End(MakeEnd(MakeBegin(), Cause::SlowDecode));
    mClock.Advance(std::chrono::minutes(90));
    mEntryStore.Trim();
    const auto window = MakeReportWindow(MinuteOf(mClock.Wall()), 60);
    const auto isLive = [](const auto&, const auto&) { return true; };
    const auto parts = mEntryStore.MakeReportParts(window, isLive);
    REQUIRE(parts.size() == 1);
    CHECK(parts[0].mIsOwn);
    CHECK(parts[0].mCurrent.empty());
    CHECK(parts[0].mPrevious.size() == 1);
    mClock.Advance(std::chrono::hours(3));
    mEntryStore.Trim();
    CHECK(mEntryStore.MakeReportParts(window, isLive).empty());
  }
}

// Guards against batches that arrive in another order or repeatedly and make a
// replica lose a record or count it twice.
TEST_CASE("Copies are correct for any order and repetition of batches")
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
      it.mEntryStore.Begin(begin);
      if (*rc::gen::arbitrary<bool>()) {
        batches.push_back(*it.mEntryStore.CollectBatch(100));
      }
      if (*rc::gen::arbitrary<bool>()) {
        it.mEntryStore.End(StoreFixture::MakeEnd(begin, Cause::SlowDecode));
        ++ended;
      }
    }
    while (const auto batch = it.mEntryStore.CollectBatch(3)) {
      batches.push_back(*batch);
    }
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, batches.size()));
    const auto deathAt = *rc::gen::inRange<std::size_t>(0, order.size() + 1);
    for (std::size_t i = 0; i < order.size(); ++i) {
      if (i == deathAt) {
        it.mPeerStore.HandleDaemonDead("d1", "i1");
      }
      it.mPeerStore.Receive(batches[order[i]]);
    }
    for (const auto& batch : batches) {
      it.mPeerStore.Receive(batch);
    }
    it.mPeerStore.HandleDaemonDead("d1", "i1");
    RC_ASSERT(it.CountAtPeer(Cause::SlowDecode) == ended);
    RC_ASSERT(it.CountAtPeer(Cause::DaemonDied) == ids.size() - ended);
    RC_ASSERT(it.mPeerStore.InProgressCount() == 0U);
    for (const auto& id : ids) {
      RC_ASSERT(it.mPeerStore.Explain(id)->mEnd.has_value());
    }
  }));
}

} // namespace bulrushfold
