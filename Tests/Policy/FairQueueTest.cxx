#include "Policy/FairQueue.h"

#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
const Instant kNow{ std::chrono::hours(1) };
const Instant kLater = kNow + std::chrono::seconds(10);

QueuedRequest
MakeItem(int aIndex, const std::string& aWorkspace, double aShare = 1)
{
  return { std::to_string(aIndex), aWorkspace, aShare, 1, kLater };
}
} // namespace

TEST_CASE("Capacity is divided among waiting workspaces")
{
  // Guards against a workspace that fills the queue and starves the others.
  SUBCASE("each workspace is served in proportion to its share")
  {
    FairQueue queue(1000);
    for (int n = 0; n < 300; ++n) {
      queue.Push(MakeItem(n, "noisy", 1));
    }
    for (int n = 300; n < 400; ++n) {
      queue.Push(MakeItem(n, "big", 2));
      queue.Push(MakeItem(n + 100, "small", 1));
    }
    std::map<std::string, int> served;
    for (int n = 0; n < 80; ++n) {
      ++served[queue.Pop()->mWorkspace];
    }
    CHECK(served["big"] == doctest::Approx(40).epsilon(0.1));
    CHECK(served["small"] == doctest::Approx(20).epsilon(0.1));
    CHECK(served["noisy"] == doctest::Approx(20).epsilon(0.1));
  }

  // Guards against starvation under any order of arrivals.
  SUBCASE("a waiting workspace is served after a limited number of requests")
  {
    CHECK(rc::check([] {
      FairQueue queue(100000);
      const auto shares =
        *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 10));
      const auto pushes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
      queue.Push({ "observed", "observed", 1, 1, kLater });
      int n = 0;
      for (const int it : pushes) {
        queue.Push(MakeItem(
          n++, "w" + std::to_string(it), shares[static_cast<std::size_t>(it)]));
      }
      int turns = 0;
      for (std::string id; id != "observed"; ++turns) {
        // The other workspaces always have waiting requests.
        for (int it = 0; it < 3; ++it) {
          queue.Push(MakeItem(n++,
                              "w" + std::to_string(it),
                              shares[static_cast<std::size_t>(it)]));
        }
        id = queue.Pop()->mRequest;
      }
      RC_ASSERT(turns <= 1 + shares[0] + shares[1] + shares[2] + 3);
    }));
  }

  // Guards against idle capacity while requests wait, and against lost
  // requests.
  SUBCASE("every request leaves the queue once, and Pop returns a waiting one")
  {
    CHECK(rc::check([] {
      FairQueue queue(20);
      const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
      std::size_t in = 0;
      std::size_t out = 0;
      int n = 0;
      for (const int it : steps) {
        if (it < 3) {
          ++in;
          out += queue.Push(MakeItem(n++, "w" + std::to_string(it))) ? 1 : 0;
        } else if (it < 5) {
          const bool hadSome = !queue.empty();
          const auto item = queue.Pop();
          RC_ASSERT(item.has_value() == hadSome);
          out += item ? 1 : 0;
        } else {
          out += queue.Remove(std::to_string(n / 2)) ? 1 : 0;
        }
        RC_ASSERT(queue.size() <= 20U);
        RC_ASSERT(in == out + queue.size());
      }
      out += queue.RemoveExpired(kLater).size();
      RC_ASSERT(in == out);
      RC_ASSERT(queue.empty());
    }));
  }

  SUBCASE("a full queue removes from the workspace with the most waiting work")
  {
    FairQueue queue(10);
    for (int n = 0; n < 10; ++n) {
      CHECK_FALSE(queue.Push(MakeItem(n, "noisy")));
    }
    const auto removed = queue.Push(MakeItem(10, "quiet"));
    REQUIRE(removed);
    CHECK(removed->mRequest == "9");
    CHECK(queue.size() == 10);
  }
}

} // namespace bulrushfold
