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

/** The fault that a fake daemon has. */
enum class DaemonFault
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
  NotStreamed,
  NoRequestId,
  SameRequestId,
  InterruptedStream,
  ErrorEvent,
  ErrorEventThenDone,
  ProblemWithoutRan,
  ProblemWithoutCode,
  ProblemOfOtherRequest,
  ValidRefusal,
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

/** A fake of a daemon and a plain service, with one selectable fault. */
class FakeDaemon
{
public:
  FakeDaemon(EventLoop& aLoop, DaemonFault aFault)
    : mAddress(FreeAddress())
    , mFault(aFault)
    , mServer(aLoop, {}, [this](std::shared_ptr<HttpExchange> aExchange) {
      Handle(*aExchange);
      if (mFault == DaemonFault::NeverAnswers) {
        mOpenExchanges.push_back(std::move(aExchange));
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
    mRequestId = mFault == DaemonFault::SameRequestId
                   ? "same"
                   : absl::StrCat("id", ++mCalls);
    if (path == "/runs") {
      aExchange.Reply(200,
                      {},
                      mFault == DaemonFault::UnreadableRuns
                        ? "?"
                        : Json{ { "runs", mRuns } }.dump());
    } else if (mFault == DaemonFault::NeverAnswers) {
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
    if (mFault != DaemonFault::NoRequestId) {
      headers.Add("Request-Id", mRequestId);
    }
    return headers;
  }

  Json Problem(const std::string& aRan) const
  {
    Json problem = { { "code", "some_code" },
                     { "request_id", mRequestId },
                     { "ran", aRan } };
    if (mFault == DaemonFault::ProblemWithoutRan) {
      problem.erase("ran");
    } else if (mFault == DaemonFault::ProblemWithoutCode) {
      problem.erase("code");
    } else if (mFault == DaemonFault::ProblemOfOtherRequest) {
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
    return mFault == DaemonFault::ProblemWithoutRan ||
           mFault == DaemonFault::ProblemWithoutCode ||
           mFault == DaemonFault::ProblemOfOtherRequest ||
           mFault == DaemonFault::ValidRefusal;
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
    } else if (body["stream"] && mFault != DaemonFault::NotStreamed) {
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
    if (mFault == DaemonFault::WrongToken) {
      text[1] = text[1] == 'x' ? 'y' : 'x';
    } else if (mFault == DaemonFault::TooFewTokens) {
      text.resize(text.size() - 1);
    } else if (mFault == DaemonFault::TooManyTokens) {
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
                    mFault == DaemonFault::MalformedEvent ? "{" : body.dump());
  }

  std::string FinishReason() const
  {
    return mFault == DaemonFault::WrongFinishReason ? "stop" : "length";
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
        aExchange.SendChunk(MidStreamFault(aSource));
        if (EndsEarly(aExchange)) {
          return;
        }
        if (mFault == DaemonFault::WrongToken || mFault == DaemonFault::Gap) {
          continue;
        }
      }
      if (mFault != DaemonFault::TooFewTokens || i + 1 < aN) {
        aExchange.SendChunk(TokenEvent(i, aSource.Token(i)));
      }
    }
    if (mFault == DaemonFault::TooManyTokens) {
      aExchange.SendChunk(TokenEvent(aN, aSource.Token(aN)));
    }
    SendEnd(aExchange);
  }

  std::string MidStreamFault(TokenSource& aSource) const
  {
    switch (mFault) {
      case DaemonFault::WrongToken:
        // This token belongs to the answer of another caller.
        return TokenEvent(2, TokenSource("other", "prompt").Token(2));
      case DaemonFault::RepeatedToken:
        return TokenEvent(1, aSource.Token(1));
      case DaemonFault::MalformedEvent:
        return "data: {\n\n";
      case DaemonFault::ErrorEvent:
        return FormatSseEvent("", Json{ { "error", Problem("yes") } }.dump());
      case DaemonFault::ErrorEventThenDone:
        return FormatSseEvent("", Json{ { "error", Problem("yes") } }.dump()) +
               "data: [DONE]\n\n";
      default:
        return "";
    }
  }

  /** Ends the answer early if the fault requires it. */
  bool EndsEarly(HttpExchange& aExchange) const
  {
    if (mFault == DaemonFault::InterruptedStream) {
      aExchange.Abort();
      return true;
    }
    if (mFault == DaemonFault::ErrorEvent ||
        mFault == DaemonFault::ErrorEventThenDone) {
      aExchange.EndStream();
      return true;
    }
    return false;
  }

  void SendEnd(HttpExchange& aExchange) const
  {
    if (mFault != DaemonFault::NoFinishReason) {
      const Json choice = { { "text", "" },
                            { "finish_reason", FinishReason() } };
      aExchange.SendChunk(
        FormatSseEvent("", Json{ { "choices", { choice } } }.dump()));
    }
    if (mFault != DaemonFault::NoDone) {
      aExchange.SendChunk("data: [DONE]\n\n");
    }
    if (mFault == DaemonFault::TwoDones) {
      aExchange.SendChunk("data: [DONE]\n\n");
    } else if (mFault == DaemonFault::EventAfterDone) {
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
      mRuns[key] += mFault == DaemonFault::RunsTwice           ? 2
                    : mFault == DaemonFault::AnswersWithoutRun ? 0
                                                               : 1;
    }
    if (mFault == DaemonFault::RunsDespiteNotRun) {
      Refuse(aExchange, "no");
    } else if (mFault == DaemonFault::UnknownThatRan) {
      Refuse(aExchange, "unknown");
    } else if (mFault == DaemonFault::RunsAndLosesAnswer) {
      aExchange.Abort();
    } else {
      AnswerService(aExchange, key);
    }
  }

  void AnswerService(HttpExchange& aExchange, const std::string& aKey)
  {
    const std::string body = mFault == DaemonFault::WrongServiceBody
                               ? "another body"
                               : aExchange.Request().mBody;
    const std::string key = mFault == DaemonFault::OtherKey ? "other" : aKey;
    const Json answer = { { "digest", DigestHex(body) }, { "key", key } };
    aExchange.Reply(200, Headers("application/json"), answer.dump());
  }

  SocketAddress mAddress;
  DaemonFault mFault;
  std::string mRequestId;
  std::uint64_t mCalls = 0;
  bool mIsChat = false;
  std::map<std::string, std::uint64_t> mRuns;
  HttpServer mServer;
  std::vector<std::shared_ptr<HttpExchange>> mOpenExchanges;
};

} // namespace bulrushfold

#endif
