#include "Serving/ModelCall.h"

#include <map>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
constexpr std::uint64_t kAnswerTokens = 3;

template<typename Action>
const Action*
FindAction(const ModelCallActions& aActions)
{
  for (const auto& it : aActions) {
    if (const auto* action = std::get_if<Action>(&it); action != nullptr) {
      return action;
    }
  }
  return nullptr;
}

std::string
TokenText(std::uint64_t aOffset)
{
  return "t" + std::to_string(aOffset) + " ";
}
} // namespace

TEST_CASE("A model request")
{
  ModelCall call({ 3, Instant() });
  auto actions = call.Start();
  REQUIRE(FindAction<SelectPairAction>(actions) != nullptr);

  SUBCASE("is refused as not run when no endpoint can take it")
  {
    actions = call.OnNoPair(1);
    const auto* finish = FindAction<FinishAction>(actions);
    REQUIRE(finish != nullptr);
    CHECK(finish->mResult == ModelCallResult::NoCapacity);
    CHECK_FALSE(finish->mRan);
  }

  SUBCASE("with a pair of endpoints")
  {
    actions = call.OnPair(1, { "p", "d" });
    REQUIRE(FindAction<PrefillAction>(actions) != nullptr);

    SUBCASE("moves to another endpoint when the first refuses")
    {
      actions = call.OnFailure(1, StepFailure::Refused);
      const auto* select = FindAction<SelectPairAction>(actions);
      REQUIRE(select != nullptr);
      CHECK(select->mAttempt == 2);
      CHECK(select->mExcluded == std::vector<std::string>{ "p" });
      SUBCASE("and is not run when all refuse")
      {
        actions = call.OnNoPair(2);
        CHECK_FALSE(FindAction<FinishAction>(actions)->mRan);
      }
    }

    SUBCASE("that prefilled and transferred")
    {
      actions = call.OnPrefillDone(1, "k1");
      REQUIRE(FindAction<TransferAction>(actions) != nullptr);
      actions = call.OnTransferDone(1, "k2");
      REQUIRE(FindAction<DecodeAction>(actions)->mHandle == "k2");
      actions = call.OnToken(1, 0, TokenText(0));
      REQUIRE(FindAction<DeliverAction>(actions) != nullptr);

      SUBCASE("completes without cancels")
      {
        call.OnToken(1, 1, TokenText(1));
        actions = call.OnAnswerEnd(1, 2);
        CHECK(FindAction<FinishAction>(actions)->mResult ==
              ModelCallResult::Complete);
        CHECK(FindAction<CancelAction>(actions) == nullptr);
      }

      // Guards I3: an answer cut short that looks complete.
      SUBCASE("resumes when the end comes before the last token")
      {
        actions = call.OnAnswerEnd(1, 5);
        REQUIRE(FindAction<DecodeAction>(actions) != nullptr);
        CHECK(FindAction<DecodeAction>(actions)->mOffset == 1);
      }

      SUBCASE("probes after silence")
      {
        actions = call.OnFailure(1, StepFailure::Silent);
        REQUIRE(FindAction<ProbeAction>(actions)->mEndpoint == "d");

        SUBCASE("and resumes at the next token when only the connection died")
        {
          actions = call.OnProbeDone(1, ProbeResult::HasStream);
          CHECK(FindAction<DecodeAction>(actions)->mOffset == 1);
        }
        SUBCASE("and continues elsewhere when the endpoint died")
        {
          actions = call.OnProbeDone(1, ProbeResult::Unreachable);
          CHECK(FindAction<CrashAction>(actions)->mEndpoint == "d");
          CHECK(FindAction<CancelAction>(actions) != nullptr);
          CHECK(FindAction<SelectPairAction>(actions)->mExcluded ==
                std::vector<std::string>{ "d" });
          actions = call.OnPair(2, { "p", "e" });
          const auto* prefill = FindAction<PrefillAction>(actions);
          CHECK(prefill->mOffset == 1);
          CHECK(prefill->mGenerated == TokenText(0));
          // Guards I2: a token of the replaced attempt.
          CHECK(call.OnToken(1, 1, TokenText(1)).empty());
        }
      }

      // Guards I1: memory held for a caller that is gone.
      SUBCASE("cancels both endpoints when the caller goes")
      {
        actions = call.OnCallerGone();
        std::set<std::string> cancelled;
        for (const auto& it : actions) {
          if (const auto* cancel = std::get_if<CancelAction>(&it)) {
            cancelled.insert(cancel->mEndpoint);
          }
        }
        CHECK(cancelled == std::set<std::string>{ "p", "d" });
        CHECK(call.OnCallerGone().empty());
        CHECK(call.OnDeadline().empty());
      }

      // Guards against an endless loop with an endpoint that never sends.
      SUBCASE("gives an endpoint up that resumes without a token")
      {
        bool hasMoved = false;
        for (int i = 0; i < 10 && !hasMoved; ++i) {
          call.OnFailure(1, StepFailure::Silent);
          actions = call.OnProbeDone(1, ProbeResult::HasStream);
          hasMoved = FindAction<SelectPairAction>(actions) != nullptr;
        }
        CHECK(hasMoved);
      }
    }
  }
}

namespace {
/** Drives a call with random events and checks what it does. */
class RandomDriver
{
public:
  RandomDriver()
    : mCall({ 3, Instant() })
  {
    Take(mCall.Start());
  }

  void Step(int aEvent)
  {
    // One event in four belongs to an attempt that was replaced.
    const std::uint32_t attempt = aEvent % 4 == 0 && mCall.Attempt() > 1
                                    ? mCall.Attempt() - 1
                                    : mCall.Attempt();
    switch (aEvent % 13) {
      case 0:
        return Take(mCall.OnPair(attempt, { "p", "d" }));
      case 1:
        return Take(mCall.OnPair(attempt, { "b", "b" }));
      case 2:
        return Take(mCall.OnPrefillDone(attempt, "k"));
      case 3:
        return Take(mCall.OnTransferDone(attempt, "k"));
      case 4:
      case 5:
      case 6:
        return Token(attempt, aEvent % 5);
      case 7:
        return Take(mCall.OnAnswerEnd(attempt, kAnswerTokens));
      case 8:
        return Take(
          mCall.OnFailure(attempt, static_cast<StepFailure>(aEvent % 5)));
      case 9:
      case 10:
        return Take(
          mCall.OnProbeDone(attempt, static_cast<ProbeResult>(aEvent % 4)));
      case 11:
        return Take(aEvent % 7 == 0 ? mCall.OnCallerGone()
                                    : ModelCallActions{});
      default:
        return Take(aEvent % 11 == 0 ? mCall.OnDeadline() : ModelCallActions{});
    }
  }

  void Token(std::uint32_t aAttempt, std::uint64_t aOffset)
  {
    if (aOffset < kAnswerTokens) {
      Take(mCall.OnToken(aAttempt, aOffset, TokenText(aOffset)));
    }
  }

  void Take(const ModelCallActions& aActions)
  {
    for (const auto& it : aActions) {
      RC_ASSERT(mFinishes == 0);
      std::visit([this](const auto& aAction) { Note(aAction); }, it);
    }
  }

  void Note(const DeliverAction& aAction)
  {
    RC_ASSERT(aAction.mOffset == mDelivered);
    ++mDelivered;
  }
  void Note(const PrefillAction& aAction)
  {
    mHeld[aAction.mAttempt].insert(aAction.mEndpoint);
  }
  void Note(const TransferAction& aAction)
  {
    mHeld[aAction.mAttempt].insert(aAction.mPair.mDecode);
  }
  void Note(const CancelAction& aAction)
  {
    mHeld[aAction.mAttempt].erase(aAction.mEndpoint);
  }
  void Note(const FinishAction& aAction)
  {
    ++mFinishes;
    const bool isComplete = aAction.mResult == ModelCallResult::Complete;
    if (isComplete) {
      RC_ASSERT(mDelivered == kAnswerTokens);
      mHeld.erase(mCall.Attempt());
    }
    for (const auto& [attempt, endpoints] : mHeld) {
      RC_ASSERT(endpoints.empty());
    }
    if (!aAction.mRan) {
      RC_ASSERT(mDelivered == 0u);
    }
  }
  template<typename Action>
  void Note(const Action&)
  {
  }

private:
  ModelCall mCall;
  std::uint64_t mDelivered = 0;
  int mFinishes = 0;
  std::map<std::uint32_t, std::set<std::string>> mHeld;
};
} // namespace

// Guards I1 to I4 in any order of events, late and crossed ones included.
TEST_CASE("A model request keeps its promises under any events")
{
  CHECK(rc::check([] {
    RandomDriver driver;
    const auto events = *rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, 13 * 5 * 7 * 11));
    for (const auto it : events) {
      driver.Step(it);
    }
  }));
}

} // namespace bulrushfold
