#include "Policy/RetryBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

// Guards against a retry storm, in which retries multiply the load of failing
// endpoints.
TEST_CASE("Retries are limited to a share of the requests")
{
  SUBCASE("retries never exceed the initial budget plus the share")
  {
    CHECK(rc::check([] {
      Random random(1);
      RetryBudget budget(0.1, random);
      const auto events =
        *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
      double requests = 0;
      double retries = 0;
      for (const bool isRequest : events) {
        if (isRequest) {
          budget.OnRequest();
          requests += 1;
        } else if (budget.TryConsume()) {
          retries += 1;
        }
        RC_ASSERT(retries <= 20 + 0.1 * requests + 1e-9);
      }
    }));
  }

  SUBCASE("requests without retries accumulate a limited budget")
  {
    Random random(1);
    RetryBudget budget(0.1, random);
    for (int n = 0; n < 100000; ++n) {
      budget.OnRequest();
    }
    int retries = 0;
    while (budget.TryConsume()) {
      ++retries;
    }
    CHECK(retries <= 20);
  }

  SUBCASE("a share of zero allows no retries")
  {
    Random random(1);
    RetryBudget budget(0, random);
    budget.OnRequest();
    CHECK_FALSE(budget.TryConsume());
  }

  SUBCASE("the backoff is random and limited")
  {
    Random random(1);
    RetryBudget budget(0.1, random);
    CHECK(budget.Backoff(1) <= std::chrono::milliseconds(20));
    CHECK(budget.Backoff(1000) <= std::chrono::milliseconds(1280));
    CHECK(budget.Backoff(5) != budget.Backoff(5));
  }
}

} // namespace bulrushfold
