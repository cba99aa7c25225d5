#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;

/** Time in which the endpoints of these tests write their entries again. */
constexpr Duration kRewriteTime = milliseconds(800);

Json
Entry(const FakeEndpoint& aEndpoint, const std::string& aState)
{
  return Json::parse(aEndpoint.RegistryEntry("app", aState, 1700000000000));
}

/** A router, two endpoints of one service, and a copy of the store. */
struct RestoreFixture
{
  RestoreFixture()
  {
    mPlatform.mSettings.mEntryRewriteTime = kRewriteTime;
    mPlatform.Start();
  }
  /** The store comes back from aCopy; the router has read it. */
  void Return(const StoreContent& aCopy)
  {
    mPlatform.mFakeStore.ReturnFrom(aCopy);
    REQUIRE(mPlatform.WaitUntil(
      [this] { return mPlatform.mFakeStore.PendingWatches() == 2; }));
  }
  /** Sends some requests, and returns how many of them aEndpoint received. */
  std::size_t CountSends(const FakeEndpoint& aEndpoint)
  {
    const std::size_t before = aEndpoint.Received().size();
    for (int i = 0; i < 16; ++i) {
      CHECK(HasStatus(mPlatform.Call("/unsafe/1", "r"), 200));
    }
    return aEndpoint.Received().size() - before;
  }

  PlatformFixture mPlatform;
  FakeEndpoint& mA = mPlatform.AddEndpoint("i-a", "app");
  FakeEndpoint& mB = mPlatform.AddEndpoint("i-b", "app");
  FakePlatformStore& mStore = mPlatform.mFakeStore;
};
} // namespace

// Guards against requests to an endpoint that drains, because the store came
// back from a copy that shows it as ready.
TEST_CASE("A drain stays known when the store comes back from a copy")
{
  RestoreFixture fixture;
  const StoreContent copy = fixture.mStore.Copy();
  fixture.mPlatform.ChangeStore([&] {
    fixture.mStore.Write("servers/i-a", Entry(fixture.mA, "draining"));
  });
  REQUIRE(fixture.CountSends(fixture.mA) == 0);
  fixture.Return(copy);
  CHECK(fixture.CountSends(fixture.mA) == 0);

  SUBCASE("and is written again by the endpoint")
  {
    fixture.mPlatform.ChangeStore([&] {
      fixture.mStore.Write("servers/i-a", Entry(fixture.mA, "draining"));
    });
    RunFor(fixture.mPlatform.mLoop, kRewriteTime);
    CHECK(fixture.CountSends(fixture.mA) == 0);
  }
  SUBCASE("but not for ever, if the endpoint does not")
  {
    RunFor(fixture.mPlatform.mLoop, kRewriteTime);
    CHECK(fixture.CountSends(fixture.mA) > 0);
  }
}

// Guards against requests to an endpoint that has left, because the store came
// back from a copy that still lists it.
TEST_CASE("An endpoint that left stays gone when the store comes back")
{
  RestoreFixture fixture;
  const StoreContent copy = fixture.mStore.Copy();
  fixture.mPlatform.ChangeStore([&] { fixture.mStore.Remove("servers/i-a"); });
  REQUIRE(fixture.CountSends(fixture.mA) == 0);
  fixture.Return(copy);
  CHECK(fixture.CountSends(fixture.mA) == 0);
  fixture.mPlatform.ChangeStore([&] { fixture.mStore.Remove("servers/i-a"); });
  RunFor(fixture.mPlatform.mLoop, kRewriteTime);
  CHECK(fixture.CountSends(fixture.mA) == 0);
}

// Guards against an outage of a service whose endpoints have registered after
// the copy was made from which the store comes back.
TEST_CASE("Endpoints stay in use when the store comes back without them")
{
  RestoreFixture fixture;
  StoreContent copy = fixture.mStore.Copy();
  copy.Delete("servers/i-a");
  copy.Delete("servers/i-b");
  SUBCASE("and answers the watches") {}
  SUBCASE("and closes them")
  {
    fixture.mStore.CloseWatches();
  }
  fixture.Return(copy);
  CHECK(fixture.CountSends(fixture.mA) > 0);
  fixture.mPlatform.ChangeStore([&] {
    fixture.mStore.Write("servers/i-a", Entry(fixture.mA, "ready"));
    fixture.mStore.Write("servers/i-b", Entry(fixture.mB, "ready"));
  });
  RunFor(fixture.mPlatform.mLoop, fixture.mPlatform.mSettings.mEndpointGrace);
  CHECK(fixture.CountSends(fixture.mA) > 0);
  CHECK(fixture.CountSends(fixture.mB) > 0);
}

// Guards against a router that goes back to an older config, or misses a newer
// one.
TEST_CASE("The config in force stays when the store comes back from a copy")
{
  RestoreFixture fixture;
  const StoreContent copy = fixture.mStore.Copy();
  Json config = MakeConfig(5);
  config["routes"].push_back(MakeRoute("added", "safe", "app"));
  const auto isAdded = [&](const std::string& aRoute) {
    return HasStatus(fixture.mPlatform.Call("/" + aRoute + "/1", "r"), 200);
  };
  fixture.mPlatform.ChangeStore(
    [&] { fixture.mStore.Write("config/main", config); });
  REQUIRE(isAdded("added"));
  fixture.Return(copy);
  CHECK(isAdded("added"));
  config["version"] = 6;
  config["routes"].push_back(MakeRoute("newer", "safe", "app"));
  fixture.mPlatform.ChangeStore(
    [&] { fixture.mStore.Write("config/main", config); });
  CHECK(isAdded("added"));
  CHECK(isAdded("newer"));
}

// Guards against a daemon that no other one finds, and against two keys in one
// fleet, because the store lost what the daemon had written.
TEST_CASE("A daemon writes again what the store has lost")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-a", "app");
  platform.mFakeStore.Write("config/main", MakeConfig(3));
  const StoreContent copy = platform.mFakeStore.Copy();
  const std::string entry = "bulrushfold-daemons/front-1";
  const std::string key = "bulrushfold-daemons/shared-key";
  const auto isWritten = [&] {
    return platform.WaitUntil([&] {
      return platform.mFakeStore.Spec(entry).is_object() &&
             platform.mFakeStore.Spec(key).is_object();
    });
  };
  platform.StartRouter();
  REQUIRE(isWritten());
  const Json incarnation = platform.mFakeStore.Spec(entry)["incarnation"];
  const Json sharedKey = platform.mFakeStore.Spec(key);

  SUBCASE("once")
  {
    platform.mFakeStore.ReturnFrom(copy);
  }
  SUBCASE("when the copy has the entry of an earlier process")
  {
    platform.mFakeStore.ReturnFrom(copy);
    platform.mFakeStore.Write(entry,
                              { { "address", "127.0.0.1:1" },
                                { "incarnation", "0" },
                                { "capacity", 1 } });
    REQUIRE(platform.WaitUntil([&] {
      return platform.mFakeStore.Spec(entry)["incarnation"] == incarnation;
    }));
  }
  SUBCASE("again after a second return")
  {
    platform.mFakeStore.ReturnFrom(copy);
    REQUIRE(isWritten());
    platform.mFakeStore.ReturnFrom(copy);
  }
  REQUIRE(isWritten());
  CHECK(platform.mFakeStore.Spec(entry)["incarnation"] == incarnation);
  CHECK(platform.mFakeStore.Spec(key) == sharedKey);
}

// Guards against a daemon that takes the entry from a later process of its VM.
TEST_CASE("A daemon leaves its entry to a later process")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-a", "app");
  platform.mFakeStore.Write("config/main", MakeConfig(3));
  platform.StartRouter();
  const std::string entry = "bulrushfold-daemons/front-1";
  REQUIRE(platform.WaitUntil(
    [&] { return platform.mFakeStore.Spec(entry).is_object(); }));
  const Json later = { { "address", "127.0.0.1:1" },
                       { "incarnation", "ffffffff" },
                       { "capacity", 1 } };
  platform.mFakeStore.Write(entry, later);
  platform.mFakeStore.ReturnFrom(platform.mFakeStore.Copy());
  const std::size_t before = platform.mFakeStore.CountCalls("PUT");
  RunFor(platform.mLoop, std::chrono::seconds(4));
  CHECK(platform.mFakeStore.Spec(entry) == later);
  CHECK(platform.mFakeStore.CountCalls("PUT") == before);
}

} // namespace bulrushfold
