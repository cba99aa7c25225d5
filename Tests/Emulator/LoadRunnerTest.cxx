#include "Emulator/LoadRunner.h"

#include "EmulatorFixture.h"
#include "FakeDaemon.h"

namespace bulrushfold {

namespace {

struct LoadRunResult
{
  bool mIsClean = false;
  nlohmann::ordered_json mMetrics;

  std::uint64_t operator[](const char* aName) const
  {
    return mMetrics.value(aName, std::uint64_t{ 0 });
  }
};

/** Sends three requests of aKind to a fake daemon with the given fault. */
LoadRunResult
RunLoad(LoadKind aKind,
        DaemonFault aFault,
        const std::function<void(LoadSettings&)>& aChange = {})
{
  // The fake writes to connections that callers have closed.
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  SystemClock clock;
  Random random(1);
  FakeDaemon daemon(loop, aFault);
  LoadSettings settings;
  settings.mTargets = { daemon.Address() };
  settings.mServices = { daemon.Address() };
  settings.mModels = { "m" };
  settings.mMix = { { aKind, 1 } };
  settings.mMaxTokens = { 5, 9 };
  settings.mRequests = 3;
  settings.mConnections = 2;
  settings.mMaxAttempts = 2;
  settings.mRetryDelay = std::chrono::milliseconds(1);
  settings.mSettleTime = Duration(0);
  if (aChange) {
    aChange(settings);
  }
  LoadRunner runner(loop, clock, random, settings);
  bool isOver = false;
  runner.Start([&] { isOver = true; });
  REQUIRE(RunUntil(loop, [&] { return isOver; }));
  LoadRunResult result;
  result.mIsClean = runner.Results().IsClean();
  result.mMetrics = runner.Results().Metrics(runner.Elapsed());
  CHECK(result["requests"] == 3);
  return result;
}

} // namespace

// Guards against checks that report faults in correct answers.
TEST_CASE("the load tool accepts a daemon without faults")
{
  const auto kind = { LoadKind::Completion, LoadKind::CompletionStream,
                      LoadKind::Chat,       LoadKind::ChatStream,
                      LoadKind::Lookup,     LoadKind::Booking };
  for (const LoadKind it : kind) {
    CAPTURE(LoadKindName(it));
    const auto result = RunLoad(it, DaemonFault::None);
    CHECK(result.mIsClean);
    CHECK(result["answered"] == 3);
    const auto refused = RunLoad(it, DaemonFault::ValidRefusal);
    CHECK(refused.mIsClean);
    CHECK(refused["refused_some_code"] == 3);
  }
  SUBCASE("in an open loop")
  {
    for (const auto pattern :
         { ArrivalPattern::Poisson, ArrivalPattern::Bursty }) {
      const auto result = RunLoad(
        LoadKind::ChatStream, DaemonFault::None, [&](LoadSettings& aSettings) {
          aSettings.mRate = 1000;
          aSettings.mPattern = pattern;
        });
      CHECK(result.mIsClean);
      CHECK(result["answered"] == 3);
    }
  }
  SUBCASE("when callers read slowly")
  {
    const auto result = RunLoad(LoadKind::CompletionStream,
                                DaemonFault::None,
                                [](LoadSettings& aSettings) {
                                  aSettings.mSlowProbability = 1;
                                  aSettings.mSlowBytesPerSecond = 20'000;
                                });
    CHECK(result.mIsClean);
    CHECK(result["answered"] == 3);
  }
  SUBCASE("when callers cancel")
  {
    const auto result = RunLoad(LoadKind::Booking,
                                DaemonFault::NeverAnswers,
                                [](LoadSettings& aSettings) {
                                  aSettings.mCancelProbability = 1;
                                  aSettings.mCancelAfter =
                                    std::chrono::milliseconds(1);
                                });
    CHECK(result.mIsClean);
    CHECK(result["cancelled"] == 3);
    CHECK(result["bookings_unknown_not_run"] == 3);
  }
  SUBCASE("when one of its daemons does not listen")
  {
    const auto result = RunLoad(
      LoadKind::Booking, DaemonFault::None, [](LoadSettings& aSettings) {
        aSettings.mTargets.push_back(FreeAddress());
        aSettings.mConnections = 1;
      });
    CHECK(result.mIsClean);
    CHECK(result["answered"] == 3);
    CHECK(result["retries"] > 0);
  }
}

// Guards against checks that cannot fail. Each check meets a daemon that has
// exactly the fault that the check must detect.
TEST_CASE("the load tool detects each wrong streamed answer")
{
  struct Case
  {
    DaemonFault mFault;
    const char* mMetric;
    bool mIsRepetition;
  };
  const Case cases[] = {
    { DaemonFault::WrongToken, "fault_wrong_token", false },
    { DaemonFault::Gap, "fault_gap", false },
    { DaemonFault::RepeatedToken, "fault_repeated_token", true },
    { DaemonFault::TooFewTokens, "fault_too_short", false },
    { DaemonFault::TooManyTokens, "fault_after_end", false },
    { DaemonFault::NoDone, "fault_missing_done", false },
    { DaemonFault::TwoDones, "fault_repeated_done", true },
    { DaemonFault::EventAfterDone, "fault_after_end", false },
    { DaemonFault::WrongFinishReason, "fault_wrong_finish_reason", false },
    { DaemonFault::NoFinishReason, "fault_too_short", false },
    { DaemonFault::MalformedEvent, "fault_malformed", false },
    { DaemonFault::NotStreamed, "fault_missing_done", false },
    { DaemonFault::NoRequestId, "fault_wrong_request_id", false },
    { DaemonFault::ErrorEventThenDone, "fault_after_end", false },
    { DaemonFault::ProblemWithoutRan, "fault_malformed", false },
    { DaemonFault::ProblemWithoutCode, "fault_malformed", false },
    { DaemonFault::ProblemOfOtherRequest, "fault_wrong_request_id", false },
  };
  for (const auto kind : { LoadKind::CompletionStream, LoadKind::ChatStream }) {
    for (const auto& it : cases) {
      CAPTURE(it.mMetric);
      CAPTURE(static_cast<int>(it.mFault));
      const auto result = RunLoad(kind, it.mFault);
      CHECK_FALSE(result.mIsClean);
      CHECK(result[it.mMetric] == 3);
      CHECK(result[it.mIsRepetition ? "duplicated" : "wrong"] == 3);
      CHECK(result[it.mIsRepetition ? "wrong" : "duplicated"] == 0);
    }
  }
}

TEST_CASE("the load tool detects each wrong answer that is not streamed")
{
  const std::pair<DaemonFault, const char*> cases[] = {
    { DaemonFault::WrongToken, "fault_wrong_token" },
    { DaemonFault::TooFewTokens, "fault_too_short" },
    { DaemonFault::TooManyTokens, "fault_wrong_token" },
    { DaemonFault::WrongFinishReason, "fault_wrong_finish_reason" },
    { DaemonFault::MalformedEvent, "fault_malformed" },
    { DaemonFault::NoRequestId, "fault_wrong_request_id" },
  };
  for (const auto kind : { LoadKind::Completion, LoadKind::Chat }) {
    for (const auto& it : cases) {
      CAPTURE(it.second);
      const auto result = RunLoad(kind, it.first);
      CHECK_FALSE(result.mIsClean);
      CHECK(result[it.second] == 3);
      CHECK(result["wrong"] == 3);
    }
  }
}

// Guards against missing an answer that reached the wrong caller.
TEST_CASE("the load tool detects a request id that is used twice")
{
  const auto result = RunLoad(LoadKind::Completion, DaemonFault::SameRequestId);
  CHECK_FALSE(result.mIsClean);
  CHECK(result["fault_wrong_request_id"] == 2);
}

// Guards against interrupted streams that count as answered, and correctly
// reported errors that count as wrong answers.
TEST_CASE("the load tool distinguishes interrupted from wrong streams")
{
  const auto interrupted =
    RunLoad(LoadKind::CompletionStream, DaemonFault::InterruptedStream);
  CHECK(interrupted.mIsClean);
  CHECK(interrupted["lost"] == 3);
  CHECK(interrupted["retries"] == 3);
  const auto error =
    RunLoad(LoadKind::CompletionStream, DaemonFault::ErrorEvent);
  CHECK(error.mIsClean);
  CHECK(error["refused_some_code"] == 3);
}

TEST_CASE("the load tool detects each wrong answer of a service")
{
  SUBCASE("the body belongs to another request")
  {
    for (const auto kind : { LoadKind::Lookup, LoadKind::Booking }) {
      for (const auto it :
           { DaemonFault::WrongServiceBody, DaemonFault::OtherKey }) {
        const auto result = RunLoad(kind, it);
        CHECK_FALSE(result.mIsClean);
        CHECK(result["fault_wrong_body"] == 3);
      }
    }
  }
  SUBCASE("a booking runs twice")
  {
    const auto result = RunLoad(LoadKind::Booking, DaemonFault::RunsTwice);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_repeated"] == 3);
    CHECK(result["duplicated"] == 3);
  }
  SUBCASE("a booking that was refused as not run has run")
  {
    const auto result =
      RunLoad(LoadKind::Booking, DaemonFault::RunsDespiteNotRun);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_false_not_run"] == 3);
  }
  SUBCASE("a booking that was answered has not run")
  {
    const auto result =
      RunLoad(LoadKind::Booking, DaemonFault::AnswersWithoutRun);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_false_answer"] == 3);
  }
  // The fake loses the answer after the run and runs the retry of the same key
  // again.
  SUBCASE("a booking runs again on its retry")
  {
    const auto result =
      RunLoad(LoadKind::Booking, DaemonFault::RunsAndLosesAnswer);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_repeated"] == 3);
  }
  SUBCASE("a booking with an unknown outcome may have run")
  {
    const auto result = RunLoad(LoadKind::Booking, DaemonFault::UnknownThatRan);
    CHECK(result.mIsClean);
    CHECK(result["bookings_unknown_ran"] == 3);
  }
  // Guards against a check of bookings that passes without data.
  SUBCASE("the runs cannot be read")
  {
    const auto result = RunLoad(LoadKind::Booking, DaemonFault::UnreadableRuns);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["services_unread"] == 1);
  }
}

} // namespace bulrushfold
