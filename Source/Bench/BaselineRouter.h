#ifndef BULRUSHFOLD_BENCH_BASELINEROUTER_H
#define BULRUSHFOLD_BENCH_BASELINEROUTER_H

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Random.h"
#include "Bench/BenchWorld.h"

namespace bulrushfold {

/** How a baseline chooses an endpoint. */
enum class BaselineKind
{
  RoundRobin,
  /** Least queued prefills or running streams in the last report. */
  LeastLoaded,
  /** The better of two random ones by the last report and the daemon's own
   * work in progress. */
  TwoChoices,
};

/**
 * A router without reservations and admission. Like any careful proxy it tries
 * other endpoints after a refusal, avoids endpoints that just failed, backs off
 * and reruns lost work a bounded number of times.
 */
class BaselineRouter : public BenchRouter
{
public:
  BaselineRouter(BenchWorld& aWorld, BaselineKind aKind, std::uint64_t aSeed);

  void OnArrival(std::size_t aDaemon, const Arrival& aArrival) override;
  void OnCallerDisconnected(std::size_t aDaemon,
                            const std::string& aRequest) override;
  void OnLoadReport(std::size_t aDaemon,
                    const std::string& aEndpoint,
                    const LoadReport& aReport) override;

private:
  struct Target
  {
    LoadReport mReport;
    double mOwn = 0;
    Instant mAvoidUntil;
  };
  struct Daemon
  {
    std::unordered_map<std::string, Target> mTargets;
    std::size_t mNextPrefill = 0;
    std::size_t mNextDecode = 0;
  };
  struct Call
  {
    EngineWork mWork;
    std::size_t mDaemon = 0;
    std::string mPrefill;
    std::string mDecode;
    /** Endpoint that counts the request as own work. */
    std::string mCountedAt;
    std::vector<std::string> mTried;
    std::uint32_t mRounds = 0;
    bool mIsGone = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  /** Empty when all of aPool was tried. */
  std::string Choose(const Call& aCall,
                     const std::vector<std::string>& aPool,
                     bool aIsPrefill);
  double LoadOf(const Daemon& aDaemon,
                const std::string& aName,
                bool aIsPrefill) const;
  void Count(Call& aCall, const std::string& aEndpoint);
  /** Runs aHook after the network delay, unless the caller is gone. */
  void Later(const CallPointer& aCall, Duration aDelay, EventQueue::Hook aHook);
  void StartPrefill(const CallPointer& aCall);
  void StartTransfer(const CallPointer& aCall);
  void StartDecode(const CallPointer& aCall);
  void OnPrefillFailed(const CallPointer& aCall, FailureKind aKind);
  void OnTransferFailed(const CallPointer& aCall, FailureKind aKind);
  void Rerun(const CallPointer& aCall);
  void End(const CallPointer& aCall);
  void Avoid(const Call& aCall, const std::string& aEndpoint);

  BenchWorld& mWorld;
  BaselineKind mKind;
  Random mRandom;
  std::vector<std::string> mPrefillPool;
  std::vector<std::string> mDecodePool;
  std::vector<Daemon> mDaemons;
  std::unordered_map<std::string, CallPointer> mCalls;
};

} // namespace bulrushfold

#endif
