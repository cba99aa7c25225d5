#ifndef BULRUSHFOLD_TESTS_CONTROL_CONTROLFIXTURE_H
#define BULRUSHFOLD_TESTS_CONTROL_CONTROLFIXTURE_H

#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "../Net/LoopFixture.h"
#include "Control/ControlProgram.h"
#include "Net/HttpServer.h"

namespace bulrushfold {

/** Answer of a FakeDaemon to a request. */
struct FakeAnswer
{
  int mStatus = 200;
  nlohmann::json mBody = nlohmann::json::object();
  /** Closes the connection without an answer. */
  bool mIsAborted = false;
  /** Keeps the connection open without an answer. */
  bool mIsUnanswered = false;
};

/** Administration API of a daemon, with answers set by the test. */
class FakeDaemon
{
public:
  using Handler = std::function<FakeAnswer(const HttpRequest&)>;

  explicit FakeDaemon(EventLoop& aLoop)
    : mServer(aLoop,
              {},
              [this](std::shared_ptr<HttpExchange> aIt) { Serve(aIt); })
    , mAddress(FreeAddress())
  {
    REQUIRE(mServer.Listen(mAddress).ok());
  }

  /** Sets the handler of requests to "METHOD PATH"; others receive a 404. */
  void SetAnswer(const std::string& aCall, Handler aHandler)
  {
    mHandlers[aCall] = std::move(aHandler);
  }
  void SetAnswer(const std::string& aCall, nlohmann::json aBody)
  {
    SetAnswer(aCall, [body = std::move(aBody)](const HttpRequest&) {
      return FakeAnswer{ 200, body, false };
    });
  }
  std::string Address() const { return FormatAddress(mAddress); }
  const std::vector<HttpRequest>& Requests() const { return mRequests; }
  std::size_t CountOf(HttpMethod aMethod) const
  {
    std::size_t n = 0;
    for (const auto& it : mRequests) {
      n += it.mMethod == aMethod ? 1 : 0;
    }
    return n;
  }

private:
  void Serve(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const HttpRequest& request = aExchange->Request();
    mRequests.push_back(request);
    const auto it = mHandlers.find(
      std::string(HttpMethodName(request.mMethod)) + " " + request.mPath);
    FakeAnswer answer{ 404, { { "code", "not_found" } } };
    if (it != mHandlers.end()) {
      answer = it->second(request);
    }
    if (answer.mIsUnanswered) {
      mUnanswered.push_back(aExchange);
    } else if (!answer.mIsAborted) {
      aExchange->Reply(answer.mStatus, {}, answer.mBody.dump());
    }
  }

  std::map<std::string, Handler> mHandlers;
  std::vector<HttpRequest> mRequests;
  std::vector<std::shared_ptr<HttpExchange>> mUnanswered;
  HttpServer mServer;
  SocketAddress mAddress;
};

/** Runs bulrushfoldctl in the event loop of the test. */
class ControlFixture
{
public:
  ExitCode Run(std::vector<std::string> aArguments)
  {
    mOut.str("");
    mErrors.str("");
    std::istringstream in(mInput);
    const auto environment = [this](const std::string& aName) {
      const auto it = mEnvironment.find(aName);
      return it == mEnvironment.end() ? std::nullopt
                                      : std::make_optional(it->second);
    };
    return RunControl(
      aArguments, { mLoop, mClock, mRandom, in, mOut, mErrors, environment });
  }
  void SetDaemons(const std::string& aDaemons)
  {
    mEnvironment["BULRUSHFOLD_DAEMONS"] = aDaemons;
    mEnvironment["BULRUSHFOLD_TOKEN"] = "secret-token";
  }
  std::string Out() const { return mOut.str(); }
  std::string Errors() const { return mErrors.str(); }

  EventLoop mLoop;
  SystemClock mClock;
  Random mRandom{ 4 };
  std::string mInput;
  std::map<std::string, std::string> mEnvironment;

private:
  std::ostringstream mOut;
  std::ostringstream mErrors;
};

inline const nlohmann::json kPresetsAnswer{
  { "key", "config/presets" },
  { "version", 5 },
  { "in_force", "normal" },
  { "presets",
    { { "normal", { { "slot_share", 1.0 } } },
      { "night", { { "slot_share", 0.5 } } } } }
};

} // namespace bulrushfold

#endif
