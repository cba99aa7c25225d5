#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
} // namespace

// Guards against an answer that breaks off and looks complete to the caller.
TEST_CASE("Answers with neither a length nor chunks end with their connection")
{
  PlatformFixture platform;
  std::string body;
  RawClose end = RawClose::Orderly;

  SUBCASE("plain answers")
  {
    RawEndpoint& endpoint = platform.AddRawEndpoint("i-a", "app");
    int status = 200;
    int expected = 200;
    body = "whole";
    SUBCASE("are complete after an orderly end") {}
    SUBCASE("are complete after an orderly end when they are errors")
    {
      status = expected = 500;
    }
    SUBCASE("are incomplete after a reset")
    {
      end = RawClose::Reset;
      expected = 502;
    }
    endpoint.OnRequest([&](const RawRequest& aRequest) {
      endpoint.Send(aRequest.mConnection,
                    UnframedHead(aRequest, status) + body);
      endpoint.Close(aRequest.mConnection, end);
    });
    platform.Start();
    const std::string answer = platform.Call("/unsafe/1", "r1");
    CHECK(HasStatus(answer, expected));
    CHECK((answer.find("whole") != std::string::npos) ==
          (end == RawClose::Orderly));
    CHECK(endpoint.Requests().size() == 1);
  }
  SUBCASE("streams")
  {
    platform.AddEndpoint("i-p", "llm", "prefill");
    RawEndpoint& a = platform.AddRawEndpoint("i-a", "llm", "decode");
    RawEndpoint& b = platform.AddRawEndpoint("i-b", "llm", "decode");
    std::string type = kStreamType;
    std::string path = "/stream/1";
    bool isComplete = false;
    body = Events(1, 3);
    SUBCASE("are complete after an orderly end")
    {
      isComplete = true;
      // The protocol has no mark of a stream's last event, so a stream that
      // ends in order after an event can't be told from a complete one.
    }
    SUBCASE("are incomplete after an end inside an event")
    {
      body += "id: 4\nda";
    }
    SUBCASE("are incomplete after an end inside an event without a type")
    {
      type = "";
      body += "id: 4\nda";
    }
    SUBCASE("are incomplete after an end inside the first event")
    {
      type = "";
      body = "id: 1\nda";
    }
    SUBCASE("are complete after an orderly end without a type")
    {
      type = "";
      isComplete = true;
    }
    SUBCASE("are incomplete after a reset")
    {
      end = RawClose::Reset;
    }
    // Guards against an event that is joined from the bytes of two runs.
    SUBCASE("are not resumed after a part of an event was passed on")
    {
      path = "/resumable/1";
      type = "";
      body += "id: 4\nda";
      end = RawClose::Reset;
    }
    const auto breakOff = [&](RawEndpoint& aEndpoint) {
      return [&](const RawRequest& aRequest) {
        aEndpoint.Send(aRequest.mConnection,
                       UnframedHead(aRequest, 200, type) + body);
        // A reset discards bytes that the router has not read yet.
        const std::size_t connection = aRequest.mConnection;
        platform.mTimers.push_back(
          platform.mLoop.After(milliseconds(30), [&aEndpoint, connection, end] {
            aEndpoint.Close(connection, end);
          }));
      };
    };
    a.OnRequest(breakOff(a));
    b.OnRequest(breakOff(b));
    platform.Start();
    const std::string answer = platform.Call(path, "r1");
    CHECK(IsEndedStream(answer) == isComplete);
    CHECK(a.Requests().size() + b.Requests().size() == 1);
  }
  SUBCASE("streams that may be resumed continue after the last whole event")
  {
    platform.AddEndpoint("i-p", "llm", "prefill");
    RawEndpoint& a = platform.AddRawEndpoint("i-a", "llm", "decode");
    RawEndpoint& b = platform.AddRawEndpoint("i-b", "llm", "decode");
    bool isFirst = true;
    body = Events(1, 3);
    SUBCASE("after an end inside an event")
    {
      body += "id: 4\nda";
    }
    SUBCASE("after a reset")
    {
      end = RawClose::Reset;
    }
    const auto run = [&](RawEndpoint& aEndpoint) {
      return [&](const RawRequest& aRequest) {
        const bool breaksOff = std::exchange(isFirst, false);
        const std::size_t connection = aRequest.mConnection;
        const bool continues =
          aRequest.mBytes.find("Last-Event-Id: 3\r\n") != std::string::npos;
        aEndpoint.Send(connection,
                       UnframedHead(aRequest, 200, kStreamType) +
                         (breaksOff ? body : Events(continues ? 4 : 1, 6)));
        platform.mTimers.push_back(platform.mLoop.After(
          milliseconds(30), [&aEndpoint, connection, breaksOff, end] {
            aEndpoint.Close(connection, breaksOff ? end : RawClose::Orderly);
          }));
      };
    };
    a.OnRequest(run(a));
    b.OnRequest(run(b));
    platform.Start();
    const std::string answer = platform.Call("/resumable/1", "r1");
    CHECK(IsEndedStream(answer));
    CHECK(CountOccurrences(answer, "data: ") == 6);
    for (int i = 1; i <= 6; ++i) {
      CHECK(CountOccurrences(answer, "data: " + std::to_string(i)) == 1);
    }
    CHECK(a.Requests().size() + b.Requests().size() == 2);
  }
}

// Guards against a prompt part that keeps crashing engines because the crash
// of an answer without framing looks like its end.
TEST_CASE("Unframed streams that end inside an event count as crashes")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-s", "app");
  platform.Start();
  const auto call = [&](const std::string& aName) {
    RawEndpoint* endpoint = nullptr;
    platform.ChangeStore([&] {
      endpoint = &platform.AddRawEndpoint("i-" + aName, "llm", "decode");
    });
    endpoint->OnRequest([&platform, endpoint](const RawRequest& aRequest) {
      const std::size_t connection = aRequest.mConnection;
      endpoint->Send(connection,
                     UnframedHead(aRequest, 200, kStreamType) + "id: 1\nda");
      platform.mTimers.push_back(
        platform.mLoop.After(milliseconds(30), [endpoint, connection] {
          endpoint->Close(connection, RawClose::Orderly);
        }));
    });
    std::string answer = platform.Call(
      "/stream/1", aName, "X-Prompt-Prefix: f:10,d:10," + aName + ":80\r\n");
    platform.ChangeStore(
      [&] { platform.mFakeStore.Remove("servers/i-" + aName); });
    return answer;
  };
  for (const std::string name : { "a", "b", "c" }) {
    CHECK_FALSE(IsEndedStream(call(name)));
  }
  CHECK(HasStatus(call("e"), 503));
  CHECK(platform.mRawEndpoints.at("i-e")->Requests().empty());
}

} // namespace bulrushfold
