#include "Bench/PolicyRouter.h"

namespace bulrushfold {

namespace {
constexpr Duration kNetwork = std::chrono::milliseconds(1);
constexpr Duration kMessage = std::chrono::microseconds(1500);
constexpr Duration kTick = std::chrono::milliseconds(10);
} // namespace

PolicyRouter::Daemon::Daemon(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mPolicy(PolicyOptions(), mRandom)
  , mOwner(LedgerOptions())
{
}

PolicyRouter::PolicyRouter(BenchWorld& aWorld,
                           bool aHasOwners,
                           std::uint64_t aSeed)
  : mWorld(aWorld)
  , mHasOwners(aHasOwners)
{
  for (std::size_t n = 0; n < kDaemons; ++n) {
    mDaemons.push_back(std::make_unique<Daemon>(aSeed * kDaemons + n));
    mDaemons[n]->mPolicy.SetPreset(MakePreset());
    mDaemons[n]->mPolicy.SetEndpoints(aWorld.Endpoints());
    mDaemons[n]->mOwner.SetPreset(MakePreset());
    mWorld.Events().After(kTick, [this, n] { Tick(n); });
  }
  for (const auto& [name, endpoint] : aWorld.Endpoints()) {
    mDaemons[OwnerOf(name)]->mOwner.Acquire(name, 1, aWorld.Events().Now());
  }
}

Preset
PolicyRouter::MakePreset() const
{
  const PolicyCase& policyCase = mWorld.Case();
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
  mWorld.Events().After(aFrom == aTo ? Duration::zero() : kMessage,
                        std::move(aHook));
}

void
PolicyRouter::Tick(std::size_t aDaemon)
{
  const Instant now = mWorld.Events().Now();
  mDaemons[aDaemon]->mOwner.Tick(now);
  Do(aDaemon, mDaemons[aDaemon]->mPolicy.Tick(now));
  mWorld.Events().After(kTick, [this, aDaemon] { Tick(aDaemon); });
}

void
PolicyRouter::OnArrival(std::size_t aDaemon, const Arrival& aArrival)
{
  const EngineWork& work = aArrival.mWork;
  const PolicyCase& policyCase = mWorld.Case();
  mWorks[work.mRequest] = work;
  ModelRequest request;
  request.mId = work.mRequest;
  request.mWorkspace = WorkspaceName(aArrival.mWorkspace);
  request.mModel = policyCase.mModel;
  request.mClass = policyCase.mClass;
  request.mPromptTokens = work.mPromptTokens;
  request.mMaxTokens = work.mMaxTokens;
  request.mPrefixes = work.mPrefixes;
  request.mArrival = mWorld.Events().Now();
  request.mDeadline = request.mArrival + 4 * policyCase.mPatience;
  Do(aDaemon, mDaemons[aDaemon]->mPolicy.OnRequest(request, request.mArrival));
}

void
PolicyRouter::OnCallerDisconnected(std::size_t aDaemon,
                                   const std::string& aRequest)
{
  Do(aDaemon,
     mDaemons[aDaemon]->mPolicy.OnCallerDisconnected(aRequest,
                                                     mWorld.Events().Now()));
}

void
PolicyRouter::OnLoadReport(std::size_t aDaemon,
                           const std::string& aEndpoint,
                           const LoadReport& aReport)
{
  const Instant now = mWorld.Events().Now();
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
PolicyRouter::Do(std::size_t aDaemon, const Actions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([&](const auto& aAction) { Do(aDaemon, aAction); }, action);
  }
}

void
PolicyRouter::Do(std::size_t, const RejectAction&)
{
}

void
PolicyRouter::Do(std::size_t, const QueueAction&)
{
}

void
PolicyRouter::Do(std::size_t aDaemon, const ReserveAction& aAction)
{
  const ReserveRequest& reserve = aAction.mReserve;
  if (!mHasOwners) {
    Refusal refusal;
    refusal.mRequest = reserve.mRequest;
    refusal.mAttempt = reserve.mAttempt;
    refusal.mEndpoint = reserve.mEndpoint;
    refusal.mKind = reserve.mKind;
    refusal.mReason = RefuseReason::NoAnswer;
    Do(aDaemon,
       mDaemons[aDaemon]->mPolicy.OnRefusal(refusal, mWorld.Events().Now()));
    return;
  }
  const std::size_t owner = OwnerOf(reserve.mEndpoint);
  Send(aDaemon, owner, [this, aDaemon, owner, reserve] {
    const auto reply =
      mDaemons[owner]->mOwner.OnReserve(reserve, mWorld.Events().Now());
    Send(owner, aDaemon, [this, aDaemon, reply] {
      const Instant now = mWorld.Events().Now();
      RoutingPolicy& policy = mDaemons[aDaemon]->mPolicy;
      const auto* grant = std::get_if<Grant>(&reply);
      Do(aDaemon,
         grant != nullptr ? policy.OnGrant(*grant, now)
                          : policy.OnRefusal(std::get<Refusal>(reply), now));
    });
  });
}

void
PolicyRouter::Do(std::size_t aDaemon, const ReleaseAction& aAction)
{
  const std::size_t owner = OwnerOf(aAction.mEndpoint);
  Send(aDaemon, owner, [this, owner, aAction] {
    mDaemons[owner]->mOwner.OnRelease(aAction, mWorld.Events().Now());
  });
}

void
PolicyRouter::Do(std::size_t aDaemon, const ClaimAction& aAction)
{
  const std::size_t owner = OwnerOf(aAction.mClaim.mEndpoint);
  Send(aDaemon, owner, [this, owner, aAction] {
    mDaemons[owner]->mOwner.OnClaim(aAction.mClaim, mWorld.Events().Now());
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
  mWorld.Events().After(kNetwork, [this, aDaemon, hook = std::move(aHook)] {
    Do(aDaemon, hook(mDaemons[aDaemon]->mPolicy));
  });
}

FakeEngine::FailHook
PolicyRouter::FailHook(std::size_t aDaemon,
                       const std::string& aRequest,
                       std::uint32_t aAttempt)
{
  return [=](FailureKind aKind) {
    mSlotRefusals += aKind == FailureKind::NoSlot ? 1 : 0;
    Deliver(aDaemon, [=](RoutingPolicy& aPolicy) {
      return aPolicy.OnFailed(aRequest, aAttempt, aKind, mWorld.Events().Now());
    });
  };
}

void
PolicyRouter::Do(std::size_t aDaemon, const StartPrefillAction& aAction)
{
  EngineWork work = WorkOf(aAction.mRequest, aAction.mAttempt);
  work.mPriority = aAction.mPriority;
  mWorld.Events().After(kNetwork, [this, aDaemon, work, aAction] {
    mWorld.Engine(aAction.mEndpoint)
      .Prefill(
        work,
        [this, aDaemon, aAction](std::uint64_t aCached) {
          Deliver(aDaemon, [this, aAction, aCached](RoutingPolicy& aPolicy) {
            return aPolicy.OnPrefillDone(aAction.mRequest,
                                         aAction.mAttempt,
                                         aCached,
                                         mWorld.Events().Now());
          });
        },
        FailHook(aDaemon, aAction.mRequest, aAction.mAttempt));
  });
}

void
PolicyRouter::Do(std::size_t aDaemon, const StartTransferAction& aAction)
{
  const EngineWork work = WorkOf(aAction.mRequest, aAction.mAttempt);
  mWorld.Events().After(kNetwork, [this, aDaemon, work, aAction] {
    mWorld.Engine(aAction.mTo)
      .Import(
        work,
        mWorld.Engine(aAction.mFrom),
        [this, aDaemon, aAction](double aBytes) {
          Deliver(aDaemon, [this, aAction, aBytes](RoutingPolicy& aPolicy) {
            return aPolicy.OnTransferDone(aAction.mRequest,
                                          aAction.mAttempt,
                                          aBytes,
                                          mWorld.Events().Now());
          });
        },
        FailHook(aDaemon, aAction.mRequest, aAction.mAttempt));
  });
}

void
PolicyRouter::Do(std::size_t aDaemon, const StartDecodeAction& aAction)
{
  const EngineWork work = WorkOf(aAction.mRequest, aAction.mAttempt);
  mWorld.Events().After(kNetwork + aAction.mDelay, [=] {
    mWorld.Engine(aAction.mEndpoint)
      .Decode(
        work,
        [=] {
          Deliver(aDaemon, [=](RoutingPolicy& aPolicy) {
            const Instant now = mWorld.Events().Now();
            mWorld.Metrics().OnFirstToken(work.mRequest, now);
            return aPolicy.OnFirstToken(work.mRequest, work.mAttempt, now);
          });
        },
        [=] {
          Deliver(aDaemon, [=](RoutingPolicy& aPolicy) {
            const Instant now = mWorld.Events().Now();
            mWorld.Metrics().OnFinished(work.mRequest, now);
            return aPolicy.OnFinished(
              work.mRequest, work.mAttempt, work.mOutputTokens, now);
          });
        },
        FailHook(aDaemon, work.mRequest, work.mAttempt));
  });
}

void
PolicyRouter::Do(std::size_t, const CancelAction& aAction)
{
  mWorld.Events().After(kNetwork, [this, aAction] {
    mWorld.Engine(aAction.mEndpoint).Cancel(aAction.mRequest, aAction.mAttempt);
  });
}

} // namespace bulrushfold
