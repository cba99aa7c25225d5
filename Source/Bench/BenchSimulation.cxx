#include "Bench/BenchSimulation.h"

namespace bulrushfold {

namespace {
// Engines measure their load at this interval; each daemon receives the report
// after a random lag.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
constexpr double kMinLagSeconds = 0.05;
constexpr double kMaxLagSeconds = 0.35;
constexpr double kEventLossProbability = 0.03;
constexpr Duration kDrainTime = std::chrono::seconds(60);
} // namespace

BenchSimulation::BenchSimulation(const PolicyCase& aCase,
                                 const EngineModel& aEngine,
                                 std::uint64_t aSeed)
  : mCase(aCase)
  , mRandom(aSeed)
  , mLinks(mEvents)
  , mEndpoints(MakeEndpoints(aCase))
  , mMetrics(aCase, aEngine)
{
  for (const auto& [name, endpoint] : mEndpoints) {
    mLinks.Add(endpoint.mLink, endpoint.mLinkBytesPerSecond);
    mEngines[name] =
      std::make_unique<FakeEngine>(mEvents, mLinks, endpoint, aEngine);
  }
}

void
BenchSimulation::ScheduleReports(const std::string& aEndpoint,
                                 BenchRouter& aRouter,
                                 Instant aEnd)
{
  if (mEvents.Now() > aEnd) {
    return;
  }
  const LoadReport measured = Engine(aEndpoint).Load();
  std::vector<CacheEvent> events;
  for (const auto& it : Engine(aEndpoint).ConsumeCacheEvents()) {
    if (!mRandom.Bernoulli(kEventLossProbability)) {
      events.push_back(it);
    }
  }
  for (std::size_t n = 0; n < kDaemons; ++n) {
    const Duration lag =
      FromSeconds(kMinLagSeconds +
                  (kMaxLagSeconds - kMinLagSeconds) * mRandom.UniformReal());
    mEvents.After(lag, [=, &aRouter] {
      LoadReport report = measured;
      report.mAge = lag;
      aRouter.OnLoadReport(n, aEndpoint, report);
      aRouter.OnCacheEvents(n, aEndpoint, events);
    });
  }
  mEvents.After(kReportInterval, [this, aEndpoint, aEnd, &aRouter] {
    ScheduleReports(aEndpoint, aRouter, aEnd);
  });
}

void
BenchSimulation::ScheduleFaults()
{
  const Duration span = mCase.mSpan;
  for (Duration at = std::chrono::seconds(8); at < span;
       at += std::chrono::seconds(8)) {
    const auto pick = mRandom.UniformBelow(mEndpoints.size());
    const std::string name = "e" + std::to_string(pick);
    const Instant from = mEvents.Now() + at;
    mLinks.Stall(
      mEndpoints.at(name).mLink, from, from + std::chrono::seconds(2));
  }
  for (Duration at = std::chrono::seconds(20); at < span;
       at += std::chrono::seconds(25)) {
    const auto pick = mRandom.UniformBelow(mEndpoints.size());
    mEvents.After(at, [this, pick] {
      Engine("e" + std::to_string(pick)).Crash(std::chrono::seconds(5));
    });
  }
}

BenchFigures
BenchSimulation::Run(const std::vector<Arrival>& aArrivals,
                     BenchRouter& aRouter)
{
  const Instant end = mEvents.Now() + mCase.mSpan + kDrainTime;
  for (const auto& [name, endpoint] : mEndpoints) {
    const Duration start = FromSeconds(0.5 * mRandom.UniformReal());
    mEvents.After(start, [this, it = name, end, &aRouter] {
      ScheduleReports(it, aRouter, end);
    });
  }
  if (mCase.mHasFaults) {
    ScheduleFaults();
  }
  // Gives all engines time to report their load before the first request.
  const Duration warmUp = std::chrono::seconds(1);
  for (const auto& arrival : aArrivals) {
    const std::size_t daemon = mRandom.UniformBelow(kDaemons);
    const auto& id = arrival.mWork.mRequest;
    mEvents.After(warmUp + arrival.mAt, [this, daemon, &arrival, &aRouter] {
      mMetrics.OnArrival(arrival, mEvents.Now());
      aRouter.OnArrival(daemon, arrival);
    });
    mEvents.After(warmUp + arrival.mAt + mCase.mFirstTokenTimeout,
                  [this, daemon, &id, &aRouter] {
                    if (mMetrics.IsWaiting(id)) {
                      aRouter.OnCallerDisconnected(daemon, id);
                    }
                  });
  }
  mEvents.RunUntil(end);
  double computed = 0;
  double used = 0;
  for (const auto& [name, engine] : mEngines) {
    computed += engine->ComputedTokens();
    used += engine->UsedTokens();
  }
  return mMetrics.Result(computed, used);
}

} // namespace bulrushfold
