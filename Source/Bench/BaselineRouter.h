#ifndef BULRUSHFOLD_BENCH_BASELINEROUTER_H
#define BULRUSHFOLD_BENCH_BASELINEROUTER_H

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Random.h"
#include "Bench/BenchSimulation.h"

namespace bulrushfold {

/** Selection rule of a baseline router. */
enum class BaselineKind
{
  RoundRobin,
  /** Fewest queued prefills or running streams in the last load report. */
  LeastLoaded,
  /** The less loaded of two random endpoints, by the last load report plus the
   * daemon's own requests in progress. */
  TwoChoices,
};

/**
 * A router without reservations and admission control. Like a well-configured
 * proxy, it tries other endpoints after a refusal, avoids endpoints after a
 * failure, backs off and repeats lost work a limited number of times.
 */
class BaselineRouter : public BenchRouter
{
public:
  BaselineRouter(BenchSimulation& aSimulation,
                 BaselineKind aKind,
                 std::uint64_t aSeed);

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
    double mOwnRequests = 0;
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
    /** Endpoint whose mOwnRequests includes this request. */
    std::string mCountedAt;
    std::vector<std::string> mTriedEndpoints;
    std::uint32_t mBackoffRounds = 0;
    bool mIsEnded = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  /** Selects an endpoint; empty when all of aPool were tried. */
  std::string Choose(const Call& aCall,
                     const std::vector<std::string>& aPool,
                     bool aIsPrefill);
  double LoadOf(const Daemon& aDaemon,
                const std::string& aName,
                bool aIsPrefill) const;
  void Count(Call& aCall, const std::string& aEndpoint);
  /** Runs aHook after aDelay, unless the call or its attempt ended by then. */
  void Schedule(const CallPointer& aCall,
                Duration aDelay,
                EventQueue::Hook aHook);
  void StartPrefill(const CallPointer& aCall);
  void StartTransfer(const CallPointer& aCall);
  void StartDecode(const CallPointer& aCall);
  void OnPrefillFailed(const CallPointer& aCall, FailureKind aKind);
  void OnTransferFailed(const CallPointer& aCall, FailureKind aKind);
  void Rerun(const CallPointer& aCall);
  void End(const CallPointer& aCall);
  void Avoid(const Call& aCall, const std::string& aEndpoint);

  BenchSimulation& mSimulation;
  BaselineKind mKind;
  Random mRandom;
  std::vector<std::string> mPrefillPool;
  std::vector<std::string> mDecodePool;
  std::vector<Daemon> mDaemons;
  std::unordered_map<std::string, CallPointer> mCalls;
};

} // namespace bulrushfold

#endif
