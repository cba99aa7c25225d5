#ifndef BULRUSHFOLD_BENCH_BENCHMETRICS_H
#define BULRUSHFOLD_BENCH_BENCHMETRICS_H

#include <string>
#include <unordered_map>
#include <vector>

#include "Bench/Workload.h"

namespace bulrushfold {

/** Figures of one run. */
struct BenchFigures
{
  /** Work within both targets, in engine seconds per second. */
  double mGoodput = 0;
  double mGoodputOfOracle = 0;
  /** Share of the requests that were within both targets. */
  double mGoodRequests = 0;
  double mWastedPrefill = 0;
  double mFirstTokenP95 = 0;
  double mTokenP95 = 0;
  /** Share of the requests that got no whole answer. */
  double mRefused = 0;
  /** Jain's index over the workspaces of goodput per entitled work. */
  double mFairness = 0;
  /** Goodput of all workspaces but the first. */
  double mOthersGoodput = 0;
};

/** Follows the requests of one run. */
class BenchMetrics
{
public:
  BenchMetrics(const PolicyCase& aCase, const EngineModel& aEngine);

  void OnArrival(const Arrival& aArrival, Instant aNow);
  void OnFirstToken(const std::string& aRequest, Instant aNow);
  void OnFinished(const std::string& aRequest, Instant aNow);
  /** True when the request has neither a first token nor an end. */
  bool IsWaiting(const std::string& aRequest) const;

  /** aComputed, aUsed: prompt tokens computed and used by decodes. */
  BenchFigures Result(double aComputed, double aUsed) const;

private:
  struct Record
  {
    std::size_t mWorkspace = 0;
    WorkSeconds mWork;
    std::uint64_t mTokens = 0;
    Instant mArrival;
    Instant mFirst;
    Instant mEnd;
    bool mHasFirst = false;
    bool mHasEnd = false;
  };
  double TokenSeconds(const Record& aRecord) const;
  bool IsGood(const Record& aRecord) const;
  /** The most work that the engines could have done. */
  double Oracle() const;
  double Fairness(const std::vector<double>& aGood,
                  const std::vector<double>& aOffered) const;

  PolicyCase mCase;
  EngineModel mEngine;
  std::unordered_map<std::string, Record> mRecords;
};

} // namespace bulrushfold

#endif
