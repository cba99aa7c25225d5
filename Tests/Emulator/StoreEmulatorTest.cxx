#include "Emulator/StoreEmulator.h"

#include "EmulatorFixture.h"
#include "Platform/HttpObjectStore.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
const HttpHeaders kMustNotExist{ { "If-None-Match", "*" } };

HttpHeaders
IfMatch(std::uint64_t aVersion)
{
  return { { "If-Match", absl::StrCat(aVersion) } };
}
} // namespace

TEST_CASE("the store emulator")
{
  EventLoop loop;
  ManualClock clock;
  Random random(1);
  StoreEmulatorSettings settings;
  settings.mAddress = FreeAddress();
  settings.mMaxHistory = 3;
  StoreEmulator store(loop, clock, random, settings);
  REQUIRE(store.Listen().ok());
  TestCaller caller(loop);
  const SocketAddress& address = settings.mAddress;
  const auto put = [&](const std::string& aKey,
                       const std::string& aBody,
                       const HttpHeaders& aHeaders) {
    return caller.Call(
      address, HttpMethod::Put, "/objects/" + aKey, aBody, aHeaders);
  };
  const auto fault = [&](const nlohmann::json& aFaults) {
    REQUIRE(caller.Post(address, "/faults", aFaults).mStatus == 200);
  };

  // Guards against a write that overwrites a concurrent write.
  SUBCASE("applies writes only to the expected version")
  {
    const HttpCallReply created = put("a", "one", kMustNotExist);
    CHECK(created.mStatus == 201);
    CHECK(created.mHeaders.Find("ETag") == "1");
    const HttpCallReply again = put("a", "two", kMustNotExist);
    CHECK(again.mStatus == 409);
    CHECK(again.mHeaders.Find("ETag") == "1");
    CHECK(put("a", "two", IfMatch(1)).mStatus == 200);
    const HttpCallReply stale = put("a", "three", IfMatch(1));
    CHECK(stale.mStatus == 409);
    CHECK(stale.mHeaders.Find("ETag") == "2");
    CHECK(put("a", "four", {}).mStatus == 428);
    CHECK(caller.Call(address, HttpMethod::Get, "/objects/a").mBody == "two");
  }

  // Guards against a write that matches the version of a deleted object.
  SUBCASE("gives an object that is created again a higher version")
  {
    put("a", "one", kMustNotExist);
    CHECK(caller.Call(address, HttpMethod::Delete, "/objects/a").mStatus ==
          200);
    CHECK(caller.Call(address, HttpMethod::Delete, "/objects/a").mStatus ==
          404);
    CHECK(put("a", "two", IfMatch(1)).mStatus == 409);
    CHECK(put("a", "two", kMustNotExist).mHeaders.Find("ETag") == "3");
  }

  SUBCASE("refuses values over 1 MB")
  {
    CHECK(put("a", std::string(1'000'000, 'a'), kMustNotExist).mStatus == 201);
    CHECK(put("b", std::string(1'000'001, 'b'), kMustNotExist).mStatus == 413);
  }

  // Guards against a fault that loses the write together with its answer, which
  // would hide clients that treat a lost answer as a failed write.
  SUBCASE("loses the answer of a write that took effect")
  {
    fault({ { "lose_answers", 1.0 } });
    CHECK(put("a", "one", kMustNotExist).mResult ==
          HttpCallResult::ConnectionLost);
    CHECK(caller.Call(address, HttpMethod::Get, "/objects/a").mBody == "one");
    CHECK(caller.Get(address, "/stats")["calls"]["lost_answers"] == 1);
  }

  // Guards against changes that a watch omits or delivers twice.
  SUBCASE("resumes a watch after a revision")
  {
    put("p/a", "one", kMustNotExist);
    put("q/b", "other", kMustNotExist);
    put("p/a", "two", IfMatch(1));
    const auto watch =
      caller.Stream(address, HttpMethod::Get, "/watch?prefix=p/&from=1");
    const auto has = [&](const std::string& aText) {
      return watch->mBody.find(aText) != std::string::npos;
    };
    REQUIRE(RunUntil(loop, [&] { return has("two"); }));
    put("p/c", "three", kMustNotExist);
    REQUIRE(RunUntil(loop, [&] { return has("three"); }));
    CHECK(caller.Call(address, HttpMethod::Delete, "/objects/p/c").mStatus ==
          200);
    REQUIRE(RunUntil(loop, [&] { return has("deleted"); }));
    CHECK_FALSE(has("one"));
    CHECK_FALSE(has("other"));

    SUBCASE("and ends it when an outage begins")
    {
      fault({ { "down", true } });
      CHECK(RunUntil(loop, [&] { return watch->mIsOver; }));
      CHECK(put("p/d", "four", kMustNotExist).mStatus == 503);
      fault({ { "down", false } });
      CHECK(put("p/d", "four", kMustNotExist).mStatus == 201);
    }
    // Guards against a client that cannot detect a silent watch connection.
    SUBCASE("and sends empty lines while nothing changes")
    {
      const std::size_t n = watch->mBody.size();
      REQUIRE(RunUntil(loop, [&] { return watch->mBody.size() > n; }));
      CHECK(watch->mBody.substr(n) == "\n");
    }
  }

  // Guards against a watch that omits changes without an error.
  SUBCASE("answers 410 when the history no longer has the revision")
  {
    for (int i = 0; i < 5; ++i) {
      put(absl::StrCat("k", i), "x", kMustNotExist);
    }
    CHECK(
      caller.Call(address, HttpMethod::Get, "/watch?prefix=&from=1").mStatus ==
      410);
    SUBCASE("or when the revision is from another store")
    {
      CHECK(caller.Call(address, HttpMethod::Get, "/watch?prefix=&from=77")
              .mStatus == 410);
    }
    const auto watch =
      caller.Stream(address, HttpMethod::Get, "/watch?prefix=&from=2");
    CHECK(RunUntil(
      loop, [&] { return watch->mBody.find("k4") != std::string::npos; }));
    CHECK(watch->mBody.find("k1") == std::string::npos);
    CHECK(watch->mBody.find("k2") != std::string::npos);
  }

  // Guards against rates that are not enforced, which would leave clients
  // untested beyond the permitted rate.
  SUBCASE("answers 429 beyond its rates")
  {
    fault({ { "writes_per_s", 2 }, { "reads_per_s", 3 } });
    CHECK(put("a", "1", kMustNotExist).mStatus == 201);
    CHECK(put("b", "1", kMustNotExist).mStatus == 201);
    CHECK(put("c", "1", kMustNotExist).mStatus == 429);
    CHECK(caller.Call(address, HttpMethod::Get, "/objects/a").mStatus == 200);
    CHECK(caller.Call(address, HttpMethod::Get, "/objects/c").mStatus == 404);
    CHECK(caller.Call(address, HttpMethod::Get, "/vms").mStatus == 200);
    CHECK(caller.Call(address, HttpMethod::Get, "/objects/a").mStatus == 429);
    clock.Advance(std::chrono::seconds(1));
    CHECK(put("c", "1", kMustNotExist).mStatus == 201);
  }

  // Guards against a lag that has no effect, which would leave daemons untested
  // with an outdated VM list.
  SUBCASE("returns the VM list with the configured lag")
  {
    fault({ { "vm_lag_ms", 1000 } });
    const std::string list =
      R"({"vms":[{"failure_domain":"f","name":"a","peer_address":"127.0.0.1:1","state":"live"}]})";
    CHECK(caller.Call(address, HttpMethod::Put, "/vms", list).mStatus == 200);
    CHECK(caller.Get(address, "/vms")["vms"].empty());
    clock.Advance(std::chrono::milliseconds(999));
    CHECK(caller.Get(address, "/vms")["vms"].empty());
    clock.Advance(std::chrono::milliseconds(1));
    CHECK(caller.Get(address, "/vms")["vms"].size() == 1);
  }

  SUBCASE("stays silent until the fault ends")
  {
    fault({ { "silent", true } });
    RawClient silent(address);
    silent.Send("GET /objects/a HTTP/1.1\r\nHost: x\r\n\r\n");
    RawClient control(address);
    control.Send("GET /stats HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(RunUntil(loop, [&] { return !control.Received().empty(); }));
    fault({ { "silent", false } });
    CHECK(caller.Call(address, HttpMethod::Get, "/objects/a").mStatus == 404);
    CHECK(silent.Received().empty());
    CHECK_FALSE(silent.IsClosedByServer());
  }

  // Guards against different implementations of the protocol in the emulator
  // and in the client.
  SUBCASE("works with the daemon's client")
  {
    HttpClient http(loop);
    PlatformSettings platform;
    platform.mStoreAddress = address;
    platform.mCallTimeout = std::chrono::seconds(5);
    HttpObjectStore client(http, platform);
    std::vector<StoredObject> changes;
    StoreWatchHooks hooks;
    hooks.mOnChange = [&](const StoredObject& aIt) { changes.push_back(aIt); };
    hooks.mOnEnd = [](const absl::Status&, std::uint64_t) {};
    const auto watch = client.Watch("c/", 0, hooks);
    absl::StatusOr<std::uint64_t> version = absl::UnknownError("");
    client.Put("c/x", "body", std::nullopt, [&](auto aIt) { version = aIt; });
    REQUIRE(RunUntil(loop, [&] { return version.ok() && !changes.empty(); }));
    CHECK(*version == 1);
    CHECK(changes[0].mVersion == 1);
    CHECK(changes[0].mBody == "body");
    absl::StatusOr<std::uint64_t> conflict(0);
    client.Put("c/x", "body", 9, [&](auto aIt) { conflict = aIt; });
    CHECK(RunUntil(
      loop, [&] { return absl::IsFailedPrecondition(conflict.status()); }));
  }
}

} // namespace bulrushfold
