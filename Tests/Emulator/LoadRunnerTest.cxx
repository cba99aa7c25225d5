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

/** Runs three requests of aKind against a daemon that breaks one promise. */
LoadRunResult
RunLoad(LoadKind aKind,
        Breakage aBreakage,
        const std::function<void(LoadSettings&)>& aChange = {})
{
  // The fake writes to connections that callers have closed.
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  SystemClock clock;
  Random random(1);
  FakeDaemon daemon(loop, aBreakage);
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

// Guards against detectors that fire on correct answers.
TEST_CASE("the load tool accepts a daemon that keeps its promises")
{
  const auto kind = { LoadKind::Completion, LoadKind::CompletionStream,
                      LoadKind::Chat,       LoadKind::ChatStream,
                      LoadKind::Lookup,     LoadKind::Booking };
  for (const LoadKind it : kind) {
    CAPTURE(LoadKindName(it));
    const auto result = RunLoad(it, Breakage::None);
    CHECK(result.mIsClean);
    CHECK(result["answered"] == 3);
    const auto refused = RunLoad(it, Breakage::ProperRefusal);
    CHECK(refused.mIsClean);
    CHECK(refused["refused_some_code"] == 3);
  }
  SUBCASE("in an open loop")
  {
    for (const auto pattern :
         { ArrivalPattern::Poisson, ArrivalPattern::Bursty }) {
      const auto result = RunLoad(
        LoadKind::ChatStream, Breakage::None, [&](LoadSettings& aSettings) {
          aSettings.mRate = 1000;
          aSettings.mPattern = pattern;
        });
      CHECK(result.mIsClean);
      CHECK(result["answered"] == 3);
    }
  }
  SUBCASE("when callers read slowly")
  {
    const auto result = RunLoad(
      LoadKind::CompletionStream, Breakage::None, [](LoadSettings& aSettings) {
        aSettings.mSlowProbability = 1;
        aSettings.mSlowBytesPerSecond = 20'000;
      });
    CHECK(result.mIsClean);
    CHECK(result["answered"] == 3);
  }
  SUBCASE("when callers cancel")
  {
    const auto result = RunLoad(
      LoadKind::Booking, Breakage::NeverAnswers, [](LoadSettings& aSettings) {
        aSettings.mCancelProbability = 1;
        aSettings.mCancelAfter = std::chrono::milliseconds(1);
      });
    CHECK(result.mIsClean);
    CHECK(result["cancelled"] == 3);
    CHECK(result["bookings_unknown_not_run"] == 3);
  }
  SUBCASE("when one of its daemons does not listen")
  {
    const auto result =
      RunLoad(LoadKind::Booking, Breakage::None, [](LoadSettings& aSettings) {
        aSettings.mTargets.push_back(FreeAddress());
        aSettings.mConnections = 1;
      });
    CHECK(result.mIsClean);
    CHECK(result["answered"] == 3);
    CHECK(result["retries"] > 0);
  }
}

// Each detector is proven by a daemon that breaks exactly its promise; a check
// that cannot fail would hide every defect behind it.
TEST_CASE("the load tool detects each wrong streamed answer")
{
  struct Case
  {
    Breakage mBreakage;
    const char* mMetric;
    bool mIsRepetition;
  };
  const Case cases[] = {
    { Breakage::WrongToken, "fault_wrong_token", false },
    { Breakage::Gap, "fault_gap", false },
    { Breakage::RepeatedToken, "fault_repeated_token", true },
    { Breakage::TooFewTokens, "fault_too_short", false },
    { Breakage::TooManyTokens, "fault_after_end", false },
    { Breakage::NoDone, "fault_missing_done", false },
    { Breakage::TwoDones, "fault_repeated_done", true },
    { Breakage::EventAfterDone, "fault_after_end", false },
    { Breakage::WrongFinishReason, "fault_wrong_finish_reason", false },
    { Breakage::NoFinishReason, "fault_too_short", false },
    { Breakage::MalformedEvent, "fault_malformed", false },
    { Breakage::NotAStream, "fault_missing_done", false },
    { Breakage::NoRequestId, "fault_wrong_request_id", false },
    { Breakage::ErrorEventThenDone, "fault_after_end", false },
    { Breakage::ProblemWithoutRan, "fault_malformed", false },
    { Breakage::ProblemWithoutCode, "fault_malformed", false },
    { Breakage::ProblemOfOtherRequest, "fault_wrong_request_id", false },
  };
  for (const auto kind : { LoadKind::CompletionStream, LoadKind::ChatStream }) {
    for (const auto& it : cases) {
      CAPTURE(it.mMetric);
      CAPTURE(static_cast<int>(it.mBreakage));
      const auto result = RunLoad(kind, it.mBreakage);
      CHECK_FALSE(result.mIsClean);
      CHECK(result[it.mMetric] == 3);
      CHECK(result[it.mIsRepetition ? "duplicated" : "wrong"] == 3);
      CHECK(result[it.mIsRepetition ? "wrong" : "duplicated"] == 0);
    }
  }
}

TEST_CASE("the load tool detects each wrong whole answer")
{
  const std::pair<Breakage, const char*> cases[] = {
    { Breakage::WrongToken, "fault_wrong_token" },
    { Breakage::TooFewTokens, "fault_too_short" },
    { Breakage::TooManyTokens, "fault_wrong_token" },
    { Breakage::WrongFinishReason, "fault_wrong_finish_reason" },
    { Breakage::MalformedEvent, "fault_malformed" },
    { Breakage::NoRequestId, "fault_wrong_request_id" },
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

// Guards against an answer that reached the wrong caller.
TEST_CASE("the load tool detects a request id that is used twice")
{
  const auto result = RunLoad(LoadKind::Completion, Breakage::SameRequestId);
  CHECK_FALSE(result.mIsClean);
  CHECK(result["fault_wrong_request_id"] == 2);
}

// Guards against broken streams that count as answered, and honest failures
// that count as wrong.
TEST_CASE("the load tool tells a broken stream from a wrong one")
{
  const auto cut = RunLoad(LoadKind::CompletionStream, Breakage::CutStream);
  CHECK(cut.mIsClean);
  CHECK(cut["lost"] == 3);
  CHECK(cut["retries"] == 3);
  const auto error = RunLoad(LoadKind::CompletionStream, Breakage::ErrorEvent);
  CHECK(error.mIsClean);
  CHECK(error["refused_some_code"] == 3);
}

TEST_CASE("the load tool detects each broken promise about services")
{
  SUBCASE("a body of another request")
  {
    for (const auto kind : { LoadKind::Lookup, LoadKind::Booking }) {
      for (const auto it : { Breakage::WrongServiceBody, Breakage::OtherKey }) {
        const auto result = RunLoad(kind, it);
        CHECK_FALSE(result.mIsClean);
        CHECK(result["fault_wrong_body"] == 3);
      }
    }
  }
  SUBCASE("a second run")
  {
    const auto result = RunLoad(LoadKind::Booking, Breakage::RunsTwice);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_repeated"] == 3);
    CHECK(result["duplicated"] == 3);
  }
  SUBCASE("a run in spite of not run")
  {
    const auto result = RunLoad(LoadKind::Booking, Breakage::RunsDespiteNotRun);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_false_not_run"] == 3);
  }
  SUBCASE("an answer without a run")
  {
    const auto result = RunLoad(LoadKind::Booking, Breakage::AnswersWithoutRun);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_false_answer"] == 3);
  }
  // The retry with the same key makes the fake run each key twice.
  SUBCASE("a run for each retry")
  {
    const auto result =
      RunLoad(LoadKind::Booking, Breakage::RunsAndLosesAnswer);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["bookings_repeated"] == 3);
  }
  SUBCASE("an unknown outcome may have run")
  {
    const auto result = RunLoad(LoadKind::Booking, Breakage::UnknownThatRan);
    CHECK(result.mIsClean);
    CHECK(result["bookings_unknown_ran"] == 3);
  }
  // Guards against a check of bookings that passes because it read nothing.
  SUBCASE("runs that cannot be read")
  {
    const auto result = RunLoad(LoadKind::Booking, Breakage::UnreadableRuns);
    CHECK_FALSE(result.mIsClean);
    CHECK(result["services_unread"] == 1);
  }
}

} // namespace bulrushfold
