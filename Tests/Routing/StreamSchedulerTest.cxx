#include "Routing/StreamScheduler.h"
#include "Routing/RoleBalance.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMemory = 100'000;

/** A scheduler with two prefill and two decode engines. */
struct Pool
{
  Pool()
  {
    Add("p1", EndpointRole::Prefill, "x");
    Add("p2", EndpointRole::Prefill, "y");
    Add("d1", EndpointRole::Decode, "x");
    Add("d2", EndpointRole::Decode, "y");
  }

  EndpointRecord Record(const std::string& aId,
                        EndpointRole aRole,
                        const std::string& aDomain) const
  {
    EndpointRecord record;
    record.mId = aId;
    record.mService = "s";
    record.mRole = aRole;
    record.mSlots = 64;
    record.mFailureDomain = aDomain;
    return record;
  }
  void Add(const std::string& aId, EndpointRole aRole, const std::string& aIn)
  {
    mDirectory.Put(Record(aId, aRole, aIn), 1, mNow);
  }
  StreamDemand Demand(std::uint64_t aNumber,
                      std::uint64_t aPrompt,
                      std::uint64_t aAnswer,
                      Duration aGoal = milliseconds(900)) const
  {
    StreamDemand demand;
    demand.mNumber = aNumber;
    demand.mService = "s";
    demand.mProfile.mMemoryTokens = kMemory;
    demand.mProfile.mSlots = 64;
    demand.mPromptTokens = aPrompt;
    demand.mAnswerTokens = aAnswer;
    demand.mMostTokens = 10'000;
    demand.mDue = mNow + aGoal;
    demand.mGiveUp = mNow + seconds(3);
    return demand;
  }
  void Submit(std::uint64_t aNumber,
              std::uint64_t aPrompt,
              std::uint64_t aAnswer,
              Duration aGoal = milliseconds(900))
  {
    mScheduler.Submit(Demand(aNumber, aPrompt, aAnswer, aGoal));
  }
  std::vector<std::uint64_t> Place()
  {
    std::vector<std::uint64_t> numbers;
    for (const auto& it : mScheduler.Dispatch(mNow)) {
      numbers.push_back(it.mNumber);
      mPlacements[it.mNumber] = it;
    }
    return numbers;
  }
  /** Places a stream and lets its engine begin. */
  void Run(std::uint64_t aNumber, std::uint64_t aPrompt, std::uint64_t aAnswer)
  {
    Submit(aNumber, aPrompt, aAnswer);
    REQUIRE(Place() == std::vector{ aNumber });
    mScheduler.OnPrefillEnded(aNumber, milliseconds(100));
    mScheduler.OnDecodeStarted(aNumber, mNow);
  }

  Instant mNow{ seconds(1000) };
  Random mRandom{ 1 };
  EndpointDirectory mDirectory{ seconds(2) };
  EndpointLoads mLoads;
  StreamRuns mRuns;
  KeptPrompts mKept{ mRuns };
  ReadTurns mTurns{ mLoads, "daemon" };
  EndpointHealth mHealth{ mRandom };
  StreamScheduler mScheduler{ mDirectory, mLoads,  mRuns,
                              mKept,      mTurns,  mHealth,
                              "x",        mRandom, Instant(seconds(0)) };
  std::map<std::uint64_t, StreamPlacement> mPlacements;
};

} // namespace

TEST_CASE("A stream starts when both kinds of engines have room")
{
  Pool pool;

  SUBCASE("it gets one engine of each kind, and both count it")
  {
    pool.Submit(1, 5000, 2000);
    REQUIRE(pool.Place() == std::vector<std::uint64_t>{ 1 });
    const StreamPlacement placement = pool.mPlacements[1];
    CHECK(placement.mPrefill.front() == 'p');
    CHECK(placement.mDecode.front() == 'd');
    CHECK(pool.mLoads.Total(placement.mPrefill).mPrefillTokens == 5000);
    CHECK(pool.mRuns.CountAt(placement.mDecode) == 1);
    pool.mScheduler.OnPrefillEnded(1, milliseconds(90));
    pool.mScheduler.OnDecodeEnded(1, pool.mNow);
    CHECK(pool.mLoads.OwnWorks().empty());
    CHECK(pool.mRuns.Own().empty());
  }
  SUBCASE("prefill engines are given two prompts at a time")
  {
    for (std::uint64_t i = 1; i <= 6; ++i) {
      pool.Submit(i, 5000, 2000);
    }
    CHECK(pool.Place().size() == 4);
    pool.mScheduler.OnPrefillEnded(1, milliseconds(90));
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("also when peers gave them")
  {
    pool.mLoads.SetPeer("p", { { "p1", { 2, 9000 } }, { "p2", { 1, 100 } } });
    pool.Submit(1, 5000, 2000);
    pool.Submit(2, 5000, 2000);
    CHECK(pool.Place().size() == 1);
    CHECK(pool.mPlacements.begin()->second.mPrefill == "p2");
  }
  // Engines that run out of memory stop runs and read their prompts again,
  // which delayed up to 20 streams each time.
  SUBCASE("decode engines are filled up to their memory only")
  {
    std::uint64_t placed = 0;
    for (std::uint64_t i = 1; i <= 60; ++i) {
      pool.Submit(i, 8000, 4000);
      for (const auto number : pool.Place()) {
        ++placed;
        pool.mScheduler.OnPrefillEnded(number, milliseconds(100));
        pool.mScheduler.OnDecodeStarted(number, pool.mNow);
      }
    }
    CHECK(placed >= 12);
    CHECK(placed <= 24);
    for (const std::string id : { "d1", "d2" }) {
      CHECK(pool.mRuns.CountAt(id) * 8000 <= kMemory);
    }
  }
  SUBCASE("runs of peers take memory too")
  {
    std::vector<StreamRun> runs;
    for (std::uint64_t i = 0; i < 12; ++i) {
      runs.push_back({ i, "d1", 8000, 4000, 10'000, pool.mNow });
    }
    pool.mRuns.SetPeer("p", runs);
    pool.Submit(1, 8000, 4000);
    pool.Place();
    CHECK(pool.mPlacements[1].mDecode == "d2");
    pool.mRuns.RemovePeer("p");
  }
  SUBCASE("a request larger than an engine is the engine's to refuse")
  {
    pool.Submit(1, 2 * kMemory, 100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("an engine that refused a reservation is left alone for a moment")
  {
    pool.Submit(1, 12'000, 5000);
    pool.mScheduler.OnDecodeFull("d1", 12'000, pool.mNow);
    pool.mScheduler.OnDecodeFull("d2", 12'000, pool.mNow);
    CHECK(pool.Place().empty());
    // What it refused shows how much others use.
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().empty());
    pool.mNow += seconds(3);
    CHECK(pool.Place().size() == 1);
  }
  // 2,511 reservations went to a crashed engine that was still registered.
  // Guards against use that counts twice: as unknown and as a peer's.
  SUBCASE("use that a peer tells of later is no longer unknown")
  {
    pool.mDirectory.Remove("d2", 2, pool.mNow);
    pool.mScheduler.OnDecodeFull("d1", 1000, pool.mNow);
    pool.Submit(1, 3000, 1000);
    CHECK(pool.Place().empty());
    pool.mRuns.SetPeer("p",
                       { { 7, "d1", kMemory - 2000, 2000, 2000, pool.mNow } });
    CHECK(pool.Place().empty());
    pool.mRuns.SetPeer("p", {});
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("an engine that cannot be reached is spared while another is sound")
  {
    pool.mHealth.OnResult("s", "d1", SendResult::ConnectFailed, pool.mNow);
    for (std::uint64_t i = 1; i <= 4; ++i) {
      pool.Run(i, 5000, 2000);
      CHECK(pool.mPlacements[i].mDecode == "d2");
    }
    pool.mHealth.OnResult("s", "d2", SendResult::ConnectFailed, pool.mNow);
    pool.Run(5, 5000, 2000);
  }
  // Guards against a stream that fails three times at the same dead engine
  // because the others are busy for a moment.
  SUBCASE("an engine at which the stream failed is spared as well")
  {
    pool.mLoads.SetPeer("p", { { "p2", { 2, 4000 } } });
    StreamDemand demand = pool.Demand(1, 1000, 1000);
    demand.mTried = { "p1" };
    pool.mScheduler.Submit(demand);
    CHECK(pool.Place().empty());
    pool.mLoads.SetPeer("p", {});
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mPrefill == "p2");
  }
  SUBCASE("without prefill engines a decode engine reads one prompt at a time")
  {
    pool.mDirectory.Remove("p1", 2, pool.mNow);
    pool.mDirectory.Remove("p2", 2, pool.mNow);
    for (std::uint64_t i = 1; i <= 3; ++i) {
      pool.Submit(i, 5000, 2000);
    }
    CHECK(pool.Place().size() == 2);
    CHECK(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.Place().empty());
    pool.mScheduler.OnDecodeStarted(1, pool.mNow);
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
}

// After all daemons were killed, 47 callers came back at once. Seven decode
// engines computed what six streams each had generated, and the pauses of 400
// to 600 ms made all their other runs late.
TEST_CASE("A resumed stream makes its decode engine compute what it generated")
{
  Pool pool;
  const auto submit = [&](std::uint64_t aNumber, std::uint64_t aGenerated) {
    StreamDemand demand = pool.Demand(aNumber, 3000, 1000);
    demand.mGeneratedTokens = aGenerated;
    demand.mHasRun = true;
    demand.mPromptKey = aNumber;
    demand.mDue = pool.mNow;
    pool.mScheduler.Submit(demand);
  };
  const auto begin = [&](std::uint64_t aNumber) {
    pool.mScheduler.OnPrefillEnded(aNumber, milliseconds(60));
    pool.mScheduler.OnDecodeStarted(aNumber, pool.mNow);
  };

  SUBCASE("so each engine takes one at a time")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      submit(i, 4000);
    }
    REQUIRE(pool.Place() == std::vector<std::uint64_t>{ 1, 2 });
    CHECK(pool.mPlacements[1].mDecode != pool.mPlacements[2].mDecode);
    CHECK(pool.Place().empty());

    SUBCASE("and lets its runs go on before the next one")
    {
      begin(1);
      CHECK(pool.Place().empty());
      pool.mNow += milliseconds(100);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
      CHECK(pool.mPlacements[3].mDecode == pool.mPlacements[1].mDecode);
    }
    SUBCASE("also when the first one fails")
    {
      pool.mScheduler.OnPrefillEnded(2, Duration::zero());
      pool.mScheduler.OnDecodeEnded(2, pool.mNow);
      pool.mNow += milliseconds(100);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
    }
    SUBCASE("while streams that begin are not held up")
    {
      pool.mScheduler.OnPrefillEnded(1, milliseconds(60));
      pool.Submit(4, 5000, 2000);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 4 });
    }
  }
  SUBCASE("also when a peer's stream is computed there")
  {
    pool.mLoads.SetPeer("p", { { "d1", { 1, 4000 } }, { "d2", { 1, 4000 } } });
    submit(1, 4000);
    CHECK(pool.Place().empty());
    pool.mLoads.SetPeer("p", {});
    CHECK(pool.Place().empty());
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("without a prefill at the engine that kept its prompt")
  {
    pool.mKept.OnBroken({ 1, "d2", 3000, pool.mNow });
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d2");
    CHECK(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.mPlacements[1].mKeptTokens == 3000);
    CHECK(pool.mLoads.Total("d2").mPrefillTokens == 4000);

    SUBCASE("for whose turn it waits")
    {
      pool.mKept.OnBroken({ 2, "d2", 3000, pool.mNow });
      submit(2, 4000);
      CHECK(pool.Place().empty());
      begin(1);
      pool.mNow += milliseconds(100);
      REQUIRE(pool.Place().size() == 1);
      CHECK(pool.mPlacements[2].mDecode == "d2");
    }
  }
  // A stream whose engine broke it off has 300 ms to go on.
  SUBCASE("unless it can be on time elsewhere")
  {
    pool.mKept.OnBroken({ 1, "d2", 3000, pool.mNow });
    pool.mLoads.SetPeer("p", { { "d2", { 1, 4000 } } });
    StreamDemand demand = pool.Demand(1, 3000, 1000, milliseconds(300));
    demand.mGeneratedTokens = 4000;
    demand.mHasRun = true;
    demand.mPromptKey = 1;
    pool.mScheduler.Submit(demand);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d1");
  }
  SUBCASE("but elsewhere with a prefill")
  {
    pool.mKept.OnBroken({ 1, "d2", 3000, pool.mNow });
    SUBCASE("if that engine leaves")
    {
      EndpointRecord record = pool.Record("d2", EndpointRole::Decode, "y");
      record.mIsDraining = true;
      pool.mDirectory.Put(record, 2, pool.mNow);
    }
    SUBCASE("if it prefills now")
    {
      pool.mDirectory.Put(
        pool.Record("d2", EndpointRole::Prefill, "y"), 2, pool.mNow);
    }
    SUBCASE("if it is full")
    {
      pool.mScheduler.OnDecodeFull("d2", 3000, pool.mNow);
    }
    SUBCASE("if it cannot be reached")
    {
      pool.mHealth.OnResult("s", "d2", SendResult::ConnectFailed, pool.mNow);
    }
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d1");
    CHECK_FALSE(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.mPlacements[1].mKeptTokens == 0);
  }
  SUBCASE("and a small part that was kept is not worth a way round")
  {
    pool.mKept.OnBroken({ 1, "d2", 1000, pool.mNow });
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK_FALSE(pool.mPlacements[1].mPrefill.empty());
  }
  SUBCASE("and its memory counts from the start")
  {
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mRuns.At(pool.mPlacements[1].mDecode)[0]->mPromptTokens == 7000);
  }
  SUBCASE("but a few events are no matter")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      submit(i, 200);
    }
    CHECK(pool.Place().size() == 3);
  }
}

TEST_CASE("Waiting streams go in the order that serves most")
{
  Pool pool;
  for (const std::string id : { "d1", "d2", "p1", "p2" }) {
    pool.mDirectory.Remove(id, 2, pool.mNow);
  }
  const auto open = [&] {
    pool.Add("d1", EndpointRole::Decode, "x");
    pool.Add("p1", EndpointRole::Prefill, "x");
    return pool.Place();
  };

  SUBCASE("short ones before long ones")
  {
    pool.Submit(1, 5000, 8000);
    pool.Submit(2, 5000, 1000);
    CHECK(open() == std::vector<std::uint64_t>{ 2, 1 });
  }
  SUBCASE("those that can be on time before late ones")
  {
    pool.Submit(1, 5000, 1000, milliseconds(100));
    pool.Submit(2, 5000, 8000);
    CHECK(open() == std::vector<std::uint64_t>{ 2, 1 });
  }
  SUBCASE("a withdrawn one does not go")
  {
    pool.Submit(1, 5000, 1000);
    CHECK(pool.mScheduler.Withdraw(1));
    CHECK_FALSE(pool.mScheduler.Withdraw(1));
    CHECK(open().empty());
  }
  SUBCASE("one that waited too long is given up")
  {
    pool.Submit(1, 5000, 1000);
    CHECK(pool.mScheduler.TakeExpired(pool.mNow).empty());
    REQUIRE(pool.mScheduler.NextWake(pool.mNow));
    pool.mNow += seconds(3);
    CHECK(pool.mScheduler.TakeExpired(pool.mNow) ==
          std::vector<std::uint64_t>{ 1 });
    CHECK_FALSE(pool.mScheduler.NextWake(pool.mNow));
  }
}

TEST_CASE("Runs move before their engine runs full")
{
  Pool pool;
  const auto peerRuns = [&](std::size_t aCount, Instant aStarted) {
    std::vector<StreamRun> runs;
    for (std::size_t i = 0; i < aCount; ++i) {
      runs.push_back({ i, "d1", 8000, 9000, 10'000, aStarted });
    }
    return runs;
  };
  pool.Run(1, 8000, 9000);
  pool.mScheduler.OnMoved(1, "d1");

  SUBCASE("not while there is room")
  {
    pool.mRuns.SetPeer("p", peerRuns(5, pool.mNow - seconds(1)));
    CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
  }
  SUBCASE("the newest run moves to an engine with room")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow - seconds(1)));
    const auto moves = pool.mScheduler.Rebalance(pool.mNow);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].mNumber == 1);
    CHECK(moves[0].mTarget == "d2");
    SUBCASE("and the effect is awaited")
    {
      CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
    }
  }
  SUBCASE("a newer run of a peer is the peer's to move")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow + milliseconds(10)));
    CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
  }
  SUBCASE("a run with much to do leaves an engine that drains")
  {
    EndpointRecord leaving = pool.Record("d1", EndpointRole::Decode, "x");
    leaving.mIsDraining = true;
    pool.mDirectory.Put(leaving, 2, pool.mNow);
    CHECK(pool.mScheduler.Rebalance(pool.mNow).size() == 1);
    // One that ends soon stays.
    CHECK(pool.mScheduler.Rebalance(pool.mNow + seconds(8)).empty());
  }
}

TEST_CASE("The memory forecast")
{
  const Instant now{ seconds(1000) };
  MemoryForecast forecast(1.5);
  const StreamRun fresh{ 1, "d", 5000, 4000, 10'000, now };
  const StreamRun old{ 2, "d", 5000, 4000, 10'000, now - seconds(2) };

  SUBCASE("grows with the tokens generated")
  {
    CHECK(forecast.NeedAfter({ &fresh }, Duration::zero(), now).mMean ==
          doctest::Approx(5000));
    CHECK(forecast.NeedAfter({ &old }, Duration::zero(), now).mMean ==
          doctest::Approx(8000));
    CHECK(forecast.NeedAfter({ &fresh }, milliseconds(200), now).mMean ==
          doctest::Approx(5300).epsilon(0.01));
  }
  SUBCASE("expects runs to end around their expected length")
  {
    const MemoryNeed need = forecast.NeedAfter({ &fresh }, seconds(6), now);
    CHECK(need.mMean < 2000);
    CHECK(need.mDeviation > 0);
  }
  SUBCASE("knows that no answer exceeds the most that is allowed")
  {
    const MemoryNeed need = forecast.NeedAfter({ &fresh }, seconds(7), now);
    CHECK(need.mMean == 0);
    // A run that outlives every expectation still holds its memory.
    const StreamRun late{ 3, "d", 5000, 4000, 10'000, now - seconds(60) };
    CHECK(forecast.NeedAfter({ &late }, Duration::zero(), now).mMean ==
          doctest::Approx(15'000).epsilon(0.01));
  }
  SUBCASE("peaks at least at the present need")
  {
    CHECK(forecast.Peak({ &fresh, &old }, 1, now) >= 13'000);
    CHECK(forecast.Peak({}, 1, now) == 0);
  }
}

TEST_CASE("Engines change their roles so that both pools carry the same rate")
{
  Pool pool;
  pool.Add("p3", EndpointRole::Prefill, "x");
  for (const std::string id : { "d3", "d4", "d5", "d6" }) {
    pool.Add(id, EndpointRole::Decode, "y");
  }
  EngineProfile profile;
  profile.mMemoryTokens = kMemory;
  profile.mSlots = 64;
  RoleBalance balance(pool.mDirectory, pool.mLoads, pool.mRuns);
  const auto observe = [&](std::uint64_t aPrompt, std::uint64_t aAnswer) {
    std::vector<StreamRun> runs;
    for (std::uint64_t i = 0; i < 20; ++i) {
      runs.push_back({ i, "d1", aPrompt, aAnswer, 10'000, pool.mNow });
    }
    pool.mRuns.SetPeer("p", runs);
    for (int i = 0; i < 10; ++i) {
      balance.Observe("s", pool.mNow);
    }
  };
  const auto decide = [&] {
    return balance.Decide("s", profile, 1.5, 55, pool.mNow);
  };

  SUBCASE("nothing is known yet: nothing changes")
  {
    CHECK_FALSE(decide());
  }
  SUBCASE("long answers need decode engines")
  {
    observe(5000, 5000);
    const auto change = decide();
    REQUIRE(change);
    CHECK(change->mRole == EndpointRole::Decode);
    // From the failure domain that has two.
    CHECK((change->mEndpoint == "p1" || change->mEndpoint == "p3"));
    CHECK(change->mRateAfter > change->mRateBefore);
    // Guards against an order that was decided before an outage of the store.
    SUBCASE("but not by a decision of long ago")
    {
      CHECK(RoleBalance::Holds(*change, pool.mNow + seconds(1)));
      CHECK_FALSE(RoleBalance::Holds(*change, pool.mNow + seconds(3)));
    }
    SUBCASE("one at a time")
    {
      balance.OnOrdered(pool.mNow);
      CHECK_FALSE(decide());
      pool.mNow += seconds(16);
      CHECK(decide());
    }
    SUBCASE("but two stay, because one may fail")
    {
      pool.mDirectory.Remove("p3", 2, pool.mNow);
      CHECK_FALSE(decide());
    }
  }
  SUBCASE("long prompts need prefill engines")
  {
    observe(20'000, 500);
    const auto change = decide();
    REQUIRE(change);
    CHECK(change->mRole == EndpointRole::Prefill);
    CHECK(change->mEndpoint != "d1");
    // Guards against an order that makes a busy engine drop its runs.
    SUBCASE("but engines that run streams stay")
    {
      std::vector<StreamRun> runs;
      for (const std::string id : { "d1", "d2", "d3", "d4", "d5", "d6" }) {
        runs.push_back({ runs.size(), id, 20'000, 500, 10'000, pool.mNow });
      }
      pool.mRuns.SetPeer("p", runs);
      CHECK_FALSE(decide());
    }
  }
  // Guards against a pool that stays out of balance because one engine of
  // many changes little.
  SUBCASE("in a large pool several follow each other")
  {
    for (int i = 0; i < 12; ++i) {
      pool.Add("q" + std::to_string(i), EndpointRole::Prefill, "x");
      pool.Add("e" + std::to_string(i), EndpointRole::Decode, "y");
    }
    observe(5000, 5000);
    int changed = 0;
    while (const auto change = decide()) {
      REQUIRE(changed < 15);
      CHECK(change->mRole == EndpointRole::Decode);
      pool.mDirectory.OnRoleOrdered(
        change->mEndpoint,
        { EndpointRole::Decode, pool.mNow + seconds(60) },
        pool.mNow);
      balance.OnOrdered(pool.mNow);
      ++changed;
    }
    CHECK(changed > 3);
    // No more than half of a pool changes at once.
    CHECK(changed <= 7);
    // The engines that change are counted where they go.
    pool.mNow += seconds(16);
    while (const auto change = decide()) {
      REQUIRE(changed < 15);
      pool.mDirectory.OnRoleOrdered(
        change->mEndpoint,
        { EndpointRole::Decode, pool.mNow + seconds(60) },
        pool.mNow);
      balance.OnOrdered(pool.mNow);
      ++changed;
    }
    CHECK(changed <= 12);
    pool.mNow += seconds(16);
    CHECK_FALSE(decide());
  }
  SUBCASE("pools in balance stay")
  {
    observe(5000, 3600);
    CHECK_FALSE(decide());
  }
}

} // namespace bulrushfold
