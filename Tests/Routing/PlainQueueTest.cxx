#include "Routing/PlainQueueFixture.h"

#include <map>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

TEST_CASE("Plain requests wait for a free slot")
{
  PlainQueueFixture fixture(2);
  fixture.Fill();
  CHECK(fixture.mRunning.size() == 6);

  SUBCASE("and the one whose wait ends first is served first")
  {
    CHECK_FALSE(fixture.Submit(1, milliseconds(300)));
    CHECK_FALSE(fixture.Submit(2, milliseconds(80)));
    CHECK_FALSE(fixture.Submit(3, milliseconds(70)));
    fixture.mNow += milliseconds(1);
    CHECK_FALSE(fixture.Submit(4, milliseconds(200)));
    fixture.End(1000);
    CHECK(fixture.Dispatch() == std::vector{ 3 });
    fixture.End(1001);
    CHECK(fixture.Dispatch() == std::vector{ 2 });
    fixture.End(1002);
    CHECK(fixture.Dispatch() == std::vector{ 1 });
    fixture.End(1003);
    CHECK(fixture.Dispatch() == std::vector{ 4 });
  }
  // Guards against requests that are held although they would be late.
  SUBCASE("but not when they would be late anyway")
  {
    const auto grant = fixture.Submit(1, milliseconds(5));
    REQUIRE(grant);
    CHECK_FALSE(grant->mChoice);
    CHECK(grant->mRetryAfter > Duration::zero());
  }
  SUBCASE("and are refused after a short time")
  {
    CHECK_FALSE(fixture.Submit(1));
    fixture.mNow = *fixture.mQueue.NextWake();
    CHECK(fixture.mNow <= Instant(seconds(1000)) + milliseconds(100));
    CHECK(fixture.Dispatch() == std::vector{ -1 });
    CHECK_FALSE(fixture.mQueue.NextWake());
  }
  SUBCASE("and a refusal states what led to it")
  {
    CHECK_FALSE(fixture.Submit(1));
    CHECK_FALSE(fixture.Submit(2, milliseconds(200)));
    const auto late = fixture.Submit(3, milliseconds(5));
    REQUIRE(late);
    CHECK(late->mRefusal.mCause == PlainRefusalCause::TargetTooNear);
    CHECK(late->mRefusal.mTargetLeft == milliseconds(5));
    CHECK(late->mRefusal.mWaited == Duration::zero());
    std::uint64_t number = 4;
    auto full = fixture.Submit(number);
    while (!full) {
      full = fixture.Submit(++number);
    }
    CHECK(full->mRefusal.mCause == PlainRefusalCause::QueueFull);
    CHECK(full->mRefusal.mAhead == number - 2);
    fixture.mNow = *fixture.mQueue.NextWake();
    std::map<PlainRefusalCause, int> causes;
    fixture.mQueue.Dispatch(fixture.mNow, [&](const PlainGrant& aGrant) {
      ++causes[aGrant.mRefusal.mCause];
      CHECK(aGrant.mRefusal.mWaited == milliseconds(100));
    });
    CHECK(causes[PlainRefusalCause::WaitEnded] == static_cast<int>(number) - 2);
  }
  SUBCASE("and not after they were withdrawn")
  {
    CHECK_FALSE(fixture.Submit(1));
    fixture.mQueue.Withdraw(1);
    fixture.End(1000);
    CHECK(fixture.Dispatch().empty());
  }
  SUBCASE("unless the daemon places only for itself")
  {
    fixture.mQueue.SetLimited(false);
    const auto grant = fixture.Submit(1);
    REQUIRE(grant);
    CHECK(grant->mChoice);
  }
}

TEST_CASE("A plain request without an endpoint is refused at once")
{
  PlainQueueFixture fixture(1);
  SUBCASE("when the service has none")
  {
    fixture.mDirectory.Remove("e0", 2, fixture.mNow);
    const auto grant = fixture.Submit(1);
    REQUIRE(grant);
    CHECK_FALSE(grant->mChoice);
  }
  // Guards against sending a request again to the endpoint that refused it.
  SUBCASE("when each one refused it")
  {
    PlainDemand demand = fixture.Demand(1, milliseconds(300));
    demand.mAttempted = { "e0" };
    demand.mNeedsUntried = true;
    const auto grant = fixture.mQueue.Submit(demand, fixture.mNow);
    REQUIRE(grant);
    CHECK_FALSE(grant->mChoice);
  }
}

// Guards against a free endpoint that fails being preferred to busy sound ones.
TEST_CASE("A failing endpoint gets no request while another one is only full")
{
  PlainQueueFixture fixture(2);
  for (int i = 0; i < 5; ++i) {
    fixture.mHealth.OnResult(
      "s", "e0", SendResult::ConnectFailed, fixture.mNow);
  }
  fixture.Fill();
  for (const auto& [number, endpoint] : fixture.mRunning) {
    CHECK(endpoint == "e1");
  }
}

// Load pattern: 170% of what the endpoints can serve, for three seconds, with a
// latency target of six service times. Guards against a queue that serves late
// requests: then nobody is served in time until the burst is over.
TEST_CASE("In a burst the slots serve requests in time, and no endpoint sheds")
{
  PlainQueueFixture fixture(10);
  constexpr Duration kServiceTime = milliseconds(60);
  constexpr Duration kTarget = milliseconds(300);
  // 20 slots serve 333 requests/s; 567 arrive.
  constexpr Duration kInterval = std::chrono::microseconds(1764);
  std::multimap<Instant, std::uint64_t> ends;
  std::map<std::uint64_t, Instant> arrivals;
  int served = 0;
  int late = 0;
  std::uint64_t number = 1;
  const Instant end = fixture.mNow + seconds(3);
  const auto start = [&](std::uint64_t aNumber) {
    const Instant done = fixture.mNow + kServiceTime;
    ends.emplace(done, aNumber);
    ++(done - arrivals.at(aNumber) <= kTarget ? served : late);
    for (const auto& [id, endpoint] : fixture.mRunning) {
      CHECK(fixture.mLoads.Total(endpoint).mRequests <= 3);
    }
  };
  while (fixture.mNow < end) {
    fixture.mNow += kInterval;
    while (!ends.empty() && ends.begin()->first <= fixture.mNow) {
      fixture.End(ends.begin()->second);
      fixture.mQueue.OnServed("s", kServiceTime);
      ends.erase(ends.begin());
    }
    for (const int it : fixture.Dispatch()) {
      if (it > 0) {
        start(static_cast<std::uint64_t>(it));
      }
    }
    arrivals[number] = fixture.mNow;
    if (const auto grant = fixture.Submit(number, kTarget);
        grant && grant->mChoice) {
      start(number);
    }
    ++number;
  }
  CHECK(late == 0);
  // 1,000 is what 20 slots can serve in three seconds.
  CHECK(served >= 990);
}

} // namespace bulrushfold
