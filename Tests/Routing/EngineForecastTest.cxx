#include "Routing/EngineForecast.h"

#include <chrono>
#include <cstddef>
#include <iterator>
#include <vector>

#include <doctest/doctest.h>

#include "Base/Random.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kTokensPerMillisecond = 1.5;
/** Of the linear interpolation between the points of a profile. */
constexpr double kMaxRelativeError = 0.02;
constexpr std::size_t kRuns = 12;

StreamRun
MakeRun(std::uint64_t aNumber, Random& aRandom)
{
  StreamRun run;
  run.mNumber = aNumber;
  run.mEndpoint = "d";
  run.mPromptTokens = 2000 + aRandom.UniformBelow(4000);
  // Few of the runs are as long as expected, so that few are expected to end.
  run.mAnswerTokens = 8000 + aRandom.UniformBelow(2000);
  run.mMaxAnswerTokens = 20'000;
  return run;
}
} // namespace

// Guards against a profile that still counts a run that has ended, or does not
// count one that was added or started since the last decision.
TEST_CASE("The profile of an engine that is kept up to date")
{
  const MemoryForecast forecast(kTokensPerMillisecond);
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StreamRuns runs;
    EngineForecast profile;
    Instant now{ seconds(1000) };
    for (std::uint64_t step = 1; step <= 400; ++step) {
      CAPTURE(step);
      now += milliseconds(random.UniformBelow(40));
      runs.Add(MakeRun(step, random));
      if (runs.Own().size() > kRuns) {
        const auto any =
          std::next(runs.Own().begin(),
                    static_cast<std::ptrdiff_t>(random.UniformBelow(kRuns)));
        runs.Remove(any->first);
      }
      if (step > 2) {
        runs.OnStarted(step - random.UniformBelow(3), now);
      }
      const MemoryProfile expected = forecast.Profile(runs.At("d"), now);
      const MemoryProfile actual =
        profile.At(forecast, runs.At("d"), runs.VersionAt("d"), now);
      for (const std::size_t i : { 0, 4 }) {
        CHECK(actual.mMean[i] ==
              doctest::Approx(expected.mMean[i]).epsilon(kMaxRelativeError));
      }
    }
  }
}

// Guards against a run that counts as grown before it started, when its share
// is calculated for an earlier time.
TEST_CASE("The profile of a run before its start")
{
  const MemoryForecast forecast(kTokensPerMillisecond);
  const Instant now{ seconds(1000) };
  StreamRun run;
  run.mPromptTokens = 5000;
  run.mAnswerTokens = 4000;
  run.mMaxAnswerTokens = 10'000;
  run.mStartedAt = now + 2 * MemoryProfile::kStep;
  const MemoryProfile profile = forecast.ProfileOf(run, now);
  CHECK(profile.mMean[0] == doctest::Approx(5000));
  CHECK(profile.mMean[2] == doctest::Approx(5000));
  CHECK(profile.mMean[3] == doctest::Approx(5525).epsilon(0.001));
}

} // namespace bulrushfold
