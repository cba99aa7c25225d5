#include "Policy/LinkSchedule.h"

#include <doctest/doctest.h>

#include "Policy/CostModel.h"

namespace bulrushfold {

namespace {
constexpr double kRate = 50e6;
constexpr double kLargeBytes = 50e6;
} // namespace

TEST_CASE("The rate of a link follows its observed transfers")
{
  LinkSchedule links;
  links.SetRate("a", kRate);
  const Instant now;
  const auto estimate = [&] {
    return ToSeconds(links.Estimate("a", "a", kLargeBytes, now));
  };
  REQUIRE(estimate() == doctest::Approx(1.0));

  // Guards against a regression: transfers of 50 KB that took 5 ms made the
  // link look 5 times slower, so that two thirds of the requests were refused.
  SUBCASE("short transfers do not make the link look slow")
  {
    for (int i = 0; i < 100; ++i) {
      links.ObserveTransfer("a", "a", 50e3, std::chrono::milliseconds(5));
    }
    CHECK(estimate() == doctest::Approx(1.0));
  }
  SUBCASE("long, slow transfers make the link look slow")
  {
    for (int i = 0; i < 100; ++i) {
      links.ObserveTransfer("a", "a", kLargeBytes, std::chrono::seconds(3));
    }
    CHECK(estimate() > 2.5);
  }
}

// Guards against the same refusals from another cause: the initial cache size
// per token was 100 times that of the engines, and each transfer corrected it
// by only 5%.
TEST_CASE("The first transfer sets the cache size per token of a model")
{
  CostModel costs;
  costs.ObserveTransfer("m", 100, 100e3);
  CHECK(costs.CacheBytes("m", 200) == doctest::Approx(200e3));
}

} // namespace bulrushfold
