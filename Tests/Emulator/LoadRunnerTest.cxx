#include "Emulator/LoadRunner.h"

#include "Base/Digest.h"
#include "Emulator/TokenSource.h"
#include "EmulatorFixture.h"
#include "Net/HttpServer.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

/** The one promise that a fake daemon breaks. */
enum class Breakage
{
  None,
  WrongToken,
  Gap,
  RepeatedToken,
  TooFewTokens,
  TooManyTokens,
  NoDone,
  TwoDones,
  EventAfterDone,
  WrongFinishReason,
  NoFinishReason,
  MalformedEvent,
  NotAStream,
  NoRequestId,
  SameRequestId,
  CutStream,
  ErrorEvent,
  ErrorEventThenDone,
  ProblemWithoutRan,
  ProblemWithoutCode,
  ProblemOfOtherRequest,
  ProperRefusal,
  WrongServiceBody,
  OtherKey,
  RunsTwice,
  RunsDespiteNotRun,
  AnswersWithoutRun,
  RunsAndLosesAnswer,
  UnknownThatRan,
  UnreadableRuns,
  NeverAnswers,
};

/** A daemon and a plain service in one, which break one promise. */
class FakeDaemon
{
public:
  FakeDaemon(EventLoop& aLoop, Breakage aBreakage)
    : mAddress(FreeAddress())
    , mBreakage(aBreakage)
    , mServer(aLoop, {}, [this](std::shared_ptr<HttpExchange> aExchange) {
      Handle(*aExchange);
      if (mBreakage == Breakage::NeverAnswers) {
        mHeld.push_back(std::move(aExchange));
      }
    })
  {
    REQUIRE(mServer.Listen(mAddress).ok());
  }

  const SocketAddress& Address() const { return mAddress; }

private:
  void Handle(HttpExchange& aExchange)
  {
    const std::string& path = aExchange.Request().mPath;
    mRequestId = mBreakage == Breakage::SameRequestId
                   ? "same"
                   : absl::StrCat("id", ++mCalls);
    if (path == "/runs") {
      aExchange.Reply(200,
                      {},
                      mBreakage == Breakage::UnreadableRuns
                        ? "?"
                        : Json{ { "runs", mRuns } }.dump());
    } else if (mBreakage == Breakage::NeverAnswers) {
      return;
    } else if (path.find("/services/") == 0) {
      HandleService(aExchange);
    } else {
      HandleModel(aExchange);
    }
  }

  HttpHeaders Headers(const std::string& aType) const
  {
    HttpHeaders headers{ { "Content-Type", aType } };
    if (mBreakage != Breakage::NoRequestId) {
      headers.Add("Request-Id", mRequestId);
    }
    return headers;
  }

  Json Problem(const std::string& aRan) const
  {
    Json problem = { { "code", "some_code" },
                     { "request_id", mRequestId },
                     { "ran", aRan } };
    if (mBreakage == Breakage::ProblemWithoutRan) {
      problem.erase("ran");
    } else if (mBreakage == Breakage::ProblemWithoutCode) {
      problem.erase("code");
    } else if (mBreakage == Breakage::ProblemOfOtherRequest) {
      problem["request_id"] = "other";
    }
    return problem;
  }

  void Refuse(HttpExchange& aExchange, const std::string& aRan)
  {
    aExchange.Reply(
      429, Headers("application/problem+json"), Problem(aRan).dump());
  }

  bool Refuses() const
  {
    return mBreakage == Breakage::ProblemWithoutRan ||
           mBreakage == Breakage::ProblemWithoutCode ||
           mBreakage == Breakage::ProblemOfOtherRequest ||
           mBreakage == Breakage::ProperRefusal;
  }

  void HandleModel(HttpExchange& aExchange)
  {
    const Json body = Json::parse(aExchange.Request().mBody);
    mIsChat = body.contains("messages");
    std::string prompt = body.value("prompt", "");
    if (mIsChat) {
      for (const auto& it : body["messages"]) {
        prompt += it["role"].get<std::string>() + ": " +
                  it["content"].get<std::string>() + "\n";
      }
    }
    const std::uint64_t n = body["max_tokens"];
    TokenSource source(body["model"].get<std::string>(), prompt);
    if (Refuses()) {
      Refuse(aExchange, "no");
    } else if (body["stream"] && mBreakage != Breakage::NotAStream) {
      Stream(aExchange, source, n);
    } else {
      Answer(aExchange, source, n);
    }
  }

  void Answer(HttpExchange& aExchange, TokenSource& aSource, std::uint64_t aN)
  {
    std::string text;
    for (std::uint64_t i = 0; i < aN; ++i) {
      text += aSource.Token(i);
    }
    if (mBreakage == Breakage::WrongToken) {
      text[1] = text[1] == 'x' ? 'y' : 'x';
    } else if (mBreakage == Breakage::TooFewTokens) {
      text.resize(text.size() - 1);
    } else if (mBreakage == Breakage::TooManyTokens) {
      text += "t";
    }
    Json choice = { { "finish_reason", FinishReason() } };
    if (mIsChat) {
      choice["message"] = { { "role", "assistant" }, { "content", text } };
    } else {
      choice["text"] = text;
    }
    const Json body = { { "choices", Json::array({ choice }) } };
    aExchange.Reply(200,
                    Headers("application/json"),
                    mBreakage == Breakage::MalformedEvent ? "{" : body.dump());
  }

  std::string FinishReason() const
  {
    return mBreakage == Breakage::WrongFinishReason ? "stop" : "length";
  }

  std::string TokenEvent(std::uint64_t aOffset, const std::string& aToken) const
  {
    Json choice = { { "finish_reason", nullptr } };
    if (mIsChat) {
      choice["delta"] = { { "content", aToken } };
    } else {
      choice["text"] = aToken;
    }
    return FormatSseEvent(absl::StrCat(aOffset),
                          Json{ { "choices", { choice } } }.dump());
  }

  void Stream(HttpExchange& aExchange, TokenSource& aSource, std::uint64_t aN)
  {
    aExchange.StartStream(200, Headers("text/event-stream"));
    for (std::uint64_t i = 0; i < aN; ++i) {
      if (i == 2) {
        aExchange.SendChunk(BreakInTheMiddle(aSource));
        if (Stops(aExchange)) {
          return;
        }
        if (mBreakage == Breakage::WrongToken || mBreakage == Breakage::Gap) {
          continue;
        }
      }
      if (mBreakage != Breakage::TooFewTokens || i + 1 < aN) {
        aExchange.SendChunk(TokenEvent(i, aSource.Token(i)));
      }
    }
    if (mBreakage == Breakage::TooManyTokens) {
      aExchange.SendChunk(TokenEvent(aN, aSource.Token(aN)));
    }
    SendEnd(aExchange);
  }

  std::string BreakInTheMiddle(TokenSource& aSource) const
  {
    switch (mBreakage) {
      case Breakage::WrongToken:
        // The token of another caller's answer.
        return TokenEvent(2, TokenSource("other", "prompt").Token(2));
      case Breakage::RepeatedToken:
        return TokenEvent(1, aSource.Token(1));
      case Breakage::MalformedEvent:
        return "data: {\n\n";
      case Breakage::ErrorEvent:
        return FormatSseEvent("", Json{ { "error", Problem("yes") } }.dump());
      case Breakage::ErrorEventThenDone:
        return FormatSseEvent("", Json{ { "error", Problem("yes") } }.dump()) +
               "data: [DONE]\n\n";
      default:
        return "";
    }
  }

  /** Ends the answer in the middle if the breakage says so. */
  bool Stops(HttpExchange& aExchange) const
  {
    if (mBreakage == Breakage::CutStream) {
      aExchange.Abort();
      return true;
    }
    if (mBreakage == Breakage::ErrorEvent ||
        mBreakage == Breakage::ErrorEventThenDone) {
      aExchange.EndStream();
      return true;
    }
    return false;
  }

  void SendEnd(HttpExchange& aExchange) const
  {
    if (mBreakage != Breakage::NoFinishReason) {
      const Json choice = { { "text", "" },
                            { "finish_reason", FinishReason() } };
      aExchange.SendChunk(
        FormatSseEvent("", Json{ { "choices", { choice } } }.dump()));
    }
    if (mBreakage != Breakage::NoDone) {
      aExchange.SendChunk("data: [DONE]\n\n");
    }
    if (mBreakage == Breakage::TwoDones) {
      aExchange.SendChunk("data: [DONE]\n\n");
    } else if (mBreakage == Breakage::EventAfterDone) {
      aExchange.SendChunk(TokenEvent(3, "late "));
    }
    aExchange.EndStream();
  }

  void HandleService(HttpExchange& aExchange)
  {
    const HttpRequest& request = aExchange.Request();
    const std::string key =
      request.mHeaders.Find("Idempotency-Key").value_or("");
    if (Refuses()) {
      Refuse(aExchange, "no");
      return;
    }
    if (!key.empty()) {
      mRuns[key] += mBreakage == Breakage::RunsTwice           ? 2
                    : mBreakage == Breakage::AnswersWithoutRun ? 0
                                                               : 1;
    }
    if (mBreakage == Breakage::RunsDespiteNotRun) {
      Refuse(aExchange, "no");
    } else if (mBreakage == Breakage::UnknownThatRan) {
      Refuse(aExchange, "unknown");
    } else if (mBreakage == Breakage::RunsAndLosesAnswer) {
      aExchange.Abort();
    } else {
      AnswerService(aExchange, key);
    }
  }

  void AnswerService(HttpExchange& aExchange, const std::string& aKey)
  {
    const std::string body = mBreakage == Breakage::WrongServiceBody
                               ? "another body"
                               : aExchange.Request().mBody;
    const std::string key = mBreakage == Breakage::OtherKey ? "other" : aKey;
    const Json answer = { { "digest", DigestHex(body) }, { "key", key } };
    aExchange.Reply(200, Headers("application/json"), answer.dump());
  }

  SocketAddress mAddress;
  Breakage mBreakage;
  std::string mRequestId;
  std::uint64_t mCalls = 0;
  bool mIsChat = false;
  std::map<std::string, std::uint64_t> mRuns;
  HttpServer mServer;
  std::vector<std::shared_ptr<HttpExchange>> mHeld;
};

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
