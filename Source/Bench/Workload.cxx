#include "Bench/Workload.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
constexpr std::size_t kDomains = 3;
constexpr std::size_t kCapacityDraws = 20000;
constexpr std::size_t kHotPrefixes = 4;
constexpr std::uint64_t kHotPrefixTokens = 3072;
// The arrival rate alternates between two levels, as factors of the mean rate.
// The time at each level is random with the given mean.
constexpr double kHighRate = 1.3;
constexpr double kLowRate = 0.85;
constexpr double kHighSeconds = 4;
constexpr double kLowSeconds = 8;
// Some arrivals are groups of requests, as when an office opens several files.
constexpr double kGroupChance = 0.05;
constexpr std::uint64_t kGroupSize = 5;

PolicyCase
VatuCase(const std::string& aName, double aLoad)
{
  PolicyCase result;
  result.mName = aName;
  result.mModel = "summary";
  result.mClass = RequestClass::Interactive;
  result.mPrefillEngines = 3;
  result.mDecodeEngines = 5;
  result.mPrompt = { 600, 1.0, 30, 8000 };
  result.mOutput = { 60, 0.6, 5, 256 };
  result.mFirstTokenTarget = std::chrono::milliseconds(900);
  result.mFirstTokenTimeout = std::chrono::seconds(5);
  result.mSpan = std::chrono::seconds(120);
  result.mLoad = aLoad;
  result.mLinkBytesPerSecond = 4e9;
  return result;
}

PolicyCase
TiefgrundCase(const std::string& aName, double aLoad)
{
  PolicyCase result;
  result.mName = aName;
  result.mModel = "assessment";
  result.mClass = RequestClass::Patient;
  result.mPrefillEngines = 6;
  result.mDecodeEngines = 4;
  result.mPrompt = { 5000, 0.9, 50, 40000 };
  result.mOutput = { 200, 0.6, 20, 800 };
  result.mFirstTokenTarget = std::chrono::seconds(8);
  result.mFirstTokenTimeout = std::chrono::seconds(40);
  result.mSpan = std::chrono::seconds(300);
  result.mLoad = aLoad;
  result.mLinkBytesPerSecond = 8e9;
  return result;
}
} // namespace

std::vector<PolicyCase>
PolicyCases()
{
  std::vector<PolicyCase> cases = {
    TiefgrundCase("tiefgrund-ordinary", 0.5),
    TiefgrundCase("tiefgrund-peak", 0.95),
    VatuCase("vatu-ordinary", 0.5),
    VatuCase("vatu-peak", 0.95),
    VatuCase("overload", 1.5),
    VatuCase("hot-prefix", 0.9),
    VatuCase("stall", 0.7),
    VatuCase("noisy-neighbour", 0.85),
  };
  cases[5].mHotShare = 0.6;
  cases[5].mPrompt = { 1500, 0.8, 30, 8000 };
  cases[6].mHasFaults = true;
  cases[7].mNoisyFactor = 10;
  return cases;
}

std::string
WorkspaceName(std::size_t aIndex)
{
  return "w" + std::to_string(aIndex);
}

std::uint64_t
LengthModel::Draw(Random& aRandom) const
{
  std::lognormal_distribution<double> distribution(std::log(mMedian), mSigma);
  return static_cast<std::uint64_t>(
    std::clamp(distribution(aRandom.Engine()), mMin, mMax));
}

WorkSeconds
SecondsOf(const EngineWork& aWork, const EngineModel& aEngine)
{
  WorkSeconds result;
  result.mPrefill =
    ToSeconds(aEngine.mPrefillOverhead) +
    static_cast<double>(aWork.mPromptTokens) / aEngine.mPrefillTokensPerSecond;
  result.mDecode = static_cast<double>(aWork.mOutputTokens) *
                   aEngine.TokenSeconds(aEngine.mSlots) /
                   static_cast<double>(aEngine.mSlots);
  return result;
}

std::map<std::string, Endpoint>
MakeEndpoints(const PolicyCase& aCase)
{
  std::map<std::string, Endpoint> endpoints;
  const auto count = aCase.mPrefillEngines + aCase.mDecodeEngines;
  for (std::size_t n = 0; n < count; ++n) {
    Endpoint endpoint;
    endpoint.mName = "e" + std::to_string(n);
    endpoint.mFailureDomain = "fd" + std::to_string(n % kDomains);
    endpoint.mLink = "link" + std::to_string(n);
    endpoint.mLinkBytesPerSecond = aCase.mLinkBytesPerSecond;
    endpoint.mModels = { aCase.mModel };
    endpoint.mRole = EngineRole::Decode;
    if (n < aCase.mPrefillEngines) {
      endpoint.mRole =
        aCase.mHasFaults ? EngineRole::Both : EngineRole::Prefill;
    }
    endpoints[endpoint.mName] = endpoint;
  }
  return endpoints;
}

namespace {
EngineWork
DrawWork(const PolicyCase& aCase, Random& aRandom)
{
  EngineWork work;
  work.mPromptTokens = aCase.mPrompt.Draw(aRandom);
  work.mOutputTokens = aCase.mOutput.Draw(aRandom);
  work.mMaxTokens = static_cast<std::uint64_t>(aCase.mOutput.mMax);
  const bool isHot = aRandom.Bernoulli(aCase.mHotShare);
  const std::uint64_t prefix =
    isHot ? 1 + aRandom.UniformBelow(kHotPrefixes) : aRandom.Bits();
  if (isHot) {
    work.mPromptTokens = std::max(work.mPromptTokens, kHotPrefixTokens + 30);
  }
  for (std::uint64_t n = kPrefixStepTokens;
       n <= std::min(work.mPromptTokens, kHotPrefixTokens);
       n += kPrefixStepTokens) {
    work.mPrefixes.push_back({ prefix * 1000003 + n, n });
  }
  return work;
}

/** Requests a second that the engines of aCase can serve without cached
 * prefixes, which is the capacity with the least favourable routing. */
double
Capacity(const PolicyCase& aCase, const EngineModel& aEngine)
{
  Random random(1);
  WorkSeconds mean;
  for (std::size_t n = 0; n < kCapacityDraws; ++n) {
    const auto seconds = SecondsOf(DrawWork(aCase, random), aEngine);
    mean.mPrefill += seconds.mPrefill / kCapacityDraws;
    mean.mDecode += seconds.mDecode / kCapacityDraws;
  }
  return std::min(static_cast<double>(aCase.mPrefillEngines) / mean.mPrefill,
                  static_cast<double>(aCase.mDecodeEngines) / mean.mDecode);
}

/** Adds the arrivals of one workspace at aRate requests a second. */
void
AddWorkspace(const PolicyCase& aCase,
             std::size_t aWorkspace,
             double aRate,
             const std::vector<std::pair<double, double>>& aLevels,
             std::uint64_t aSeed,
             std::vector<Arrival>& aArrivals)
{
  Random random(aSeed * 1000 + aWorkspace);
  const double groups = 1 + kGroupChance * static_cast<double>(kGroupSize - 1);
  const double end = ToSeconds(aCase.mSpan);
  std::size_t level = 0;
  for (double at = 0;;) {
    at += random.Exponential(groups / (aRate * aLevels[level].second));
    while (level + 1 < aLevels.size() && at >= aLevels[level].first) {
      ++level;
    }
    if (at >= end) {
      return;
    }
    const std::uint64_t n = random.Bernoulli(kGroupChance) ? kGroupSize : 1;
    for (std::uint64_t i = 0; i < n; ++i) {
      Arrival arrival;
      arrival.mAt = FromSeconds(at);
      arrival.mWorkspace = aWorkspace;
      arrival.mWork = DrawWork(aCase, random);
      arrival.mWork.mRequest =
        WorkspaceName(aWorkspace) + "-" + std::to_string(aArrivals.size());
      aArrivals.push_back(arrival);
    }
  }
}
} // namespace

std::vector<Arrival>
MakeArrivals(const PolicyCase& aCase,
             const EngineModel& aEngine,
             std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<std::pair<double, double>> levels;
  bool isHigh = random.Bernoulli(kHighSeconds / (kHighSeconds + kLowSeconds));
  for (double at = 0; at < ToSeconds(aCase.mSpan); isHigh = !isHigh) {
    at += random.Exponential(isHigh ? kHighSeconds : kLowSeconds);
    levels.emplace_back(at, isHigh ? kHighRate : kLowRate);
  }
  const double rate =
    aCase.mLoad * Capacity(aCase, aEngine) / static_cast<double>(kWorkspaces);
  std::vector<Arrival> arrivals;
  for (std::size_t n = 0; n < kWorkspaces; ++n) {
    const double factor = n == 0 ? aCase.mNoisyFactor : 1;
    AddWorkspace(aCase, n, rate * factor, levels, aSeed, arrivals);
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.mAt < aRight.mAt;
                   });
  return arrivals;
}

} // namespace bulrushfold
