#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {

/** A router with two decode engines whose answers have no length. The engine
 * that runs a stream leaves after three events, and stops the stream when it is
 * asked to move it. */
class MoveFixture
{
public:
  MoveFixture()
  {
    mPlatform.AddEndpoint("i-p", "llm", "prefill");
    for (const std::string id : { "i-a", "i-b" }) {
      RawEndpoint& engine = mPlatform.AddRawEndpoint(id, "llm", "decode");
      engine.OnRequest([this, id, &engine](const RawRequest& aRequest) {
        if (aRequest.mPath == "/api/kv-move") {
          HandleMove(engine, aRequest);
        } else {
          HandleRun(id, engine, aRequest);
        }
      });
    }
    mPlatform.Start();
  }

  /** Calls the route aName for a long stream and returns the whole answer. */
  std::string Call(const std::string& aName, const std::string& aId)
  {
    const std::string tokens = "100,50";
    std::string request = PlatformFixture::Request(
      "/" + aName + "/1", aId, "Connection: close\r\n");
    request.replace(request.find(tokens), tokens.size(), "100,20000");
    RawClient client(mPlatform.mSettings.mCallerAddress);
    client.Send(request);
    REQUIRE(mPlatform.WaitUntil([&] { return client.IsClosedByServer(); }));
    return client.Received();
  }

  /** The first run ends by itself, after its engine has begun to leave. */
  bool mEndsAlone = false;
  /** Status of the answers to moves. */
  int mMoveStatus = 200;
  /** Number of runs that began anew or were continued. */
  int mRuns = 0;

private:
  void HandleRun(const std::string& aId,
                 RawEndpoint& aEngine,
                 const RawRequest& aRequest)
  {
    ++mRuns;
    mConnection = aRequest.mConnection;
    const bool isContinued =
      aRequest.mBytes.find("Last-Event-Id: 3\r\n") != std::string::npos;
    aEngine.Send(mConnection,
                 UnframedHead(aRequest, 200, kStreamType) +
                   (isContinued ? Events(4, 6) : Events(1, 3)));
    if (isContinued) {
      mPlatform.mTimers.push_back(
        mPlatform.mLoop.After(std::chrono::milliseconds(30), [this, &aEngine] {
          aEngine.Close(mConnection, RawClose::Orderly);
        }));
      return;
    }
    auto entry = nlohmann::json::parse(aEngine.RegistryEntry("llm"));
    entry["state"] = "draining";
    mPlatform.mTimers.push_back(
      mPlatform.mLoop.After(std::chrono::milliseconds(100), [this, aId, entry] {
        mPlatform.mFakeStore.Write("servers/" + aId, entry);
      }));
    if (mEndsAlone) {
      mPlatform.mTimers.push_back(
        mPlatform.mLoop.After(std::chrono::milliseconds(400), [this, &aEngine] {
          aEngine.Close(mConnection, RawClose::Orderly);
        }));
    }
  }
  void HandleMove(RawEndpoint& aEngine, const RawRequest& aRequest)
  {
    aEngine.Close(mConnection, RawClose::Orderly);
    const std::size_t connection = aRequest.mConnection;
    mPlatform.mTimers.push_back(mPlatform.mLoop.After(
      std::chrono::milliseconds(20), [this, &aEngine, connection] {
        aEngine.Send(connection,
                     RawEndpoint::Answer(
                       mMoveStatus,
                       "Content-Type: application/json\r\n",
                       mMoveStatus == 404 ? "{}" : "{\"handle\":\"moved\"}"));
      }));
  }

  PlatformFixture mPlatform;
  std::size_t mConnection = 0;
};

} // namespace

// Guards against a stream that ends early and looks complete to the caller: an
// engine that stops a run for a move closes its connection in order.
TEST_CASE("A stream without a length is whole after a move")
{
  MoveFixture fixture;
  std::string route;
  SUBCASE("on a route that allows one run")
  {
    route = "stream";
  }
  SUBCASE("on a route that allows more")
  {
    route = "resumable";
  }
  const std::string answer = fixture.Call(route, "r1");
  CHECK(IsEndedStream(answer));
  CHECK(CountOccurrences(answer, "data: ") == 6);
  CHECK(fixture.mRuns == 2);
}

// Guards against a process that ends because a caller's request id is not
// UTF-8, which the body of a move can't carry.
TEST_CASE("A stream whose id is not UTF-8 stays at an engine that leaves")
{
  MoveFixture fixture;
  fixture.mEndsAlone = true;
  const std::string answer = fixture.Call("stream", "caf\xe9");
  CHECK(IsEndedStream(answer));
  CHECK(CountOccurrences(answer, "data: ") == 3);
  CHECK(fixture.mRuns == 1);
}

// Guards against a whole answer that is cut because a move came too late.
TEST_CASE("A stream without a length that ends before a move is complete")
{
  MoveFixture fixture;
  fixture.mMoveStatus = 404;
  const std::string answer = fixture.Call("stream", "r1");
  CHECK(IsEndedStream(answer));
  CHECK(CountOccurrences(answer, "data: ") == 3);
  CHECK(fixture.mRuns == 1);
}

} // namespace bulrushfold
