#include "Routing/RetryAllowance.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
const RetryBounds kBounds{ 0.2, 52, seconds(10) };
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
  RetryAllowance allowance(kBounds, start);
  const auto takeAll = [&](RetryAllowance& aAllowance) {
    int n = 0;
    while (n < 1000 && aAllowance.Take("s", 1, now)) {
      ++n;
    }
    return n;
  };

  SUBCASE("a daemon alone uses the slack and a share of its requests")
  {
    CHECK(takeAll(allowance) <= 52);
    now += seconds(20);
    for (int i = 0; i < 100; ++i) {
      allowance.OnRequest("s", now);
    }
    const int n = takeAll(allowance);
    CHECK(n > 52);
    CHECK(n <= 72);
  }
  SUBCASE("six daemons that know nothing of each other divide the slack")
  {
    allowance.SetDaemons(6);
    CHECK(6 * takeAll(allowance) <= 52);
  }
  // A daemon that was cut off from its peers took the whole slack.
  SUBCASE("a daemon whose peers are silent keeps to its part")
  {
    allowance.SetDaemons(6);
    allowance.SetPeer("a", {});
    allowance.RemovePeer("a");
    CHECK(takeAll(allowance) <= 9);
  }
  SUBCASE("what peers leave unused can be used, a part at a time")
  {
    allowance.SetDaemons(3);
    allowance.SetPeer("a", { { "s", { 50, 1 } } });
    allowance.SetPeer("b", { { "s", { 50, 0 } } });
    int n = takeAll(allowance);
    // The peers may take as much before they hear of this.
    CHECK(3 * n + 1 <= 52 + 20);
    for (int i = 0; i < 8; ++i) {
      now += seconds(1);
      n += takeAll(allowance);
    }
    CHECK(n > 30);
    CHECK(n <= 52 + 20 - 1);
  }
  SUBCASE("services are counted apart")
  {
    takeAll(allowance);
    CHECK(allowance.Take("t", 1, now));
  }
  // A retry after a decode repeats the prefill too; counted once, seven of 40
  // days broke the bound.
  SUBCASE("several sends are taken together or not at all")
  {
    int n = 0;
    while (allowance.Take("s", 2, now)) {
      ++n;
    }
    CHECK(2 * n <= 52);
    CHECK(allowance.Take("s", 0, now));
  }
  // The process before this one may have used the slack in the same window.
  SUBCASE("a process that has just started uses half of the slack")
  {
    RetryAllowance fresh(kBounds, now);
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
    std::vector<std::unique_ptr<RetryAllowance>> all;
    for (std::size_t i = 0; i < daemons; ++i) {
      all.push_back(
        std::make_unique<RetryAllowance>(kBounds, Instant(seconds(0))));
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
        if (all[index]->Take("s", 1, now)) {
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
