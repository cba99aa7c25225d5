#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "EnginePool.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTarget = milliseconds(900);
constexpr Duration kPrefillTime = milliseconds(90);
constexpr Duration kDecodeTime = seconds(2);
constexpr std::uint64_t kPromptTokens = 5000;
constexpr std::uint64_t kAnswerTokens = 500;
/** Time after which a refused caller comes back, once. */
constexpr Duration kReturnTime = seconds(1);
/** The users' bound for the time until an overload has no effect any more. */
constexpr Duration kRecovery = seconds(15);
/** Four decode engines have memory for 17 such streams each. */
constexpr double kCapacityPerSecond = 4 * 17 / 2.09;

struct BurstCounts
{
  std::size_t mArrived = 0;
  std::size_t mOnTime = 0;
  std::size_t mLate = 0;
  std::size_t mRefused = 0;
  /** Refused after they had waited. */
  std::size_t mExpired = 0;
};

/** Replays streams at a small pool of engines, in steps of virtual time. */
class BurstReplay
{
public:
  BurstReplay()
  {
    mPool.Add("p3", EndpointRole::Prefill, "x");
    mPool.Add("d3", EndpointRole::Decode, "x");
    mPool.Add("d4", EndpointRole::Decode, "y");
  }

  /** Runs for aSpan with arrivals at aRate a second. */
  BurstCounts Run(Duration aSpan, double aRate)
  {
    mCounts = {};
    const Instant end = mPool.mNow + aSpan;
    double due = 0;
    while (mPool.mNow < end) {
      mPool.mNow += kStep;
      EndWork();
      for (due += aRate * ToSeconds(kStep); due >= 1; due -= 1) {
        ++mCounts.mArrived;
        Arrive(mPool.mNow, false);
      }
      Return();
      Dispatch();
    }
    return mCounts;
  }
  std::size_t Waiting() const { return mPool.mScheduler.WaitingCount(); }

private:
  void Arrive(Instant aFirstArrival, bool aIsRetry)
  {
    StreamDemand demand = mPool.Demand(++mNumber, kPromptTokens, kAnswerTokens);
    demand.mMaxAnswerTokens = 2 * kAnswerTokens;
    demand.mIsRetry = aIsRetry;
    demand.mFirstEventDeadline = aFirstArrival + kTarget;
    if (!aIsRetry && !mPool.mScheduler.Admits(demand, mPool.mNow)) {
      ++mCounts.mRefused;
      mReturns.emplace(mPool.mNow + kReturnTime, mPool.mNow);
      return;
    }
    mDeadlines[mNumber] = demand.mFirstEventDeadline;
    mPool.mScheduler.Submit(std::move(demand));
  }
  void Return()
  {
    while (!mReturns.empty() && mReturns.begin()->first <= mPool.mNow) {
      const Instant firstArrival = mReturns.begin()->second;
      mReturns.erase(mReturns.begin());
      Arrive(firstArrival, true);
    }
  }
  void Dispatch()
  {
    mCounts.mExpired += mPool.mScheduler.RemoveExpired(mPool.mNow).size();
    for (const auto number : mPool.Place()) {
      const Instant begin = mPool.mNow + kPrefillTime;
      ++(begin <= mDeadlines[number] ? mCounts.mOnTime : mCounts.mLate);
      mPrefillEnds.emplace(begin, number);
      mDecodeEnds.emplace(begin + kDecodeTime, number);
    }
  }
  void EndWork()
  {
    auto& scheduler = mPool.mScheduler;
    while (!mPrefillEnds.empty() && mPrefillEnds.begin()->first <= mPool.mNow) {
      const std::uint64_t number = mPrefillEnds.begin()->second;
      scheduler.OnPrefillEnded(number, kPrefillTime);
      scheduler.OnDecodeStarted(number, mPool.mNow);
      mPrefillEnds.erase(mPrefillEnds.begin());
    }
    while (!mDecodeEnds.empty() && mDecodeEnds.begin()->first <= mPool.mNow) {
      scheduler.OnProgress(kAnswerTokens, 1, kDecodeTime);
      scheduler.OnDecodeEnded(mDecodeEnds.begin()->second, mPool.mNow);
      mDecodeEnds.erase(mDecodeEnds.begin());
    }
  }

  EnginePool mPool;
  std::uint64_t mNumber = 0;
  std::map<std::uint64_t, Instant> mDeadlines;
  std::multimap<Instant, std::uint64_t> mPrefillEnds;
  std::multimap<Instant, std::uint64_t> mDecodeEnds;
  /** First arrivals of refused callers, by the time at which they return. */
  std::multimap<Instant, Instant> mReturns;
  BurstCounts mCounts;
};
} // namespace

// Guards against an overload that goes on by itself: streams that wait too long
// to be on time take the engines from those that could be.
TEST_CASE("Streams at 170% of what the engines can run, then at 60%")
{
  BurstReplay replay;
  const BurstCounts calm = replay.Run(seconds(10), 0.6 * kCapacityPerSecond);
  CHECK(calm.mOnTime == calm.mArrived);
  CHECK(calm.mRefused + calm.mExpired == 0);

  const BurstCounts burst = replay.Run(seconds(10), 1.7 * kCapacityPerSecond);
  // An overload does not lower what is served.
  CHECK(burst.mOnTime > calm.mOnTime);

  replay.Run(kRecovery, 0.6 * kCapacityPerSecond);
  CHECK(replay.Waiting() == 0);
  const BurstCounts after = replay.Run(seconds(10), 0.6 * kCapacityPerSecond);
  CHECK(after.mOnTime == after.mArrived);
  CHECK(after.mRefused + after.mExpired == 0);
}

} // namespace bulrushfold
