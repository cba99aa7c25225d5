#include "Bench/BaselineRouter.h"

#include <algorithm>

namespace bulrushfold {

namespace {
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kBackoffDelay = std::chrono::milliseconds(100);
constexpr Duration kSlotRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kAvoidTime = std::chrono::seconds(2);
constexpr std::uint32_t kMaxBackoffRounds = 5;
constexpr std::uint32_t kMaxAttempts = 3;
} // namespace

BaselineRouter::BaselineRouter(BenchSimulation& aSimulation,
                               BaselineKind aKind,
                               std::uint64_t aSeed)
  : mSimulation(aSimulation)
  , mKind(aKind)
  , mRandom(aSeed)
  , mDaemons(kDaemons)
{
  for (const auto& [name, endpoint] : aSimulation.Endpoints()) {
    auto& pool = endpoint.CanPrefill() ? mPrefillPool : mDecodePool;
    pool.push_back(name);
  }
  for (auto& it : mDaemons) {
    it.mNextPrefill = mRandom.UniformBelow(mPrefillPool.size());
    it.mNextDecode = mRandom.UniformBelow(mDecodePool.size());
  }
}

void
BaselineRouter::OnLoadReport(std::size_t aDaemon,
                             const std::string& aEndpoint,
                             const LoadReport& aReport)
{
  mDaemons[aDaemon].mTargets[aEndpoint].mReport = aReport;
}

void
BaselineRouter::OnArrival(std::size_t aDaemon, const Arrival& aArrival)
{
  auto call = std::make_shared<Call>();
  call->mWork = aArrival.mWork;
  call->mWork.mAttempt = 1;
  call->mDaemon = aDaemon;
  mCalls[call->mWork.mRequest] = call;
  StartPrefill(call);
}

void
BaselineRouter::OnCallerDisconnected(std::size_t, const std::string& aRequest)
{
  const auto it = mCalls.find(aRequest);
  if (it == mCalls.end()) {
    return;
  }
  const CallPointer call = it->second;
  for (const auto& name : { call->mPrefill, call->mDecode }) {
    if (!name.empty()) {
      mSimulation.Engine(name).Cancel(aRequest, call->mWork.mAttempt);
    }
  }
  End(call);
}

void
BaselineRouter::End(const CallPointer& aCall)
{
  Count(*aCall, "");
  aCall->mIsEnded = true;
  mCalls.erase(aCall->mWork.mRequest);
}

void
BaselineRouter::Count(Call& aCall, const std::string& aEndpoint)
{
  auto& targets = mDaemons[aCall.mDaemon].mTargets;
  if (!aCall.mCountedAt.empty()) {
    targets[aCall.mCountedAt].mOwnRequests -= 1;
  }
  aCall.mCountedAt = aEndpoint;
  if (!aEndpoint.empty()) {
    targets[aEndpoint].mOwnRequests += 1;
  }
}

void
BaselineRouter::Schedule(const CallPointer& aCall,
                         Duration aDelay,
                         EventQueue::Hook aHook)
{
  mSimulation.Events().After(
    aDelay, [aCall, attempt = aCall->mWork.mAttempt, hook = std::move(aHook)] {
      if (!aCall->mIsEnded && attempt == aCall->mWork.mAttempt) {
        hook();
      }
    });
}

double
BaselineRouter::LoadOf(const Daemon& aDaemon,
                       const std::string& aName,
                       bool aIsPrefill) const
{
  const auto it = aDaemon.mTargets.find(aName);
  if (it == aDaemon.mTargets.end()) {
    return 0;
  }
  const LoadReport& report = it->second.mReport;
  const auto load =
    static_cast<double>(aIsPrefill ? report.mQueued : report.mRunning);
  return mKind == BaselineKind::TwoChoices ? load + it->second.mOwnRequests
                                           : load;
}

std::string
BaselineRouter::Choose(const Call& aCall,
                       const std::vector<std::string>& aPool,
                       bool aIsPrefill)
{
  Daemon& daemon = mDaemons[aCall.mDaemon];
  std::vector<std::string> candidates;
  std::vector<std::string> healthy;
  for (const auto& it : aPool) {
    if (std::find(aCall.mTriedEndpoints.begin(),
                  aCall.mTriedEndpoints.end(),
                  it) != aCall.mTriedEndpoints.end()) {
      continue;
    }
    candidates.push_back(it);
    if (daemon.mTargets[it].mAvoidUntil <= mSimulation.Events().Now()) {
      healthy.push_back(it);
    }
  }
  auto& names = healthy.empty() ? candidates : healthy;
  if (names.empty()) {
    return "";
  }
  if (mKind == BaselineKind::RoundRobin) {
    auto& next = aIsPrefill ? daemon.mNextPrefill : daemon.mNextDecode;
    return names[next++ % names.size()];
  }
  std::shuffle(names.begin(), names.end(), mRandom.Engine());
  if (mKind == BaselineKind::TwoChoices && names.size() > 2) {
    names.resize(2);
  }
  return *std::min_element(
    names.begin(), names.end(), [&](const auto& aLeft, const auto& aRight) {
      return LoadOf(daemon, aLeft, aIsPrefill) <
             LoadOf(daemon, aRight, aIsPrefill);
    });
}

void
BaselineRouter::Avoid(const Call& aCall, const std::string& aEndpoint)
{
  mDaemons[aCall.mDaemon].mTargets[aEndpoint].mAvoidUntil =
    mSimulation.Events().Now() + kAvoidTime;
}

void
BaselineRouter::StartPrefill(const CallPointer& aCall)
{
  aCall->mDecode.clear();
  aCall->mPrefill = Choose(*aCall, mPrefillPool, true);
  if (aCall->mPrefill.empty()) {
    aCall->mTriedEndpoints.clear();
    if (++aCall->mBackoffRounds > kMaxBackoffRounds) {
      End(aCall);
      return;
    }
    Schedule(aCall, kBackoffDelay, [this, aCall] { StartPrefill(aCall); });
    return;
  }
  Count(*aCall, aCall->mPrefill);
  Schedule(aCall, kNetworkDelay, [this, aCall] {
    mSimulation.Engine(aCall->mPrefill)
      .Prefill(
        aCall->mWork,
        [this, aCall](std::uint64_t) {
          Schedule(aCall, kNetworkDelay, [this, aCall] {
            aCall->mTriedEndpoints.clear();
            aCall->mBackoffRounds = 0;
            StartTransfer(aCall);
          });
        },
        [this, aCall](FailureKind aKind) {
          Schedule(aCall, kNetworkDelay, [this, aCall, aKind] {
            OnPrefillFailed(aCall, aKind);
          });
        });
  });
}

void
BaselineRouter::OnPrefillFailed(const CallPointer& aCall, FailureKind aKind)
{
  if (aKind == FailureKind::Lost) {
    Avoid(*aCall, aCall->mPrefill);
  }
  aCall->mTriedEndpoints.push_back(aCall->mPrefill);
  StartPrefill(aCall);
}

void
BaselineRouter::StartTransfer(const CallPointer& aCall)
{
  aCall->mDecode = Choose(*aCall, mDecodePool, false);
  if (aCall->mDecode.empty()) {
    aCall->mTriedEndpoints.clear();
    Schedule(aCall, kBackoffDelay, [this, aCall] { StartTransfer(aCall); });
    return;
  }
  Count(*aCall, aCall->mDecode);
  Schedule(aCall, kNetworkDelay, [this, aCall] {
    mSimulation.Engine(aCall->mDecode)
      .Import(
        aCall->mWork,
        mSimulation.Engine(aCall->mPrefill),
        [this, aCall](double) {
          Schedule(aCall, kNetworkDelay, [this, aCall] { StartDecode(aCall); });
        },
        [this, aCall](FailureKind aKind) {
          Schedule(aCall, kNetworkDelay, [this, aCall, aKind] {
            OnTransferFailed(aCall, aKind);
          });
        });
  });
}

void
BaselineRouter::OnTransferFailed(const CallPointer& aCall, FailureKind aKind)
{
  if (aKind == FailureKind::Evicted) {
    Rerun(aCall);
    return;
  }
  if (aKind != FailureKind::NoMemory) {
    Avoid(*aCall, aCall->mDecode);
  }
  aCall->mTriedEndpoints.push_back(aCall->mDecode);
  StartTransfer(aCall);
}

void
BaselineRouter::StartDecode(const CallPointer& aCall)
{
  const auto& id = aCall->mWork.mRequest;
  mSimulation.Engine(aCall->mDecode)
    .Decode(
      aCall->mWork,
      [this, aCall, id] {
        Schedule(aCall, kNetworkDelay, [this, id] {
          mSimulation.Metrics().OnFirstToken(id, mSimulation.Events().Now());
        });
      },
      [this, aCall, id] {
        Schedule(aCall, kNetworkDelay, [this, aCall, id] {
          mSimulation.Metrics().OnFinished(id, mSimulation.Events().Now());
          End(aCall);
        });
      },
      [this, aCall](FailureKind aKind) {
        if (aKind == FailureKind::NoSlot) {
          Schedule(
            aCall, kSlotRetryDelay, [this, aCall] { StartDecode(aCall); });
          return;
        }
        Schedule(aCall, kNetworkDelay, [this, aCall] {
          Avoid(*aCall, aCall->mDecode);
          Rerun(aCall);
        });
      });
}

void
BaselineRouter::Rerun(const CallPointer& aCall)
{
  if (aCall->mWork.mAttempt >= kMaxAttempts) {
    End(aCall);
    return;
  }
  ++aCall->mWork.mAttempt;
  aCall->mTriedEndpoints.clear();
  StartPrefill(aCall);
}

} // namespace bulrushfold
