#include "Emulator/SampleSet.h"

namespace bulrushfold {

namespace acc = boost::accumulators;

SampleSet::SampleSet(std::size_t aMaxSamples)
  : mSamples(acc::tag::tail<Right>::cache_size = aMaxSamples)
{
}

std::size_t
SampleSet::Count() const
{
  return acc::count(mSamples);
}

double
SampleSet::Quantile(double aProbability) const
{
  if (Count() == 0) {
    return 0;
  }
  return acc::quantile(mSamples, acc::quantile_probability = aProbability);
}

} // namespace bulrushfold
