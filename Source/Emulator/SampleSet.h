#ifndef BULRUSHFOLD_EMULATOR_SAMPLESET_H
#define BULRUSHFOLD_EMULATOR_SAMPLESET_H

#include <cstddef>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace bulrushfold {

/** Samples with exact quantiles, for a limited number of samples. */
class SampleSet
{
public:
  explicit SampleSet(std::size_t aMaxSamples);

  void Add(double aSample) { mSamples(aSample); }
  std::size_t Count() const;
  /** Quantile for aProbability from 0 to 1; 0 when there are no samples. */
  double Quantile(double aProbability) const;

private:
  using Right = boost::accumulators::right;
  using Tag = boost::accumulators::tag::tail_quantile<Right>;
  boost::accumulators::accumulator_set<double, boost::accumulators::stats<Tag>>
    mSamples;
};

} // namespace bulrushfold

#endif
