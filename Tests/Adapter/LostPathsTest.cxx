#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "FurtherRouter.h"
#include "PathProxy.h"
#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;

/** Time after the begin of a cut from which the users judge a machine. */
constexpr Duration kContactTime = milliseconds(3000);
constexpr Duration kMeasuredTime = milliseconds(1500);
constexpr Duration kRequestInterval = milliseconds(20);
/** Longer than the deadline of each request. */
constexpr Duration kLastAnswers = milliseconds(2500);
const std::array<std::string, 3> kRouters{ "front-1", "front-2", "front-3" };

/** Results of the first tries at a group of routers. */
struct Tries
{
  int mSent = 0;
  int mServed = 0;

  int Failed() const { return mSent - mServed; }
  double ServedShare() const
  {
    return mSent == 0 ? 0 : static_cast<double>(mServed) / mSent;
  }
};

/** First tries at the routers that are cut off, and at the others. */
struct CutTries
{
  Tries mCut;
  Tries mOthers;
};

/** Routers that reach each endpoint over a path of their own. */
class PathFleet
{
public:
  PathFleet()
  {
    for (const std::string id : { "i-a", "i-b", "i-c" }) {
      mPlatform.AddEndpoint(id, "app");
    }
    for (const std::string id : { "i-p", "i-q" }) {
      mPlatform.AddEndpoint(id, "llm", "prefill");
    }
    for (const std::string id : { "i-d", "i-e" }) {
      mPlatform.AddEndpoint(id, "llm", "decode");
    }
    mPlatform.mFakeStore.Write("config/main", ShortRoutes());
    for (const std::string& it : kRouters) {
      AddRouter(it);
    }
    // Time to read the store and to hear of each other.
    RunFor(mPlatform.mLoop, milliseconds(1500));
  }

  void SetPaths(const std::string& aRouter, PathState aState)
  {
    for (auto& [endpoint, path] : mMembers.at(aRouter).mPaths) {
      path->SetState(aState);
    }
  }
  /** Sends requests of each kind to all routers for aSpan. */
  void Send(Duration aSpan)
  {
    mCalls.clear();
    const Instant end = mClock.Now() + aSpan;
    while (mClock.Now() < end) {
      for (const std::string& it : kRouters) {
        SendOne(it);
      }
      RunFor(mPlatform.mLoop, kRequestInterval);
      ReadAnswers();
    }
  }
  /** Waits for the answers of all requests of the last Send. */
  void WaitForAnswers()
  {
    RunUntil(
      mPlatform.mLoop,
      [this] {
        ReadAnswers();
        return std::all_of(mCalls.begin(), mCalls.end(), [](const auto& aIt) {
          return aIt.mClient == nullptr;
        });
      },
      kLastAnswers);
  }
  /** Counts the requests of the last Send to the routers that are cut off, or
   * to the others. */
  Tries Count(const std::vector<std::string>& aCut, bool aIsCut) const
  {
    Tries tries;
    for (const Call& it : mCalls) {
      const bool isCut =
        std::find(aCut.begin(), aCut.end(), it.mRouter) != aCut.end();
      if (isCut == aIsCut) {
        ++tries.mSent;
        tries.mServed += it.mIsServed ? 1 : 0;
      }
    }
    return tries;
  }
  /** Answers of the last Send at aRouter by status line; "none" for those
   * without an answer. */
  std::string Statuses(const std::string& aRouter) const
  {
    std::map<std::string, int> counts;
    for (const Call& it : mCalls) {
      if (it.mRouter == aRouter) {
        ++counts[it.mStatus];
      }
    }
    std::string text = aRouter + ":";
    for (const auto& [status, count] : counts) {
      text += " " + status + " x " + std::to_string(count);
    }
    return text;
  }

private:
  struct Member
  {
    std::map<std::string, std::unique_ptr<PathProxy>> mPaths;
    std::unique_ptr<FurtherRouter> mRouter;
  };
  struct Call
  {
    std::string mRouter;
    bool mIsStream = false;
    std::unique_ptr<RawClient> mClient;
    std::string mStatus = "none";
    bool mIsServed = false;
  };

  static nlohmann::json ShortRoutes()
  {
    nlohmann::json config = MakeConfig(3);
    for (auto& it : config["routes"]) {
      it["timeout_ms"] = it["service"] == "app" ? 800 : 1500;
    }
    return config;
  }
  void AddRouter(const std::string& aName)
  {
    Member& member = mMembers[aName];
    for (const auto& [id, endpoint] : mPlatform.mEndpoints) {
      member.mPaths[id] =
        std::make_unique<PathProxy>(mPlatform.mLoop, endpoint->Address());
    }
    member.mRouter = std::make_unique<FurtherRouter>(
      mPlatform,
      aName,
      RegistryCodec{
        &platform::ReadConfig, [&member](const StoredObject& aObject) {
          auto record = platform::ReadEndpoint(aObject);
          if (record.ok()) {
            record->mAddress = member.mPaths.at(record->mId)->Address();
          }
          return record;
        } });
  }
  void SendOne(const std::string& aRouter)
  {
    constexpr std::array<const char*, 3> kPaths{ "/safe/1",
                                                 "/unsafe/1",
                                                 "/resumable/1" };
    const std::string path = kPaths[mNumber / kRouters.size() % kPaths.size()];
    Call& call = mCalls.emplace_back();
    call.mRouter = aRouter;
    call.mIsStream = path == kPaths.back();
    call.mClient = std::make_unique<RawClient>(
      mMembers.at(aRouter).mRouter->CallerAddress());
    call.mClient->Send("POST " + path +
                       " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: t" +
                       std::to_string(mNumber++) +
                       "\r\nX-Token-Count: 100,50\r\nX-Deadline-Ms: 1500\r\n"
                       "Connection: close\r\nContent-Length: 4\r\n\r\nbody");
  }
  void ReadAnswers()
  {
    for (Call& it : mCalls) {
      if (it.mClient && it.mClient->IsClosedByServer()) {
        const std::string& answer = it.mClient->Received();
        if (answer.size() > 12) {
          it.mStatus = answer.substr(9, 3);
        }
        it.mIsServed =
          HasStatus(answer, 200) &&
          (!it.mIsStream || CountOccurrences(answer, "data: ") == 5);
        it.mClient.reset();
      }
    }
  }

  PlatformFixture mPlatform;
  SystemClock mClock;
  std::map<std::string, Member> mMembers;
  std::list<Call> mCalls;
  std::size_t mNumber = 0;
};

/** A router whose paths to both endpoints hang from the start. */
class HangingPaths
{
public:
  HangingPaths()
  {
    for (const std::string id : { "i-a", "i-b" }) {
      FakeEndpoint& endpoint = mPlatform.AddEndpoint(id, "app");
      auto& path = mPaths[id];
      path = std::make_unique<PathProxy>(mPlatform.mLoop, endpoint.Address());
      path->SetState(PathState::Hangs);
      auto entry = nlohmann::json::parse(endpoint.RegistryEntry("app"));
      entry["address"] = FormatAddress(path->Address());
      mPlatform.mFakeStore.Write("servers/" + id, entry);
    }
    mPlatform.Start();
  }
  std::string Call(const std::string& aPath)
  {
    RawClient client(mPlatform.mSettings.mCallerAddress);
    client.Send("POST " + aPath +
                " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                "X-Deadline-Ms: 800\r\nConnection: close\r\n"
                "Content-Length: 4\r\n\r\nbody");
    REQUIRE(mPlatform.WaitUntil([&] { return client.IsClosedByServer(); }));
    return client.Received();
  }
  /** Opens the paths, and returns how many requests reach the endpoints. */
  std::size_t ArrivalsAfterOpening()
  {
    for (auto& [id, path] : mPaths) {
      path->SetState(PathState::Open);
    }
    RunFor(mPlatform.mLoop, milliseconds(1500));
    return mPlatform.mEndpoints["i-a"]->Received().size() +
           mPlatform.mEndpoints["i-b"]->Received().size();
  }

private:
  PlatformFixture mPlatform;
  std::map<std::string, std::unique_ptr<PathProxy>> mPaths;
};

/** Of all first tries, so many may fail by the users' rule RECOVER. */
int
MaxFailures(const CutTries& aTries)
{
  return 10 + (aTries.mCut.mSent + aTries.mOthers.mSent) / 50;
}

/** The users' rule RECOVER: first tries at the machines that are cut off are
 * served two thirds as often as the others, or few of all fail there. */
bool
IsServedWell(const CutTries& aTries)
{
  return aTries.mCut.ServedShare() >= aTries.mOthers.ServedShare() * 2 / 3 ||
         aTries.mCut.Failed() <= MaxFailures(aTries);
}

/** First tries while the paths of aCut are in aState. */
CutTries
TryDuringCut(const std::vector<std::string>& aCut, PathState aState)
{
  PathFleet fleet;
  fleet.Send(milliseconds(500));
  for (const std::string& it : aCut) {
    fleet.SetPaths(it, aState);
  }
  fleet.Send(kContactTime);
  fleet.Send(kMeasuredTime);
  fleet.WaitForAnswers();
  const CutTries tries{ fleet.Count(aCut, true), fleet.Count(aCut, false) };
  for (const std::string& it : kRouters) {
    MESSAGE(fleet.Statuses(it));
  }
  MESSAGE("served, cut off: ",
          tries.mCut.mServed,
          " of ",
          tries.mCut.mSent,
          "; others: ",
          tries.mOthers.mServed,
          " of ",
          tries.mOthers.mSent);
  REQUIRE(tries.mOthers.mServed > 0);
  return tries;
}
} // namespace

// Guards against a caller that may not repeat its booking although no byte of
// it was sent, and against a booking that runs after its refusal.
TEST_CASE("A request that never had a connection is refused as not run")
{
  HangingPaths paths;
  const std::string answer = paths.Call("/unsafe/1");
  CHECK(HasStatus(answer, 503));
  CHECK(CountOccurrences(answer, "Retry-After: ") == 1);
  CHECK(paths.ArrivalsAfterOpening() == 0);
}

// Guards against callers that are refused at a daemon without a path to any
// endpoint while other daemons reach them all.
TEST_CASE("A daemon that has lost all its paths still serves its callers")
{
  SUBCASE("the paths hang")
  {
    CHECK(IsServedWell(TryDuringCut({ "front-1" }, PathState::Hangs)));
  }
  SUBCASE("the paths are reset")
  {
    CHECK(IsServedWell(TryDuringCut({ "front-1" }, PathState::Resets)));
  }
  SUBCASE("two of three daemons, the paths hang")
  {
    CHECK(
      IsServedWell(TryDuringCut({ "front-1", "front-2" }, PathState::Hangs)));
  }
}

// Guards against the same while the open connections live on.
TEST_CASE("A daemon that can open no connection still serves its callers")
{
  CHECK(IsServedWell(TryDuringCut({ "front-1" }, PathState::RefusesNew)));
}

// Guards against requests that never reached an endpoint and yet take its
// places from the other daemons.
TEST_CASE("Daemons beside one without paths still serve their callers")
{
  const CutTries tries = TryDuringCut({ "front-1" }, PathState::Hangs);
  CHECK(tries.mOthers.Failed() <= MaxFailures(tries));
}

} // namespace bulrushfold
