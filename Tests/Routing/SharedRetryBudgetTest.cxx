#include "Routing/SharedRetryBudget.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
const RetryLimits kLimits{ 0.2, 52, seconds(10) };
} // namespace

TEST_CASE("A sliding window counts the events in it")
{
  SlidingWindowCounter count(seconds(10));
  Instant now{ seconds(100) };
  for (int i = 0; i < 100; ++i) {
    count.Add(now);
    now += milliseconds(100);
  }
  CHECK(count.LowerBound(now) <= 100);
  CHECK(count.LowerBound(now) >= 90);
  CHECK(count.UpperBound(now) >= count.LowerBound(now));
  CHECK(count.UpperBound(now + seconds(11)) == 0);
}

TEST_CASE("A daemon's retries stay within its part of the budget")
{
  const Instant start{ seconds(1) };
  Instant now{ seconds(100) };
  SharedRetryBudget budget(kLimits, start);
  const auto useAll = [&](SharedRetryBudget& aBudget) {
    int n = 0;
    while (n < 1000 && aBudget.TryConsume("s", 1, now)) {
      ++n;
    }
    return n;
  };

  SUBCASE(
    "a single daemon may use the base retries and a ratio of its requests")
  {
    CHECK(useAll(budget) <= 52);
    now += seconds(20);
    for (int i = 0; i < 100; ++i) {
      budget.OnRequest("s", now);
    }
    const int n = useAll(budget);
    CHECK(n > 52);
    CHECK(n <= 72);
  }
  SUBCASE("six daemons without reports of each other divide the base retries")
  {
    budget.SetDaemons(6);
    CHECK(6 * useAll(budget) <= 52);
  }
  // Guards against a daemon that uses all base retries while it is partitioned
  // from its peers.
  SUBCASE("a daemon without reports of its peers uses only its part")
  {
    budget.SetDaemons(6);
    budget.SetPeer("a", {});
    budget.RemovePeer("a");
    CHECK(useAll(budget) <= 9);
  }
  SUBCASE("the part that peers do not use is available step by step")
  {
    budget.SetDaemons(3);
    budget.SetPeer("a", { { "s", { 50, 1 } } });
    budget.SetPeer("b", { { "s", { 50, 0 } } });
    int n = useAll(budget);
    // Each peer may use as much before it receives the next report.
    CHECK(3 * n + 1 <= 52 + 20);
    for (int i = 0; i < 8; ++i) {
      now += seconds(1);
      n += useAll(budget);
    }
    CHECK(n > 30);
    CHECK(n <= 52 + 20 - 1);
  }
  SUBCASE("services are counted separately")
  {
    useAll(budget);
    CHECK(budget.TryConsume("t", 1, now));
  }
  // Guards against counting a retry after a decode as one send although it
  // repeats the prefill too. With such a count, seven of 40 days exceeded the
  // limit.
  SUBCASE("several retries are granted together or not at all")
  {
    int n = 0;
    while (budget.TryConsume("s", 2, now)) {
      ++n;
    }
    CHECK(2 * n <= 52);
    CHECK(budget.TryConsume("s", 0, now));
  }
  // Guards against using the base retries twice in one window: by this process
  // and by the one before it.
  SUBCASE("a process uses half of the base retries in its first window")
  {
    SharedRetryBudget fresh(kLimits, now);
    CHECK(useAll(fresh) <= 26);
  }
}

TEST_CASE("All daemons together never exceed the retry limit")
{
  const auto countIn =
    [](const std::vector<Instant>& aTimes, Instant aFrom, Instant aTo) {
      return static_cast<double>(
        std::count_if(aTimes.begin(), aTimes.end(), [&](Instant aTime) {
          return aTime > aFrom && aTime <= aTo;
        }));
    };
  const bool holds = rc::check("any mix of requests and failures", [&] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 8);
    // Pairs of a daemon and its action: 0 a request, 1 a retry, 2 a burst of
    // retries.
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      800, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    const auto partitioned = *rc::gen::inRange<std::size_t>(0, 16);
    std::vector<std::unique_ptr<SharedRetryBudget>> all;
    for (std::size_t i = 0; i < daemons; ++i) {
      all.push_back(
        std::make_unique<SharedRetryBudget>(kLimits, Instant(seconds(0))));
      all.back()->SetDaemons(daemons);
    }
    Instant now{ seconds(100) };
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    int step = 0;
    for (const auto& [daemon, action] : steps) {
      now += milliseconds(25);
      const std::size_t index = static_cast<std::size_t>(daemon) % daemons;
      if (action == 0) {
        all[index]->OnRequest("s", now);
        requests.push_back(now);
      }
      for (int i = 0; i < (action == 2 ? 30 : action); ++i) {
        if (all[index]->TryConsume("s", 1, now)) {
          retries.push_back(now);
        }
      }
      // Every half second each daemon reports its use to the others, except one
      // that may be partitioned from them.
      if (++step % 20 == 0) {
        for (std::size_t from = 0; from < daemons; ++from) {
          for (std::size_t to = 0; to < daemons; ++to) {
            if (from != to && from != partitioned && to != partitioned) {
              all[to]->SetPeer(std::to_string(from), all[from]->OwnUses(now));
            }
          }
        }
      }
      // The limit refers to the requests in the present window, in the one
      // before, or in the one half a window earlier, whichever has most.
      const double counted =
        std::max({ countIn(requests, now - seconds(10), now),
                   countIn(requests, now - seconds(15), now - seconds(5)),
                   countIn(requests, now - seconds(20), now - seconds(10)) });
      RC_ASSERT(countIn(retries, now - seconds(10), now) <= 0.2 * counted + 52);
    }
  });
  CHECK(holds);
}

} // namespace bulrushfold
