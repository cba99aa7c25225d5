#ifndef BULRUSHFOLD_OUTCOME_METRICS_H
#define BULRUSHFOLD_OUTCOME_METRICS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Outcome/LatencyHistogram.h"
#include "Outcome/LatencySummary.h"

namespace bulrushfold {

/** A metric that only increases. */
class Counter
{
public:
  void Add(std::uint64_t aCount = 1) { mValue += aCount; }
  std::uint64_t Value() const { return mValue; }

private:
  std::uint64_t mValue = 0;
};

/** A metric that can increase and decrease. */
class Gauge
{
public:
  void Set(double aValue) { mValue = aValue; }
  void Add(double aValue) { mValue += aValue; }
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

/** Name, help text and label names of a metric. */
struct MetricInfo
{
  /** Starts with "bulrushfold_"; follows the Prometheus naming convention. */
  std::string mName;
  std::string mHelp;
  std::vector<std::string> mLabelNames;
};

/** Values of the labels, in the order of MetricInfo::mLabelNames. */
using LabelValues = std::vector<std::string>;

/** Label value of the series that collects all label sets over the limit. */
constexpr std::string_view kOtherLabel = "other";

/**
 * Metrics of one daemon, formatted in the Prometheus text format. A metric is
 * created at its first use. The returned references stay valid as long as the
 * Metrics object, so code on the request path looks each metric up only once.
 *
 * A metric has at most aMaxSeries label sets. Further sets share one series
 * whose label values are all "other", so that untrusted label values cannot
 * exhaust the memory.
 */
class Metrics
{
public:
  explicit Metrics(std::size_t aMaxSeries = 512);
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /**
   * Returns the series of metric aInfo.mName with label values aLabels.
   * Missing label values are empty, superfluous ones are ignored. The first use
   * of a name determines the kind of the metric; a request for another kind
   * returns a series that Format omits.
   */
  Counter& GetCounter(const MetricInfo& aInfo, const LabelValues& aLabels = {});
  Gauge& GetGauge(const MetricInfo& aInfo, const LabelValues& aLabels = {});
  LatencyHistogram& GetHistogram(const MetricInfo& aInfo,
                                 const LabelValues& aLabels = {});
  LatencySummary& GetSummary(const MetricInfo& aInfo,
                             const LabelValues& aLabels = {});

  /**
   * Formats the body of /metrics, of content type text/plain; version=0.0.4.
   */
  std::string Format(Instant aNow) const;

private:
  template<typename Series>
  struct Family
  {
    MetricInfo mInfo;
    std::map<LabelValues, std::unique_ptr<Series>> mSeries;
  };
  template<typename Series>
  using Families = std::map<std::string, Family<Series>>;

  template<typename Series>
  Series& GetSeries(Families<Series>& aFamilies,
                    const MetricInfo& aInfo,
                    const LabelValues& aLabels);

  std::size_t mMaxSeries;
  std::map<std::string, const void*> mKindOfName;
  Families<Counter> mCounters;
  Families<Gauge> mGauges;
  Families<LatencyHistogram> mHistograms;
  Families<LatencySummary> mSummaries;
  Counter mDiscardedCounter;
  Gauge mDiscardedGauge;
  LatencyHistogram mDiscardedHistogram;
  LatencySummary mDiscardedSummary;
};

} // namespace bulrushfold

#endif
