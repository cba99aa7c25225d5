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

TEST_CASE("Counts of a sliding window")
{
  WindowCount count(seconds(10));
  Instant now{ seconds(100) };
  for (int i = 0; i < 100; ++i) {
    count.Add(now);
    now += milliseconds(100);
  }
  CHECK(count.AtLeast(now) <= 100);
  CHECK(count.AtLeast(now) >= 90);
  CHECK(count.AtMost(now) >= count.AtLeast(now));
  CHECK(count.AtMost(now + seconds(11)) == 0);
}

TEST_CASE("Repeated sends keep to the bound")
{
  const Instant start{ seconds(1) };
  Instant now{ seconds(100) };
  SharedRetryBudget budget(kLimits, start);
  const auto takeAll = [&](SharedRetryBudget& aBudget) {
    int n = 0;
    while (n < 1000 && aBudget.TryConsume("s", 1, now)) {
      ++n;
    }
    return n;
  };

  SUBCASE("a daemon alone uses the slack and a share of its requests")
  {
    CHECK(takeAll(budget) <= 52);
    now += seconds(20);
    for (int i = 0; i < 100; ++i) {
      budget.OnRequest("s", now);
    }
    const int n = takeAll(budget);
    CHECK(n > 52);
    CHECK(n <= 72);
  }
  SUBCASE("six daemons that know nothing of each other divide the slack")
  {
    budget.SetDaemons(6);
    CHECK(6 * takeAll(budget) <= 52);
  }
  // A daemon that was cut off from its peers took the whole baseRetries.
  SUBCASE("a daemon whose peers are silent keeps to its part")
  {
    budget.SetDaemons(6);
    budget.SetPeer("a", {});
    budget.RemovePeer("a");
    CHECK(takeAll(budget) <= 9);
  }
  SUBCASE("what peers leave unused can be used, a part at a time")
  {
    budget.SetDaemons(3);
    budget.SetPeer("a", { { "s", { 50, 1 } } });
    budget.SetPeer("b", { { "s", { 50, 0 } } });
    int n = takeAll(budget);
    // The peers may take as much before they hear of this.
    CHECK(3 * n + 1 <= 52 + 20);
    for (int i = 0; i < 8; ++i) {
      now += seconds(1);
      n += takeAll(budget);
    }
    CHECK(n > 30);
    CHECK(n <= 52 + 20 - 1);
  }
  SUBCASE("services are counted apart")
  {
    takeAll(budget);
    CHECK(budget.TryConsume("t", 1, now));
  }
  // A retry after a decode repeats the prefill too; counted once, seven of 40
  // days broke the bound.
  SUBCASE("several sends are taken together or not at all")
  {
    int n = 0;
    while (budget.TryConsume("s", 2, now)) {
      ++n;
    }
    CHECK(2 * n <= 52);
    CHECK(budget.TryConsume("s", 0, now));
  }
  // The process before this one may have used the baseRetries in the same
  // window.
  SUBCASE("a process that has just started uses half of the slack")
  {
    SharedRetryBudget fresh(kLimits, now);
    CHECK(takeAll(fresh) <= 26);
  }
}

TEST_CASE("Daemons together never exceed the bound")
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
    // Who does what: 0 a request, 1 a retry, 2 a burst of retries.
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      800, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    const auto cutOff = *rc::gen::inRange<std::size_t>(0, 16);
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
    for (const auto& [who, what] : steps) {
      now += milliseconds(25);
      const std::size_t index = static_cast<std::size_t>(who) % daemons;
      if (what == 0) {
        all[index]->OnRequest("s", now);
        requests.push_back(now);
      }
      for (int i = 0; i < (what == 2 ? 30 : what); ++i) {
        if (all[index]->TryConsume("s", 1, now)) {
          retries.push_back(now);
        }
      }
      // Every half second each daemon tells the others, but for one that may
      // be cut off from the others.
      if (++step % 20 == 0) {
        for (std::size_t from = 0; from < daemons; ++from) {
          for (std::size_t to = 0; to < daemons; ++to) {
            if (from != to && from != cutOff && to != cutOff) {
              all[to]->SetPeer(std::to_string(from), all[from]->OwnUses(now));
            }
          }
        }
      }
      // Requests count in the window, the one before or the one between.
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
