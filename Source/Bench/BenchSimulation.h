#ifndef BULRUSHFOLD_BENCH_BENCHSIMULATION_H
#define BULRUSHFOLD_BENCH_BENCHSIMULATION_H

#include <map>
#include <memory>
#include <string>

#include "Bench/BenchMetrics.h"
#include "Bench/EventQueue.h"
#include "Bench/FakeEngine.h"
#include "Bench/FakeLinks.h"
#include "Bench/Workload.h"

namespace bulrushfold {

constexpr std::size_t kDaemons = 6;

/** Routes the requests of a run; one object implements all six daemons. */
class BenchRouter
{
public:
  virtual ~BenchRouter() = default;
  virtual void OnArrival(std::size_t aDaemon, const Arrival& aArrival) = 0;
  virtual void OnCallerDisconnected(std::size_t aDaemon,
                                    const std::string& aRequest) = 0;
  virtual void OnLoadReport(std::size_t aDaemon,
                            const std::string& aEndpoint,
                            const LoadReport& aReport) = 0;
  virtual void OnCacheEvents(std::size_t,
                             const std::string&,
                             const std::vector<CacheEvent>&)
  {
  }
};

/** Simulation of one run: engines, links, events and callers. */
class BenchSimulation
{
public:
  BenchSimulation(const PolicyCase& aCase,
                  const EngineModel& aEngine,
                  std::uint64_t aSeed);

  /** Passes all arrivals to aRouter and returns the results. */
  BenchFigures Run(const std::vector<Arrival>& aArrivals, BenchRouter& aRouter);

  EventQueue& Events() { return mEvents; }
  FakeEngine& Engine(const std::string& aName) { return *mEngines.at(aName); }
  BenchMetrics& Metrics() { return mMetrics; }
  const PolicyCase& Case() const { return mCase; }
  const std::map<std::string, Endpoint>& Endpoints() const
  {
    return mEndpoints;
  }

private:
  void ScheduleReports(const std::string& aEndpoint,
                       BenchRouter& aRouter,
                       Instant aEnd);
  void ScheduleFaults();

  PolicyCase mCase;
  Random mRandom;
  EventQueue mEvents;
  FakeLinks mLinks;
  std::map<std::string, Endpoint> mEndpoints;
  std::map<std::string, std::unique_ptr<FakeEngine>> mEngines;
  BenchMetrics mMetrics;
};

} // namespace bulrushfold

#endif
