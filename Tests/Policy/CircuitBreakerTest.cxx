#include "Policy/CircuitBreaker.h"

#include <doctest/doctest.h>

namespace bulrushfold {

// Guards against work that is sent to a dead endpoint, and against an endpoint
// that stays unused after its recovery.
TEST_CASE("A breaker stops work to a failing target")
{
  Random random(1);
  const BreakerOptions options;
  CircuitBreaker breaker(options);
  Instant now{ std::chrono::hours(1) };
  using State = CircuitBreaker::State;

  SUBCASE("failures that alternate with successes do not open the breaker")
  {
    for (int n = 0; n < 20; ++n) {
      breaker.OnFailure(now, random);
      breaker.OnSuccess();
    }
    CHECK(breaker.CurrentState(now) == State::Closed);
  }

  for (std::uint32_t n = 0; n < options.mFailureThreshold; ++n) {
    CHECK(breaker.Allows(now));
    breaker.OnFailure(now, random);
  }
  CHECK(breaker.CurrentState(now) == State::Open);
  CHECK_FALSE(breaker.Allows(now));

  SUBCASE("a late success of earlier work does not close the breaker")
  {
    breaker.OnSuccess();
    CHECK_FALSE(breaker.Allows(now));
  }

  SUBCASE("one trial is admitted after the open time")
  {
    now += options.mOpenTime;
    CHECK(breaker.CurrentState(now) == State::HalfOpen);
    CHECK(breaker.Allows(now));
    breaker.OnSent(now);
    CHECK_FALSE(breaker.Allows(now));

    SUBCASE("a successful trial closes the breaker")
    {
      breaker.OnSuccess();
      CHECK(breaker.CurrentState(now) == State::Closed);
    }

    SUBCASE("a failed trial opens the breaker again")
    {
      breaker.OnFailure(now, random);
      CHECK(breaker.CurrentState(now) == State::Open);
      now += 2 * options.mOpenTime;
      CHECK(breaker.Allows(now));
    }

    SUBCASE("after a trial without a result another one is admitted")
    {
      now += std::chrono::minutes(1);
      CHECK(breaker.Allows(now));
    }
  }
}

} // namespace bulrushfold
