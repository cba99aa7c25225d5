#include <deque>
#include <map>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Policy/RoutingPolicy.h"
#include "Serving/ModelCall.h"

namespace bulrushfold {

namespace {

constexpr std::uint64_t kAnswerTokens = 3;
const std::string kRequest = "r";

std::string
TokenText(std::uint64_t aOffset)
{
  return "t" + std::to_string(aOffset) + " ";
}

/**
 * One request with the real policy. The test's random choices select the result
 * of every engine call, so that any combination of failures occurs.
 */
class RoutedCall
{
public:
  explicit RoutedCall(std::deque<int> aChoices)
    : mRandom(1)
    , mPolicy(PolicyOptions(), mRandom)
    , mChoices(std::move(aChoices))
  {
    std::map<std::string, Endpoint> endpoints;
    for (const char* name : { "p1", "p2", "d1", "d2", "b1" }) {
      Endpoint& endpoint = endpoints[name];
      endpoint.mName = name;
      endpoint.mModels = { "m" };
      endpoint.mRole = name[0] == 'p'   ? EngineRole::Prefill
                       : name[0] == 'd' ? EngineRole::Decode
                                        : EngineRole::Both;
    }
    mPolicy.SetEndpoints(endpoints);
  }

  void Run()
  {
    ModelRequest request;
    request.mId = kRequest;
    request.mModel = "m";
    request.mPromptTokens = 100;
    request.mMaxTokens = kAnswerTokens;
    request.mArrival = mClock.Now();
    request.mDeadline = mClock.Now() + std::chrono::seconds(60);
    Apply(mPolicy.OnRequest(request, mClock.Now()));
    constexpr int kMaxTurns = 5000;
    for (int i = 0; i < kMaxTurns && mFinishes == 0; ++i) {
      mClock.Advance(std::chrono::milliseconds(20));
      if (!mCalls.empty()) {
        const auto call = mCalls.front();
        mCalls.pop_front();
        call();
      }
      Apply(mPolicy.Tick(mClock.Now()));
      if (mClock.Now() >= request.mDeadline) {
        Apply(mCall.OnDeadline());
      }
    }
    RC_ASSERT(mFinishes == 1);
    RC_ASSERT(mPolicy.RequestCount() == 0u);
    for (const auto& it : mCall.UnreleasedAttempts()) {
      mEngineMemory.erase(it);
    }
    RC_ASSERT(mEngineMemory.empty());
  }

private:
  int Choose(int aBound)
  {
    if (mChoices.empty()) {
      return aBound - 1;
    }
    const int n = mChoices.front() % aBound;
    mChoices.pop_front();
    return n;
  }

  void Defer(const std::function<void()>& aCall) { mCalls.push_back(aCall); }

  void Apply(const Actions& aActions)
  {
    for (const auto& it : aActions) {
      std::visit([this](const auto& aAction) { Handle(aAction); }, it);
    }
  }
  void Apply(const ModelCallSteps& aSteps)
  {
    for (const auto& it : aSteps) {
      std::visit([this](const auto& aStep) { Handle(aStep); }, it);
    }
  }

  // The policy's actions.
  void Handle(const RejectAction&) { Apply(mCall.OnRejectedByPolicy()); }
  void Handle(const ReserveAction& aAction)
  {
    const ReserveRequest reserve = aAction.mReserve;
    Defer([this, reserve] {
      if (Choose(6) == 0) {
        Refusal refusal;
        refusal.mRequest = reserve.mRequest;
        refusal.mAttempt = reserve.mAttempt;
        refusal.mEndpoint = reserve.mEndpoint;
        refusal.mKind = reserve.mKind;
        Apply(mPolicy.OnRefusal(refusal, mClock.Now()));
        return;
      }
      Grant grant;
      grant.mRequest = reserve.mRequest;
      grant.mAttempt = reserve.mAttempt;
      grant.mEndpoint = reserve.mEndpoint;
      grant.mKind = reserve.mKind;
      grant.mTerm = 1;
      Apply(mPolicy.OnGrant(grant, mClock.Now()));
    });
  }
  void Handle(const StartPrefillAction& aAction)
  {
    Apply(mCall.OnStartPrefill(aAction.mAttempt, aAction.mEndpoint));
  }
  void Handle(const StartTransferAction& aAction)
  {
    Apply(mCall.OnStartTransfer(aAction.mAttempt, aAction.mFrom, aAction.mTo));
  }
  void Handle(const StartDecodeAction& aAction)
  {
    Apply(mCall.OnStartDecode(aAction.mAttempt, aAction.mEndpoint));
  }
  void Handle(const CancelAction& aAction)
  {
    mEngineMemory.erase({ aAction.mAttempt, aAction.mEndpoint });
    Apply(mCall.OnCancelled(aAction.mAttempt, aAction.mEndpoint));
  }
  template<typename Action>
  void Handle(const Action&)
  {
  }

  // The call's steps.
  void Handle(const PrefillStep& aStep)
  {
    mEngineMemory.insert({ aStep.mAttempt, aStep.mEndpoint });
    RC_ASSERT(aStep.mOffset == mDelivered);
    Defer([this, attempt = aStep.mAttempt] {
      const int n = Choose(8);
      if (n < 4) {
        Apply(mCall.OnFailure(attempt, kFailures[n]));
      } else if (n == 4) {
        Apply(mCall.OnCallerDisconnected());
      } else {
        Apply(mCall.OnPrefillDone(attempt, "k", 0));
      }
    });
  }
  void Handle(const TransferStep& aStep)
  {
    mEngineMemory.insert({ aStep.mAttempt, aStep.mTo });
    Defer([this, aStep] {
      const int n = Choose(8);
      if (n < 4) {
        Apply(mCall.OnFailure(aStep.mAttempt, kFailures[n]));
        return;
      }
      mEngineMemory.erase({ aStep.mAttempt, aStep.mFrom });
      Apply(mCall.OnTransferDone(aStep.mAttempt, "k2", 100));
    });
  }
  void Handle(const DecodeStep& aStep)
  {
    mEngineMemory.insert({ aStep.mAttempt, aStep.mEndpoint });
    Defer([this, aStep] { Stream(aStep, aStep.mOffset); });
  }
  void Stream(const DecodeStep& aStep, std::uint64_t aOffset)
  {
    const int n = Choose(10);
    if (n < 4) {
      Apply(mCall.OnFailure(aStep.mAttempt, kFailures[n]));
    } else if (n == 4) {
      Apply(mCall.OnToken(aStep.mAttempt, aOffset + 1, TokenText(aOffset + 1)));
    } else if (n == 5) {
      Apply(mCall.OnCallerDisconnected());
    } else if (aOffset >= kAnswerTokens) {
      mEngineMemory.erase({ aStep.mAttempt, aStep.mEndpoint });
      Apply(mCall.OnAnswerEnd(aStep.mAttempt, kAnswerTokens));
    } else {
      Apply(mCall.OnToken(aStep.mAttempt, aOffset, TokenText(aOffset)));
      Defer([this, aStep, aOffset] { Stream(aStep, aOffset + 1); });
    }
  }
  void Handle(const ProbeStep& aStep)
  {
    Defer([this, aStep] {
      const auto result = static_cast<ProbeResult>(Choose(4));
      Apply(mCall.OnProbeDone(aStep.mAttempt, result));
    });
  }
  void Handle(const DeliverStep& aStep)
  {
    RC_ASSERT(mFinishes == 0);
    RC_ASSERT(aStep.mOffset == mDelivered);
    RC_ASSERT(aStep.mText == TokenText(mDelivered));
    ++mDelivered;
  }
  void Handle(const PrefillDoneStep& aStep)
  {
    Apply(mPolicy.OnPrefillDone(kRequest, aStep.mAttempt, 0, mClock.Now()));
  }
  void Handle(const TransferDoneStep& aStep)
  {
    Apply(mPolicy.OnTransferDone(
      kRequest, aStep.mAttempt, aStep.mBytes, mClock.Now()));
  }
  void Handle(const FirstTokenStep& aStep)
  {
    Apply(mPolicy.OnFirstToken(kRequest, aStep.mAttempt, mClock.Now()));
  }
  void Handle(const DecodeFinishedStep& aStep)
  {
    Apply(mPolicy.OnFinished(
      kRequest, aStep.mAttempt, aStep.mTokens, mClock.Now()));
  }
  void Handle(const ReportFailureStep& aStep)
  {
    Apply(
      mPolicy.OnFailed(kRequest, aStep.mAttempt, aStep.mKind, mClock.Now()));
  }
  void Handle(const RequestCancelledStep&)
  {
    Apply(mPolicy.OnCallerDisconnected(kRequest, mClock.Now()));
  }
  void Handle(const EndRequestStep& aStep)
  {
    ++mFinishes;
    if (aStep.mResult == ModelCallResult::Complete) {
      RC_ASSERT(mDelivered == kAnswerTokens);
    }
    if (!aStep.mRan) {
      RC_ASSERT(mDelivered == 0u);
    }
  }

  static constexpr StepFailure kFailures[] = { StepFailure::NoMemory,
                                               StepFailure::ConnectionLost,
                                               StepFailure::ReadTimeout,
                                               StepFailure::Evicted };

  ManualClock mClock;
  Random mRandom;
  RoutingPolicy mPolicy;
  ModelCall mCall;
  std::deque<int> mChoices;
  std::deque<std::function<void()>> mCalls;
  /** Attempts for which engines have memory allocated. */
  std::set<EndpointAttempt> mEngineMemory;
  std::uint64_t mDelivered = 0;
  int mFinishes = 0;
};

constexpr StepFailure RoutedCall::kFailures[];

} // namespace

// Guards invariants I1 to I4 with the real policy: tokens arrive in order, the
// request ends exactly once, every attempt that still has engine memory is
// listed for cancellation, and "not run" is true.
TEST_CASE("A routed request meets its guarantees under any failures")
{
  CHECK(rc::check([] {
    const auto choices =
      *rc::gen::container<std::deque<int>>(rc::gen::inRange(0, 1000));
    RoutedCall call(choices);
    call.Run();
  }));
}

} // namespace bulrushfold
