#include "Policy/RoleBalance.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
std::vector<EngineUse>
Engines(double aPrefillUse, double aDecodeUse, std::size_t aLive)
{
  return { { "p1", EngineRole::Prefill, aPrefillUse, 1 },
           { "p2", EngineRole::Prefill, aPrefillUse, 1 },
           { "d1", EngineRole::Decode, aDecodeUse, aLive },
           { "d2", EngineRole::Decode, aDecodeUse, aLive },
           { "d3", EngineRole::Decode, aDecodeUse, aLive } };
}
} // namespace

// Guards against engines that swing between roles and load weights all day, and
// against a pool that loses what its own work needs.
TEST_CASE("An engine changes its role only for a lasting need")
{
  const RoleBalanceOptions options;
  RoleBalance balance(options);
  Instant now{ std::chrono::hours(1) };

  SUBCASE("a short peak changes nothing")
  {
    CHECK_FALSE(balance.Decide(Engines(0.95, 0.3, 0), now));
    now += options.mPersistence / 2;
    CHECK_FALSE(balance.Decide(Engines(0.5, 0.3, 0), now));
    now += options.mPersistence;
    CHECK_FALSE(balance.Decide(Engines(0.95, 0.3, 0), now));
  }

  SUBCASE("a lasting need moves one engine, then waits")
  {
    CHECK_FALSE(balance.Decide(Engines(0.95, 0.3, 0), now));
    now += options.mPersistence;
    const auto change = balance.Decide(Engines(0.95, 0.3, 0), now);
    REQUIRE(change);
    CHECK(change->mRole == EngineRole::Prefill);
    CHECK(change->mEndpoint == "d1");
    now += options.mChangeInterval / 2;
    CHECK_FALSE(balance.Decide(Engines(0.95, 0.3, 0), now));
  }

  SUBCASE("a pool never gives what its live work needs")
  {
    for (int n = 0; n < 100; ++n) {
      now += options.mPersistence;
      CHECK_FALSE(balance.Decide(Engines(0.95, 0.6, 0), now));
      CHECK_FALSE(balance.Decide(Engines(0.95, 0.3, 2), now));
    }
  }

  SUBCASE("the last engine of a pool stays")
  {
    const std::vector<EngineUse> engines = {
      { "p", EngineRole::Prefill, 0.99, 0 }, { "d", EngineRole::Decode, 0, 0 }
    };
    for (int n = 0; n < 100; ++n) {
      now += options.mPersistence;
      CHECK_FALSE(balance.Decide(engines, now));
    }
  }
}

} // namespace bulrushfold
