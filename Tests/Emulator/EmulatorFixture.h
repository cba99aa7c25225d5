#ifndef BULRUSHFOLD_TESTS_EMULATOR_EMULATORFIXTURE_H
#define BULRUSHFOLD_TESTS_EMULATOR_EMULATORFIXTURE_H

#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "../Net/LoopFixture.h"
#include "Net/HttpClient.h"
#include "Net/SseReader.h"

namespace bulrushfold {

/** A streamed answer, received while the event loop runs. */
struct StreamedAnswer
{
  std::string mBody;
  std::vector<SseEvent> mEvents;
  bool mIsOver = false;
  HttpCallReply mReply;
  std::unique_ptr<SseReader> mReader;
  std::unique_ptr<HttpCall> mCall;

  /** Text of all received tokens of an engine's stream. */
  std::string Text() const
  {
    std::string text;
    for (const auto& it : mEvents) {
      text += nlohmann::json::parse(it.mData).value("token", "");
    }
    return text;
  }
};

/**
 * Evaluates aCondition, which may make calls, until it is true; returns false
 * after kAttempts evaluations. RunUntil is not possible for such a condition,
 * because the loop would run inside its own callback.
 */
inline bool
Eventually(EventLoop& aLoop, const std::function<bool()>& aCondition)
{
  constexpr int kAttempts = 4000;
  for (int i = 0; i < kAttempts; ++i) {
    if (aCondition()) {
      return true;
    }
    bool isDue = false;
    const auto pause =
      aLoop.After(std::chrono::milliseconds(2), [&] { isDue = true; });
    RunUntil(aLoop, [&] { return isDue; });
  }
  return false;
}

/** Client that calls emulators and runs the loop until the answer arrives. */
class TestCaller
{
public:
  explicit TestCaller(EventLoop& aLoop)
    : mLoop(aLoop)
    , mClient(aLoop)
  {
    // Emulators write to connections that tests have closed.
    std::signal(SIGPIPE, SIG_IGN);
  }

  HttpCallReply Call(const SocketAddress& aAddress,
                     HttpMethod aMethod,
                     const std::string& aTarget,
                     const std::string& aBody = "",
                     const HttpHeaders& aHeaders = {})
  {
    HttpCallReply reply;
    bool isOver = false;
    HttpCallHooks hooks;
    hooks.mOnDone = [&](HttpCallReply aReply) {
      reply = std::move(aReply);
      isOver = true;
    };
    const auto call = mClient.Start(
      MakeRequest(aAddress, aMethod, aTarget, aBody, aHeaders), hooks);
    REQUIRE(RunUntil(mLoop, [&] { return isOver; }));
    return reply;
  }

  HttpCallReply Post(const SocketAddress& aAddress,
                     const std::string& aTarget,
                     const nlohmann::json& aBody)
  {
    return Call(aAddress, HttpMethod::Post, aTarget, aBody.dump());
  }

  /** Parsed body of a GET, which must succeed. */
  nlohmann::json Get(const SocketAddress& aAddress, const std::string& aTarget)
  {
    const HttpCallReply reply = Call(aAddress, HttpMethod::Get, aTarget);
    REQUIRE(reply.mStatus == 200);
    return nlohmann::json::parse(reply.mBody);
  }

  std::unique_ptr<StreamedAnswer> Stream(const SocketAddress& aAddress,
                                         HttpMethod aMethod,
                                         const std::string& aTarget,
                                         const std::string& aBody = "")
  {
    auto answer = std::make_unique<StreamedAnswer>();
    StreamedAnswer& it = *answer;
    it.mReader = std::make_unique<SseReader>(
      1 << 20, [&it](const SseEvent& aEvent) { it.mEvents.push_back(aEvent); });
    HttpCallHooks hooks;
    hooks.mOnChunk = [&it](std::string_view aData) {
      it.mBody.append(aData);
      it.mReader->Feed(aData);
    };
    hooks.mOnDone = [&it](HttpCallReply aReply) {
      it.mReply = std::move(aReply);
      it.mIsOver = true;
    };
    HttpCallRequest request =
      MakeRequest(aAddress, aMethod, aTarget, aBody, {});
    request.mMaxIdleTime = Duration::zero();
    it.mCall = mClient.Start(std::move(request), hooks);
    return answer;
  }

private:
  static HttpCallRequest MakeRequest(const SocketAddress& aAddress,
                                     HttpMethod aMethod,
                                     const std::string& aTarget,
                                     const std::string& aBody,
                                     const HttpHeaders& aHeaders)
  {
    HttpCallRequest request;
    request.mAddress = aAddress;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mBody = aBody;
    request.mHeaders = aHeaders;
    // A fault of the test may have silenced pooled connections.
    request.mMaxIdleTime = Duration::zero();
    return request;
  }

  EventLoop& mLoop;
  HttpClient mClient;
};

/** Code of a problem document; empty for other answers. */
inline std::string
ProblemCodeOf(const HttpCallReply& aReply)
{
  const auto json = nlohmann::json::parse(aReply.mBody, nullptr, false);
  return json.is_object() ? json.value("code", "") : "";
}

} // namespace bulrushfold

#endif
