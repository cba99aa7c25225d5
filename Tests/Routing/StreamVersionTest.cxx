#include "Routing/StreamScheduler.h"

#include <set>

#include <doctest/doctest.h>

#include "EnginePool.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Decode engines of two software versions; d1 has "v1", the others "v2". */
struct MixedPool : EnginePool
{
  MixedPool()
  {
    Put("d1", "v1");
    Put("d2", "v2");
    Put("d3", "v2");
  }
  void Put(const std::string& aId,
           const std::string& aSoftware,
           bool aIsDraining = false)
  {
    EndpointRecord record = Record(aId, EndpointRole::Decode, "x");
    record.mSoftware = aSoftware;
    record.mIsDraining = aIsDraining;
    mDirectory.Put(record, ++mRevision, mNow);
  }
  StreamDemand BegunAt(std::uint64_t aNumber,
                       const std::string& aSoftware) const
  {
    StreamDemand demand = Demand(aNumber, 1000, 100);
    demand.mGeneratedTokens = 10;
    demand.mWasInterrupted = true;
    demand.mSoftware = aSoftware;
    return demand;
  }

  std::uint64_t mRevision = 1;
};
} // namespace

// Guards against streams with events of two software versions.
TEST_CASE("Engines are chosen by the software version that began a stream")
{
  MixedPool pool;
  SUBCASE("a stream that has begun goes on at its version")
  {
    for (std::uint64_t i = 1; i <= 20; ++i) {
      pool.mScheduler.Submit(pool.BegunAt(i, "v1"));
      REQUIRE(pool.Place() == std::vector{ i });
      CHECK(pool.mPlacements[i].mDecode == "d1");
      pool.mScheduler.OnPrefillEnded(i, milliseconds(10));
      pool.mScheduler.OnDecodeEnded(i, pool.mNow);
      pool.mNow += seconds(1);
    }
  }
  SUBCASE("a prompt that an engine of another version caches is no reason")
  {
    StreamDemand demand = pool.BegunAt(1, "v1");
    demand.mPromptKey = 7;
    pool.mCachedPrompts.OnInterrupted({ 7, "d2", 1000, pool.mNow });
    pool.mScheduler.Submit(demand);
    REQUIRE(pool.Place() == std::vector{ std::uint64_t{ 1 } });
    CHECK(pool.mPlacements[1].mDecode == "d1");
  }
  SUBCASE("a new stream may begin at any version")
  {
    std::set<std::string> decodes;
    for (std::uint64_t i = 1; i <= 30; ++i) {
      pool.Submit(i, 1000, 100);
      REQUIRE(pool.Place() == std::vector{ i });
      decodes.insert(pool.mPlacements[i].mDecode);
      pool.mScheduler.OnPrefillEnded(i, milliseconds(10));
    }
    CHECK(decodes.size() == 3);
  }
  SUBCASE("without an engine of its version, a stream is refused at once")
  {
    pool.mScheduler.Submit(pool.BegunAt(1, "v0"));
    CHECK(pool.mScheduler.RemoveUnservable(pool.mNow) ==
          std::vector{ UnservableStream{ 1, Duration::zero() } });
  }
  SUBCASE("it waits for an engine of its version that asked for a pause")
  {
    pool.mDirectory.OnBackoffRequested("d1", 0, pool.mNow + milliseconds(500));
    pool.mScheduler.Submit(pool.BegunAt(1, "v1"));
    CHECK(pool.mScheduler.RemoveUnservable(pool.mNow).empty());
    CHECK(pool.Place().empty());
  }
  SUBCASE("a run at an engine that leaves moves to an engine of its version")
  {
    pool.Put("d4", "v1");
    pool.mScheduler.Submit(pool.Demand(1, 1000, 9000));
    pool.Place();
    pool.mScheduler.OnPrefillEnded(1, milliseconds(10));
    pool.mScheduler.OnDecodeStarted(1, pool.mNow);
    pool.mScheduler.OnMoved(1, "d1");
    pool.Put("d1", "v1", true);
    pool.mNow += seconds(1);
    SUBCASE("if there is one")
    {
      const auto moves = pool.mScheduler.Rebalance(pool.mNow);
      REQUIRE(moves.size() == 1);
      CHECK(moves[0].mTarget == "d4");
    }
    SUBCASE("and stays if there is none")
    {
      pool.Put("d4", "v2");
      CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
    }
  }
}

} // namespace bulrushfold
