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

  // Guards against a refusal that says "not run" although work was done
  // (invariant I4).
  SUBCASE("that the policy rejects before any work is reported as not run")
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

    SUBCASE("is reported as not run when the endpoint refused it")
    {
      steps = call.OnFailure(1, StepFailure::NoMemory);
      CHECK(FindStep<ReportFailureStep>(steps)->mKind == FailureKind::NoMemory);
      steps = call.OnRejectedByPolicy();
      CHECK_FALSE(FindStep<EndRequestStep>(steps)->mRan);
    }

    SUBCASE("is reported as run when its connection is lost")
    {
      steps = call.OnFailure(1, StepFailure::ConnectionLost);
      REQUIRE(FindStep<ProbeStep>(steps) != nullptr);
      steps = call.OnProbeDone(1, ProbeResult::Unreachable);
      CHECK(FindStep<CrashStep>(steps)->mEndpoint == "p");
      CHECK(FindStep<ReportFailureStep>(steps)->mKind == FailureKind::Lost);
      steps = call.OnRejectedByPolicy();
      CHECK(FindStep<EndRequestStep>(steps)->mRan);
    }

    SUBCASE("and then a transfer and a decode")
    {
      steps = call.OnPrefillDone(1, "k1", 0);
      REQUIRE(FindStep<PrefillDoneStep>(steps) != nullptr);
      steps = call.OnStartTransfer(1, "p", "d");
      REQUIRE(FindStep<TransferStep>(steps)->mHandle == "k1");
      steps = call.OnTransferDone(1, "k2", 100);
      REQUIRE(FindStep<TransferDoneStep>(steps) != nullptr);
      CHECK(call.UnreleasedAttempts() ==
            std::set<EndpointAttempt>{ { 1, "d" } });
      steps = call.OnStartDecode(1, "d");
      REQUIRE(FindStep<DecodeStep>(steps)->mHandle == "k2");
      steps = call.OnToken(1, 0, TokenText(0));
      REQUIRE(FindStep<DeliverStep>(steps) != nullptr);
      REQUIRE(FindStep<FirstTokenStep>(steps) != nullptr);

      SUBCASE("completes and leaves no attempt to cancel")
      {
        call.OnToken(1, 1, TokenText(1));
        steps = call.OnAnswerEnd(1, 2);
        CHECK(FindStep<EndRequestStep>(steps)->mResult ==
              ModelCallResult::Complete);
        CHECK(call.UnreleasedAttempts().empty());
      }

      // Guards against a truncated answer that looks complete (invariant I3).
      SUBCASE("resumes when the end is reported before the last token")
      {
        steps = call.OnAnswerEnd(1, 5);
        CHECK(FindStep<EndRequestStep>(steps) == nullptr);
        REQUIRE(FindStep<DecodeStep>(steps) != nullptr);
        CHECK(FindStep<DecodeStep>(steps)->mOffset == 1);
      }

      SUBCASE("probes the endpoint after a read timeout")
      {
        steps = call.OnFailure(1, StepFailure::ReadTimeout);
        REQUIRE(FindStep<ProbeStep>(steps)->mEndpoint == "d");

        SUBCASE(
          "and resumes at the next token when only the connection was lost")
        {
          steps = call.OnProbeDone(1, ProbeResult::HasStream);
          CHECK(FindStep<DecodeStep>(steps)->mOffset == 1);
        }
        SUBCASE("and continues at another endpoint after a restart")
        {
          steps = call.OnProbeDone(1, ProbeResult::Restarted);
          CHECK(FindStep<CrashStep>(steps)->mEndpoint == "d");
          steps = call.OnStartPrefill(2, "q");
          CHECK(FindStep<PrefillStep>(steps)->mOffset == 1);
          CHECK(FindStep<PrefillStep>(steps)->mGenerated == TokenText(0));
          // Guards against a token of a replaced attempt (invariant I2).
          CHECK(call.OnToken(1, 1, TokenText(1)).empty());
        }
      }

      // Guards against engine memory that stays allocated after the caller
      // disconnected (invariant I1).
      SUBCASE("reports a disconnect of the caller and the attempt to cancel")
      {
        steps = call.OnCallerDisconnected();
        CHECK(FindStep<RequestCancelledStep>(steps) != nullptr);
        CHECK(call.UnreleasedAttempts() ==
              std::set<EndpointAttempt>{ { 1, "d" } });
        CHECK(call.OnCallerDisconnected().empty());
        CHECK(call.OnDeadline().empty());
        call.OnCancelled(1, "d");
        CHECK(call.UnreleasedAttempts().empty());
      }

      // Guards against an endless loop with an endpoint that accepts resumes
      // but sends no token.
      SUBCASE("fails after several resumes without a token")
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
