#ifndef BULRUSHFOLD_TESTS_EMULATOR_FAKEDAEMON_H
#define BULRUSHFOLD_TESTS_EMULATOR_FAKEDAEMON_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "../Net/LoopFixture.h"
#include "Base/Digest.h"
#include "Emulator/TokenSource.h"
#include "Net/HttpServer.h"
#include "Net/SseReader.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

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
  using Json = nlohmann::json;

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

} // namespace bulrushfold

#endif
