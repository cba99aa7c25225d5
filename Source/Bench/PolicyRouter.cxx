#include "Bench/PolicyRouter.h"

namespace bulrushfold {

namespace {
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kPeerMessageDelay = std::chrono::microseconds(1500);
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
} // namespace

PolicyRouter::Daemon::Daemon(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mPolicy(PolicyOptions(), mRandom)
  , mOwner(LedgerOptions())
{
}

PolicyRouter::PolicyRouter(BenchSimulation& aSimulation,
                           bool aHasOwners,
                           std::uint64_t aSeed)
  : mSimulation(aSimulation)
  , mHasOwners(aHasOwners)
{
  for (std::size_t n = 0; n < kDaemons; ++n) {
    mDaemons.push_back(std::make_unique<Daemon>(aSeed * kDaemons + n));
    mDaemons[n]->mPolicy.SetPreset(MakePreset());
    mDaemons[n]->mPolicy.SetEndpoints(aSimulation.Endpoints());
    mDaemons[n]->mOwner.SetPreset(MakePreset());
    mSimulation.Events().After(kTickInterval, [this, n] { Tick(n); });
  }
  for (const auto& [name, endpoint] : aSimulation.Endpoints()) {
    mDaemons[OwnerOf(name)]->mOwner.Acquire(
      name, 1, aSimulation.Events().Now());
  }
}

Preset
PolicyRouter::MakePreset() const
{
  const PolicyCase& policyCase = mSimulation.Case();
  Preset preset;
  preset.mFirstTokenTarget = policyCase.mFirstTokenTarget;
  preset.mTokenTarget = policyCase.mTokenTarget;
  preset.mMaxPatientWait = policyCase.mFirstTokenTarget;
  return preset;
}

std::size_t
PolicyRouter::OwnerOf(const std::string& aEndpoint) const
{
  return std::stoul(aEndpoint.substr(1)) % kDaemons;
}

void
PolicyRouter::Send(std::size_t aFrom, std::size_t aTo, EventQueue::Hook aHook)
{
  mSimulation.Events().After(
    aFrom == aTo ? Duration::zero() : kPeerMessageDelay, std::move(aHook));
}

void
PolicyRouter::Tick(std::size_t aDaemon)
{
  const Instant now = mSimulation.Events().Now();
  mDaemons[aDaemon]->mOwner.Tick(now);
  Execute(aDaemon, mDaemons[aDaemon]->mPolicy.Tick(now));
  mSimulation.Events().After(kTickInterval, [this, aDaemon] { Tick(aDaemon); });
}

void
PolicyRouter::OnArrival(std::size_t aDaemon, const Arrival& aArrival)
{
  const EngineWork& work = aArrival.mWork;
  const PolicyCase& policyCase = mSimulation.Case();
  mWorks[work.mRequest] = work;
  ModelRequest request;
  request.mId = work.mRequest;
  request.mWorkspace = WorkspaceName(aArrival.mWorkspace);
  request.mModel = policyCase.mModel;
  request.mClass = policyCase.mClass;
  request.mPromptTokens = work.mPromptTokens;
  request.mMaxTokens = work.mMaxTokens;
  request.mPrefixes = work.mPrefixes;
  request.mArrival = mSimulation.Events().Now();
  request.mDeadline = request.mArrival + 4 * policyCase.mFirstTokenTimeout;
  Execute(aDaemon,
          mDaemons[aDaemon]->mPolicy.OnRequest(request, request.mArrival));
}

void
PolicyRouter::OnCallerDisconnected(std::size_t aDaemon,
                                   const std::string& aRequest)
{
  Execute(aDaemon,
          mDaemons[aDaemon]->mPolicy.OnCallerDisconnected(
            aRequest, mSimulation.Events().Now()));
}

void
PolicyRouter::OnLoadReport(std::size_t aDaemon,
                           const std::string& aEndpoint,
                           const LoadReport& aReport)
{
  const Instant now = mSimulation.Events().Now();
  mDaemons[aDaemon]->mPolicy.OnLoadReport(aEndpoint, aReport, now);
  if (OwnerOf(aEndpoint) == aDaemon) {
    mDaemons[aDaemon]->mOwner.OnLoadReport(aEndpoint, aReport, now);
  }
}

void
PolicyRouter::OnCacheEvents(std::size_t aDaemon,
                            const std::string& aEndpoint,
                            const std::vector<CacheEvent>& aEvents)
{
  mDaemons[aDaemon]->mPolicy.OnCacheEvents(aEndpoint, aEvents);
}

void
PolicyRouter::Execute(std::size_t aDaemon, const Actions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([&](const auto& aAction) { Execute(aDaemon, aAction); }, action);
  }
}

void
PolicyRouter::Execute(std::size_t, const RejectAction&)
{
}

void
PolicyRouter::Execute(std::size_t, const QueueAction&)
{
}

void
PolicyRouter::Execute(std::size_t aDaemon, const ReserveAction& aAction)
{
  const ReserveRequest& reserve = aAction.mReserve;
  if (!mHasOwners) {
    Refusal refusal;
    refusal.mRequest = reserve.mRequest;
    refusal.mAttempt = reserve.mAttempt;
    refusal.mEndpoint = reserve.mEndpoint;
    refusal.mKind = reserve.mKind;
    refusal.mReason = RefuseReason::NoAnswer;
    Execute(aDaemon,
            mDaemons[aDaemon]->mPolicy.OnRefusal(refusal,
                                                 mSimulation.Events().Now()));
    return;
  }
  const std::size_t owner = OwnerOf(reserve.mEndpoint);
  Send(aDaemon, owner, [this, aDaemon, owner, reserve] {
    const auto reply =
      mDaemons[owner]->mOwner.OnReserve(reserve, mSimulation.Events().Now());
    Send(owner, aDaemon, [this, aDaemon, reply] {
      const Instant now = mSimulation.Events().Now();
      RoutingPolicy& policy = mDaemons[aDaemon]->mPolicy;
      const auto* grant = std::get_if<Grant>(&reply);
      Execute(aDaemon,
              grant != nullptr
                ? policy.OnGrant(*grant, now)
                : policy.OnRefusal(std::get<Refusal>(reply), now));
    });
  });
}

void
PolicyRouter::Execute(std::size_t aDaemon, const ReleaseAction& aAction)
{
  const std::size_t owner = OwnerOf(aAction.mEndpoint);
  Send(aDaemon, owner, [this, owner, aAction] {
    mDaemons[owner]->mOwner.OnRelease(aAction, mSimulation.Events().Now());
  });
}

void
PolicyRouter::Execute(std::size_t aDaemon, const ClaimAction& aAction)
{
  const std::size_t owner = OwnerOf(aAction.mClaim.mEndpoint);
  Send(aDaemon, owner, [this, owner, aAction] {
    mDaemons[owner]->mOwner.OnClaim(aAction.mClaim, mSimulation.Events().Now());
  });
}

EngineWork
PolicyRouter::WorkOf(const std::string& aRequest, std::uint32_t aAttempt) const
{
  EngineWork work = mWorks.at(aRequest);
  work.mAttempt = aAttempt;
  return work;
}

void
PolicyRouter::Deliver(std::size_t aDaemon,
                      std::function<Actions(RoutingPolicy&)> aHook)
{
  mSimulation.Events().After(
    kNetworkDelay, [this, aDaemon, hook = std::move(aHook)] {
      Execute(aDaemon, hook(mDaemons[aDaemon]->mPolicy));
    });
}

FakeEngine::FailureHook
PolicyRouter::MakeFailureHook(std::size_t aDaemon,
                              const std::string& aRequest,
                              std::uint32_t aAttempt)
{
  return [=](FailureKind aKind) {
    mSlotRefusals += aKind == FailureKind::NoSlot ? 1 : 0;
    Deliver(aDaemon, [=](RoutingPolicy& aPolicy) {
      return aPolicy.OnFailed(
        aRequest, aAttempt, aKind, mSimulation.Events().Now());
    });
  };
}

void
PolicyRouter::Execute(std::size_t aDaemon, const StartPrefillAction& aAction)
{
  EngineWork work = WorkOf(aAction.mRequest, aAction.mAttempt);
  work.mPriority = aAction.mPriority;
  mSimulation.Events().After(kNetworkDelay, [this, aDaemon, work, aAction] {
    mSimulation.Engine(aAction.mEndpoint)
      .Prefill(
        work,
        [this, aDaemon, aAction](std::uint64_t aCached) {
          Deliver(aDaemon, [this, aAction, aCached](RoutingPolicy& aPolicy) {
            return aPolicy.OnPrefillDone(aAction.mRequest,
                                         aAction.mAttempt,
                                         aCached,
                                         mSimulation.Events().Now());
          });
        },
        MakeFailureHook(aDaemon, aAction.mRequest, aAction.mAttempt));
  });
}

void
PolicyRouter::Execute(std::size_t aDaemon, const StartTransferAction& aAction)
{
  const EngineWork work = WorkOf(aAction.mRequest, aAction.mAttempt);
  mSimulation.Events().After(kNetworkDelay, [this, aDaemon, work, aAction] {
    mSimulation.Engine(aAction.mTo)
      .Import(
        work,
        mSimulation.Engine(aAction.mFrom),
        [this, aDaemon, aAction](double aBytes) {
          Deliver(aDaemon, [this, aAction, aBytes](RoutingPolicy& aPolicy) {
            return aPolicy.OnTransferDone(aAction.mRequest,
                                          aAction.mAttempt,
                                          aBytes,
                                          mSimulation.Events().Now());
          });
        },
        MakeFailureHook(aDaemon, aAction.mRequest, aAction.mAttempt));
  });
}

void
PolicyRouter::Execute(std::size_t aDaemon, const StartDecodeAction& aAction)
{
  const EngineWork work = WorkOf(aAction.mRequest, aAction.mAttempt);
  mSimulation.Events().After(kNetworkDelay + aAction.mDelay, [=] {
    mSimulation.Engine(aAction.mEndpoint)
      .Decode(
        work,
        [=] {
          Deliver(aDaemon, [=](RoutingPolicy& aPolicy) {
            const Instant now = mSimulation.Events().Now();
            mSimulation.Metrics().OnFirstToken(work.mRequest, now);
            return aPolicy.OnFirstToken(work.mRequest, work.mAttempt, now);
          });
        },
        [=] {
          Deliver(aDaemon, [=](RoutingPolicy& aPolicy) {
            const Instant now = mSimulation.Events().Now();
            mSimulation.Metrics().OnFinished(work.mRequest, now);
            return aPolicy.OnFinished(
              work.mRequest, work.mAttempt, work.mOutputTokens, now);
          });
        },
        MakeFailureHook(aDaemon, work.mRequest, work.mAttempt));
  });
}

void
PolicyRouter::Execute(std::size_t, const CancelAction& aAction)
{
  mSimulation.Events().After(kNetworkDelay, [this, aAction] {
    mSimulation.Engine(aAction.mEndpoint)
      .Cancel(aAction.mRequest, aAction.mAttempt);
  });
}

} // namespace bulrushfold
