#include "Bench/BenchMetrics.h"

#include <algorithm>
#include <numeric>

namespace bulrushfold {

namespace {
double
Percentile95(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const std::size_t n = (aValues.size() - 1) * 95 / 100;
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(n),
                   aValues.end());
  return aValues[n];
}
} // namespace

BenchMetrics::BenchMetrics(const PolicyCase& aCase, const EngineModel& aEngine)
  : mCase(aCase)
  , mEngine(aEngine)
{
}

void
BenchMetrics::OnArrival(const Arrival& aArrival, Instant aNow)
{
  Record record;
  record.mWorkspace = aArrival.mWorkspace;
  record.mWork = SecondsOf(aArrival.mWork, mEngine);
  record.mTokens = aArrival.mWork.mOutputTokens;
  record.mArrival = aNow;
  mRecords[aArrival.mWork.mRequest] = record;
}

void
BenchMetrics::OnFirstToken(const std::string& aRequest, Instant aNow)
{
  Record& record = mRecords.at(aRequest);
  if (!record.mHasFirstToken) {
    record.mHasFirstToken = true;
    record.mFirstTokenAt = aNow;
  }
}

void
BenchMetrics::OnFinished(const std::string& aRequest, Instant aNow)
{
  Record& record = mRecords.at(aRequest);
  record.mIsFinished = true;
  record.mFinishedAt = aNow;
}

bool
BenchMetrics::IsWaiting(const std::string& aRequest) const
{
  const Record& record = mRecords.at(aRequest);
  return !record.mHasFirstToken && !record.mIsFinished;
}

double
BenchMetrics::TokenSeconds(const Record& aRecord) const
{
  return aRecord.mTokens < 2
           ? 0
           : ToSeconds(aRecord.mFinishedAt - aRecord.mFirstTokenAt) /
               static_cast<double>(aRecord.mTokens - 1);
}

bool
BenchMetrics::IsGood(const Record& aRecord) const
{
  return aRecord.mIsFinished &&
         aRecord.mFirstTokenAt - aRecord.mArrival <= mCase.mFirstTokenTarget &&
         TokenSeconds(aRecord) <= ToSeconds(mCase.mTokenTarget);
}

double
BenchMetrics::Oracle() const
{
  WorkSeconds offered;
  for (const auto& [id, record] : mRecords) {
    offered.mPrefill += record.mWork.mPrefill;
    offered.mDecode += record.mWork.mDecode;
  }
  const double span = ToSeconds(mCase.mSpan);
  return std::min(offered.mPrefill,
                  span * static_cast<double>(mCase.mPrefillEngines)) +
         std::min(offered.mDecode,
                  span * static_cast<double>(mCase.mDecodeEngines));
}

double
BenchMetrics::Fairness(const std::vector<double>& aGood,
                       const std::vector<double>& aOffered) const
{
  // A workspace is entitled to the work that it offers, up to an equal share of
  // the maximum work.
  const double equalShare = Oracle() / static_cast<double>(kWorkspaces);
  double sum = 0;
  double squares = 0;
  for (std::size_t n = 0; n < kWorkspaces; ++n) {
    const double entitled = std::min(aOffered[n], equalShare);
    const double received =
      entitled > 0 ? std::min(1.0, aGood[n] / entitled) : 1;
    sum += received;
    squares += received * received;
  }
  return squares > 0 ? sum * sum / (squares * kWorkspaces) : 0;
}

BenchFigures
BenchMetrics::Result(double aComputed, double aUsed) const
{
  std::vector<double> good(kWorkspaces);
  std::vector<double> offered(kWorkspaces);
  std::vector<double> firstTokens;
  std::vector<double> tokens;
  double goodCount = 0;
  double answered = 0;
  for (const auto& [id, record] : mRecords) {
    offered[record.mWorkspace] += record.mWork.Sum();
    if (record.mHasFirstToken) {
      firstTokens.push_back(ToSeconds(record.mFirstTokenAt - record.mArrival));
    }
    if (record.mIsFinished) {
      answered += 1;
      tokens.push_back(TokenSeconds(record));
    }
    if (IsGood(record)) {
      good[record.mWorkspace] += record.mWork.Sum();
      goodCount += 1;
    }
  }
  const double total = std::accumulate(good.begin(), good.end(), 0.0);
  const double span = ToSeconds(mCase.mSpan);
  const auto count = static_cast<double>(mRecords.size());
  BenchFigures figures;
  figures.mGoodput = total / span;
  figures.mGoodputOfOracle = total / Oracle();
  figures.mGoodRequests = goodCount / count;
  figures.mWastedPrefill = aComputed > 0 ? 1 - aUsed / aComputed : 0;
  figures.mFirstTokenP95 = Percentile95(firstTokens);
  figures.mTokenP95 = Percentile95(tokens);
  figures.mRefused = 1 - answered / count;
  figures.mFairness = Fairness(good, offered);
  figures.mOthersGoodput = (total - good[0]) / span;
  return figures;
}

} // namespace bulrushfold
