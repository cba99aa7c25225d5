#ifndef BULRUSHFOLD_BENCH_BENCHMETRICS_H
#define BULRUSHFOLD_BENCH_BENCHMETRICS_H

#include <string>
#include <unordered_map>
#include <vector>

#include "Bench/Workload.h"

namespace bulrushfold {

/** Results of one run. */
struct BenchFigures
{
  /** Work within both targets, in engine seconds per second. */
  double mGoodput = 0;
  double mGoodputOfOracle = 0;
  /** Fraction of the requests within both targets. */
  double mGoodRequests = 0;
  double mWastedPrefill = 0;
  double mFirstTokenP95 = 0;
  double mTokenP95 = 0;
  /** Fraction of the requests without a complete answer. */
  double mRefused = 0;
  /** Jain's index over the workspaces of goodput per entitled work. */
  double mFairness = 0;
  /** Goodput of all workspaces but the first. */
  double mOthersGoodput = 0;
};

/** Records the progress of all requests of one run. */
class BenchMetrics
{
public:
  BenchMetrics(const PolicyCase& aCase, const EngineModel& aEngine);

  void OnArrival(const Arrival& aArrival, Instant aNow);
  void OnFirstToken(const std::string& aRequest, Instant aNow);
  void OnFinished(const std::string& aRequest, Instant aNow);
  /** True while the request has neither received a token nor finished. */
  bool IsWaiting(const std::string& aRequest) const;

  /** aComputed: prompt tokens computed; aUsed: those that a decode used. */
  BenchFigures Result(double aComputed, double aUsed) const;

private:
  struct Record
  {
    std::size_t mWorkspace = 0;
    WorkSeconds mWork;
    std::uint64_t mTokens = 0;
    Instant mArrival;
    Instant mFirstTokenAt;
    Instant mFinishedAt;
    bool mHasFirstToken = false;
    bool mIsFinished = false;
  };
  double TokenSeconds(const Record& aRecord) const;
  bool IsGood(const Record& aRecord) const;
  /** Maximum work that the engines could have done, in engine seconds. */
  double Oracle() const;
  double Fairness(const std::vector<double>& aGood,
                  const std::vector<double>& aOffered) const;

  PolicyCase mCase;
  EngineModel mEngine;
  std::unordered_map<std::string, Record> mRecords;
};

} // namespace bulrushfold

#endif
