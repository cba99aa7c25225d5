#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "FurtherRouter.h"
#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;

constexpr const char* kOldVersion = "v1";
constexpr const char* kNewVersion = "v2";
/** End of the ids of attempts that resume a stream. */
constexpr const char* kAgain = "-again";

/** Routers in front of engines of two software versions. A run that begins a
 * stream sends three events and goes on for ever; one that resumes a stream
 * sends three more and ends. */
class VersionFleet
{
public:
  VersionFleet()
  {
    mPlatform.AddEndpoint("i-p", "llm", "prefill");
    AddEngine("i-a", kOldVersion);
    AddEngine("i-b", kOldVersion);
    mPlatform.Start();
    AddRouter("front-2");
    WaitForPeers();
  }

  void AddRouter(const std::string& aName)
  {
    mRouters[aName] = std::make_unique<FurtherRouter>(mPlatform, aName);
  }
  /** Ends the router with all its connections. */
  void KillRouter(const std::string& aName) { mRouters.erase(aName); }
  void AddEngine(const std::string& aId, const std::string& aVersion)
  {
    RawEndpoint& engine = mPlatform.AddRawEndpoint(aId, "llm", "decode");
    auto entry = nlohmann::json::parse(engine.RegistryEntry("llm"));
    entry["version"] = aVersion;
    mPlatform.mFakeStore.Write("servers/" + aId, entry);
    engine.OnRequest([this, aVersion, &engine](const RawRequest& aRequest) {
      HandleRun(aVersion, engine, aRequest);
    });
  }
  /** Time for the routers to read the store and to hear of each other. */
  void WaitForPeers() { RunFor(mPlatform.mLoop, milliseconds(1500)); }

  /** Waits until the router has read configuration and endpoints; it may not
   * have found the others by then. */
  bool WaitUntilReady(const std::string& aName)
  {
    for (int i = 0; i < 400; ++i) {
      if (HasStatus(mPlatform.CallReadiness(
                      mRouters.at(aName)->ReadinessAddress(), "/api/ready"),
                    200)) {
        return true;
      }
    }
    return false;
  }
  /** Begins the stream aId at aRouter, and leaves it after its first events. */
  void Begin(const std::string& aRouter, const std::string& aId)
  {
    mClients.push_back(std::make_unique<RawClient>(CallerAddress(aRouter)));
    RawClient& client = *mClients.back();
    client.Send(PlatformFixture::Request("/resumable/1", aId));
    REQUIRE(mPlatform.WaitUntil(
      [&] { return CountOccurrences(client.Received(), "data: ") == 3; }));
  }
  void Leave()
  {
    for (const auto& it : mClients) {
      it->Close();
    }
    RunFor(mPlatform.mLoop, milliseconds(50));
  }
  /** Resumes the stream aId at aRouter; returns the whole answer. */
  std::string Resume(const std::string& aRouter, const std::string& aId)
  {
    RawClient client(CallerAddress(aRouter));
    client.Send(PlatformFixture::Request(
      "/resumable/1",
      aId + "-again",
      "Connection: close\r\nResumes: " + aId + "\r\nLast-Event-Id: 3\r\n"));
    REQUIRE(mPlatform.WaitUntil([&] { return client.IsClosedByServer(); }));
    return client.Received();
  }
  /** Versions that began streams, and those that resumed one. */
  std::map<std::string, int> mBegun;
  std::map<std::string, int> mResumed;

private:
  SocketAddress CallerAddress(const std::string& aRouter)
  {
    return aRouter == mPlatform.mSettings.mName
             ? mPlatform.mSettings.mCallerAddress
             : mRouters.at(aRouter)->CallerAddress();
  }
  void HandleRun(const std::string& aVersion,
                 RawEndpoint& aEngine,
                 const RawRequest& aRequest)
  {
    if (aRequest.mPath != "/resumable/1") {
      return;
    }
    // A router replaces a run that is silent for long; such a run goes on too.
    const bool isResumed =
      aRequest.mBytes.find("Last-Event-Id: 3\r\n") != std::string::npos;
    const bool isCallers = aRequest.mId.find(kAgain) != std::string::npos;
    if (isResumed == isCallers) {
      ++(isResumed ? mResumed : mBegun)[aVersion];
    }
    aEngine.Send(aRequest.mConnection,
                 UnframedHead(aRequest, 200, kStreamType) +
                   (isResumed ? Events(4, 6) : Events(1, 3)));
    if (isResumed) {
      mPlatform.mTimers.push_back(mPlatform.mLoop.After(
        milliseconds(20), [&aEngine, connection = aRequest.mConnection] {
          aEngine.Close(connection, RawClose::Orderly);
        }));
    }
  }

  PlatformFixture mPlatform;
  std::map<std::string, std::unique_ptr<FurtherRouter>> mRouters;
  std::vector<std::unique_ptr<RawClient>> mClients;
};

constexpr int kStreams = 6;

std::string
StreamId(int aNumber)
{
  return "r" + std::to_string(aNumber);
}
} // namespace

// Guards against a stream with events of two software versions, because its
// caller resumes it at a daemon that did not begin it.
TEST_CASE("A stream is resumed at the version that began it by any daemon")
{
  VersionFleet fleet;
  for (int i = 0; i < kStreams; ++i) {
    fleet.Begin("front-2", StreamId(i));
  }
  // Idle engines of the new version, which each new stream prefers.
  for (const std::string id : { "i-c", "i-d", "i-e" }) {
    fleet.AddEngine(id, kNewVersion);
  }
  fleet.WaitForPeers();
  REQUIRE(fleet.mBegun[kOldVersion] == kStreams);
  std::string router = "front-1";

  SUBCASE("while the daemon that began it lives")
  {
    fleet.Leave();
  }
  SUBCASE("when that daemon is gone")
  {
    fleet.KillRouter("front-2");
  }
  SUBCASE("also by a daemon that has just started")
  {
    fleet.Leave();
    fleet.AddRouter("front-3");
    REQUIRE(fleet.WaitUntilReady("front-3"));
    router = "front-3";
  }
  for (int i = 0; i < kStreams; ++i) {
    CHECK(IsEndedStream(fleet.Resume(router, StreamId(i))));
  }
  CHECK(fleet.mResumed[kOldVersion] == kStreams);
  CHECK(fleet.mResumed[kNewVersion] == 0);
}

// Guards against a guess: a stream whose version nobody knows may have begun at
// either.
TEST_CASE("A stream that no daemon knows is resumed only at a sole version")
{
  VersionFleet fleet;
  SUBCASE("at the version that all engines have")
  {
    CHECK(IsEndedStream(fleet.Resume("front-1", "unknown")));
  }
  SUBCASE("not at one of two")
  {
    fleet.AddEngine("i-c", kNewVersion);
    fleet.WaitForPeers();
    CHECK(HasStatus(fleet.Resume("front-1", "unknown"), 503));
    CHECK(fleet.mResumed.empty());
  }
}

} // namespace bulrushfold
