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
 * One request with the real policy. Every engine call is answered by a result
 * that the test's choices select, so that any mixture of failures occurs.
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
    Take(mPolicy.OnRequest(request, mClock.Now()));
    constexpr int kMaxTurns = 5000;
    for (int i = 0; i < kMaxTurns && mFinishes == 0; ++i) {
      mClock.Advance(std::chrono::milliseconds(20));
      if (!mCalls.empty()) {
        const auto call = mCalls.front();
        mCalls.pop_front();
        call();
      }
      Take(mPolicy.Tick(mClock.Now()));
      if (mClock.Now() >= request.mDeadline) {
        Take(mCall.OnDeadline());
      }
    }
    RC_ASSERT(mFinishes == 1);
    RC_ASSERT(mPolicy.Open() == 0u);
    for (const auto& it : mCall.UnreleasedAttempts()) {
      mEngineHolds.erase(it);
    }
    RC_ASSERT(mEngineHolds.empty());
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

  void Later(const std::function<void()>& aCall) { mCalls.push_back(aCall); }

  void Take(const Actions& aActions)
  {
    for (const auto& it : aActions) {
      std::visit([this](const auto& aAction) { Do(aAction); }, it);
    }
  }
  void Take(const ModelCallSteps& aSteps)
  {
    for (const auto& it : aSteps) {
      std::visit([this](const auto& aStep) { Do(aStep); }, it);
    }
  }

  // The policy's actions.
  void Do(const RejectAction&) { Take(mCall.OnRejectedByPolicy()); }
  void Do(const ReserveAction& aAction)
  {
    const ReserveRequest reserve = aAction.mReserve;
    Later([this, reserve] {
      if (Choose(6) == 0) {
        Refusal refusal;
        refusal.mRequest = reserve.mRequest;
        refusal.mAttempt = reserve.mAttempt;
        refusal.mEndpoint = reserve.mEndpoint;
        refusal.mKind = reserve.mKind;
        Take(mPolicy.OnRefusal(refusal, mClock.Now()));
        return;
      }
      Grant grant;
      grant.mRequest = reserve.mRequest;
      grant.mAttempt = reserve.mAttempt;
      grant.mEndpoint = reserve.mEndpoint;
      grant.mKind = reserve.mKind;
      grant.mTerm = 1;
      Take(mPolicy.OnGrant(grant, mClock.Now()));
    });
  }
  void Do(const StartPrefillAction& aAction)
  {
    Take(mCall.OnStartPrefill(aAction.mAttempt, aAction.mEndpoint));
  }
  void Do(const StartTransferAction& aAction)
  {
    Take(mCall.OnStartTransfer(aAction.mAttempt, aAction.mFrom, aAction.mTo));
  }
  void Do(const StartDecodeAction& aAction)
  {
    Take(mCall.OnStartDecode(aAction.mAttempt, aAction.mEndpoint));
  }
  void Do(const CancelAction& aAction)
  {
    mEngineHolds.erase({ aAction.mAttempt, aAction.mEndpoint });
    Take(mCall.OnCancelled(aAction.mAttempt, aAction.mEndpoint));
  }
  template<typename Action>
  void Do(const Action&)
  {
  }

  // The call's steps.
  void Do(const PrefillStep& aStep)
  {
    mEngineHolds.insert({ aStep.mAttempt, aStep.mEndpoint });
    RC_ASSERT(aStep.mOffset == mDelivered);
    Later([this, attempt = aStep.mAttempt] {
      const int n = Choose(8);
      if (n < 4) {
        Take(mCall.OnFailure(attempt, kFailures[n]));
      } else if (n == 4) {
        Take(mCall.OnCallerDisconnected());
      } else {
        Take(mCall.OnPrefillDone(attempt, "k", 0));
      }
    });
  }
  void Do(const TransferStep& aStep)
  {
    mEngineHolds.insert({ aStep.mAttempt, aStep.mTo });
    Later([this, aStep] {
      const int n = Choose(8);
      if (n < 4) {
        Take(mCall.OnFailure(aStep.mAttempt, kFailures[n]));
        return;
      }
      mEngineHolds.erase({ aStep.mAttempt, aStep.mFrom });
      Take(mCall.OnTransferDone(aStep.mAttempt, "k2", 100));
    });
  }
  void Do(const DecodeStep& aStep)
  {
    mEngineHolds.insert({ aStep.mAttempt, aStep.mEndpoint });
    Later([this, aStep] { Stream(aStep, aStep.mOffset); });
  }
  void Stream(const DecodeStep& aStep, std::uint64_t aOffset)
  {
    const int n = Choose(10);
    if (n < 4) {
      Take(mCall.OnFailure(aStep.mAttempt, kFailures[n]));
    } else if (n == 4) {
      Take(mCall.OnToken(aStep.mAttempt, aOffset + 1, TokenText(aOffset + 1)));
    } else if (n == 5) {
      Take(mCall.OnCallerDisconnected());
    } else if (aOffset >= kAnswerTokens) {
      mEngineHolds.erase({ aStep.mAttempt, aStep.mEndpoint });
      Take(mCall.OnAnswerEnd(aStep.mAttempt, kAnswerTokens));
    } else {
      Take(mCall.OnToken(aStep.mAttempt, aOffset, TokenText(aOffset)));
      Later([this, aStep, aOffset] { Stream(aStep, aOffset + 1); });
    }
  }
  void Do(const ProbeStep& aStep)
  {
    Later([this, aStep] {
      const auto result = static_cast<ProbeResult>(Choose(4));
      Take(mCall.OnProbeDone(aStep.mAttempt, result));
    });
  }
  void Do(const DeliverStep& aStep)
  {
    RC_ASSERT(mFinishes == 0);
    RC_ASSERT(aStep.mOffset == mDelivered);
    RC_ASSERT(aStep.mText == TokenText(mDelivered));
    ++mDelivered;
  }
  void Do(const PrefillDoneStep& aStep)
  {
    Take(mPolicy.OnPrefillDone(kRequest, aStep.mAttempt, 0, mClock.Now()));
  }
  void Do(const TransferDoneStep& aStep)
  {
    Take(mPolicy.OnTransferDone(
      kRequest, aStep.mAttempt, aStep.mBytes, mClock.Now()));
  }
  void Do(const FirstTokenStep& aStep)
  {
    Take(mPolicy.OnFirstToken(kRequest, aStep.mAttempt, mClock.Now()));
  }
  void Do(const DecodeFinishedStep& aStep)
  {
    Take(mPolicy.OnFinished(
      kRequest, aStep.mAttempt, aStep.mTokens, mClock.Now()));
  }
  void Do(const ReportFailureStep& aStep)
  {
    Take(mPolicy.OnFailed(kRequest, aStep.mAttempt, aStep.mKind, mClock.Now()));
  }
  void Do(const RequestCancelledStep&)
  {
    Take(mPolicy.OnCallerDisconnected(kRequest, mClock.Now()));
  }
  void Do(const EndRequestStep& aStep)
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
  /** What the engines hold; empty after the end and its cancels. */
  std::set<HeldAttempt> mEngineHolds;
  std::uint64_t mDelivered = 0;
  int mFinishes = 0;
};

constexpr StepFailure RoutedCall::kFailures[];

} // namespace

// Guards I1 to I4 for a request under the real policy: order of delivery,
// exactly one end, nothing held afterwards, and a true "not run".
TEST_CASE("A routed request keeps its promises under any failures")
{
  CHECK(rc::check([] {
    const auto choices =
      *rc::gen::container<std::deque<int>>(rc::gen::inRange(0, 1000));
    RoutedCall call(choices);
    call.Run();
  }));
}

} // namespace bulrushfold
