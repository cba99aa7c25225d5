#include "Base/Random.h"

namespace bulrushfold {

namespace {
constexpr int kHalfWordBits = 32;
} // namespace

std::uint64_t
Random::UniformBelow(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
}

double
Random::UniformReal()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
}

double
Random::Exponential(double aMean)
{
  return std::exponential_distribution<double>(1.0 / aMean)(mEngine);
}

std::uint64_t
SystemSeed()
{
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device());
  return (high << kHalfWordBits) | device();
}

} // namespace bulrushfold
