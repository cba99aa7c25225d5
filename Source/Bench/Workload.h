#ifndef BULRUSHFOLD_BENCH_WORKLOAD_H
#define BULRUSHFOLD_BENCH_WORKLOAD_H

#include <map>
#include <string>
#include <vector>

#include "Base/Random.h"
#include "Bench/FakeEngine.h"

namespace bulrushfold {

/** Log-normal distribution of token counts, clamped to mMin and mMax. */
struct LengthModel
{
  double mMedian = 0;
  double mSigma = 0;
  double mMin = 0;
  double mMax = 0;

  std::uint64_t Draw(Random& aRandom) const;
};

/** One named bench case. */
struct PolicyCase
{
  std::string mName;
  std::string mModel;
  RequestClass mClass = RequestClass::Interactive;
  std::size_t mPrefillEngines = 0;
  std::size_t mDecodeEngines = 0;
  LengthModel mPrompt;
  LengthModel mOutput;
  Duration mFirstTokenTarget{};
  Duration mTokenTarget = std::chrono::milliseconds(40);
  /** A caller that has no first token after this time disconnects. */
  Duration mFirstTokenTimeout{};
  Duration mSpan{};
  /** Offered work as a fraction of the capacity. */
  double mLoad = 0;
  double mLinkBytesPerSecond = 0;
  /** Fraction of the prompts that begin with one of a few long prefixes. */
  double mHotShare = 0;
  bool mHasFaults = false;
  /** Requests of the first workspace, as a multiple of its fair share. */
  double mNoisyFactor = 1;
};

/** All cases, in the order of their output. */
std::vector<PolicyCase> PolicyCases();

/** One request of a bench run. */
struct Arrival
{
  Duration mAt{};
  std::size_t mWorkspace = 0;
  EngineWork mWork;
};

constexpr std::size_t kWorkspaces = 6;

/** Name of workspace aIndex. */
std::string WorkspaceName(std::size_t aIndex);

/** Prefill and decode engine time that a request needs, in seconds. The decode
 * time is that of a full batch. */
struct WorkSeconds
{
  double mPrefill = 0;
  double mDecode = 0;
  double Sum() const { return mPrefill + mDecode; }
};
WorkSeconds SecondsOf(const EngineWork& aWork, const EngineModel& aEngine);

/** The engines of aCase with their failure domains and links. */
std::map<std::string, Endpoint> MakeEndpoints(const PolicyCase& aCase);

/** Bursty arrivals during aCase.mSpan. The arrivals of all workspaces except
 * the first do not depend on aCase.mNoisyFactor. */
std::vector<Arrival> MakeArrivals(const PolicyCase& aCase,
                                  const EngineModel& aEngine,
                                  std::uint64_t aSeed);

} // namespace bulrushfold

#endif
