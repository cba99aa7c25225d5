#include "Serving/ModelCall.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
template<typename Step>
const Step*
FindStep(const ModelCallSteps& aSteps)
{
  for (const auto& it : aSteps) {
    if (const auto* step = std::get_if<Step>(&it); step != nullptr) {
      return step;
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
  ModelCall call;

  // Guards I4: a refusal that says "not run" although work was done.
  SUBCASE("that the policy gives up before any work is not run")
  {
    const auto steps = call.OnRejectedByPolicy();
    REQUIRE(FindStep<EndRequestStep>(steps) != nullptr);
    CHECK(FindStep<EndRequestStep>(steps)->mResult ==
          ModelCallResult::RejectedByPolicy);
    CHECK_FALSE(FindStep<EndRequestStep>(steps)->mRan);
    CHECK(FindStep<RequestCancelledStep>(steps) == nullptr);
  }

  SUBCASE("that starts a prefill")
  {
    auto steps = call.OnStartPrefill(1, "p");
    REQUIRE(FindStep<PrefillStep>(steps) != nullptr);

    SUBCASE("is still not run when the endpoint refused it")
    {
      steps = call.OnFailure(1, StepFailure::NoMemory);
      CHECK(FindStep<ReportFailureStep>(steps)->mKind == FailureKind::NoMemory);
      steps = call.OnRejectedByPolicy();
      CHECK_FALSE(FindStep<EndRequestStep>(steps)->mRan);
    }

    SUBCASE("counts as run when its connection broke")
    {
      steps = call.OnFailure(1, StepFailure::ConnectionLost);
      REQUIRE(FindStep<ProbeStep>(steps) != nullptr);
      steps = call.OnProbeDone(1, ProbeResult::Unreachable);
      CHECK(FindStep<CrashStep>(steps)->mEndpoint == "p");
      CHECK(FindStep<ReportFailureStep>(steps)->mKind == FailureKind::Lost);
      steps = call.OnRejectedByPolicy();
      CHECK(FindStep<EndRequestStep>(steps)->mRan);
    }

    SUBCASE("and transfers and decodes")
    {
      steps = call.OnPrefillDone(1, "k1", 0);
      REQUIRE(FindStep<PrefillDoneStep>(steps) != nullptr);
      steps = call.OnStartTransfer(1, "p", "d");
      REQUIRE(FindStep<TransferStep>(steps)->mHandle == "k1");
      steps = call.OnTransferDone(1, "k2", 100);
      REQUIRE(FindStep<TransferDoneStep>(steps) != nullptr);
      CHECK(call.UnreleasedAttempts() == std::set<HeldAttempt>{ { 1, "d" } });
      steps = call.OnStartDecode(1, "d");
      REQUIRE(FindStep<DecodeStep>(steps)->mHandle == "k2");
      steps = call.OnToken(1, 0, TokenText(0));
      REQUIRE(FindStep<DeliverStep>(steps) != nullptr);
      REQUIRE(FindStep<FirstTokenStep>(steps) != nullptr);

      SUBCASE("completes and holds nothing")
      {
        call.OnToken(1, 1, TokenText(1));
        steps = call.OnAnswerEnd(1, 2);
        CHECK(FindStep<EndRequestStep>(steps)->mResult ==
              ModelCallResult::Complete);
        CHECK(call.UnreleasedAttempts().empty());
      }

      // Guards I3: an answer cut short that looks complete.
      SUBCASE("resumes when the end comes before the last token")
      {
        steps = call.OnAnswerEnd(1, 5);
        CHECK(FindStep<EndRequestStep>(steps) == nullptr);
        REQUIRE(FindStep<DecodeStep>(steps) != nullptr);
        CHECK(FindStep<DecodeStep>(steps)->mOffset == 1);
      }

      SUBCASE("probes after silence")
      {
        steps = call.OnFailure(1, StepFailure::ReadTimeout);
        REQUIRE(FindStep<ProbeStep>(steps)->mEndpoint == "d");

        SUBCASE("and resumes at the next token when only the connection died")
        {
          steps = call.OnProbeDone(1, ProbeResult::HasStream);
          CHECK(FindStep<DecodeStep>(steps)->mOffset == 1);
        }
        SUBCASE("and continues elsewhere when the endpoint died")
        {
          steps = call.OnProbeDone(1, ProbeResult::Restarted);
          CHECK(FindStep<CrashStep>(steps)->mEndpoint == "d");
          steps = call.OnStartPrefill(2, "q");
          CHECK(FindStep<PrefillStep>(steps)->mOffset == 1);
          CHECK(FindStep<PrefillStep>(steps)->mGenerated == TokenText(0));
          // Guards I2: a token of the replaced attempt.
          CHECK(call.OnToken(1, 1, TokenText(1)).empty());
        }
      }

      // Guards I1: memory held for a caller that is gone.
      SUBCASE("tells the policy when the caller goes, and knows what is held")
      {
        steps = call.OnCallerDisconnected();
        CHECK(FindStep<RequestCancelledStep>(steps) != nullptr);
        CHECK(call.UnreleasedAttempts() == std::set<HeldAttempt>{ { 1, "d" } });
        CHECK(call.OnCallerDisconnected().empty());
        CHECK(call.OnDeadline().empty());
        call.OnCancelled(1, "d");
        CHECK(call.UnreleasedAttempts().empty());
      }

      // Guards against an endless loop with an endpoint that never sends.
      SUBCASE("gives an endpoint up that resumes without a token")
      {
        bool hasFailed = false;
        for (int i = 0; i < 10 && !hasFailed; ++i) {
          call.OnFailure(1, StepFailure::ReadTimeout);
          steps = call.OnProbeDone(1, ProbeResult::HasStream);
          hasFailed = FindStep<ReportFailureStep>(steps) != nullptr;
        }
        CHECK(hasFailed);
      }
    }
  }
}

} // namespace bulrushfold
