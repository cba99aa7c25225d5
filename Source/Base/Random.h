#ifndef BULRUSHFOLD_BASE_RANDOM_H
#define BULRUSHFOLD_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace bulrushfold {

/**
 * Seeded random generator. Classes receive it through the constructor, so that
 * one seed fixes a whole run.
 */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /** 64 uniformly distributed bits. */
  std::uint64_t Bits() { return mEngine(); }
  /** Uniform integer in [0, aBound); aBound must be positive. */
  std::uint64_t UniformBelow(std::uint64_t aBound);
  /** Uniform real number in [0, 1). */
  double UniformReal();
  /** True with probability aProbability. */
  bool Bernoulli(double aProbability) { return UniformReal() < aProbability; }
  /** Exponentially distributed value with mean aMean. */
  double Exponential(double aMean);
  /** Access for distributions of the standard library. */
  std::mt19937_64& Engine() { return mEngine; }

private:
  std::mt19937_64 mEngine;
};

/** A seed from the operating system's random device. */
std::uint64_t SystemSeed();

} // namespace bulrushfold

#endif
