#include "Emulator/ServiceEmulator.h"

#include <cstdio>
#include <fstream>

#include "Base/Digest.h"
#include "EmulatorFixture.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

TEST_CASE("the service emulator")
{
  EventLoop loop;
  Random random(1);
  ServiceEmulatorSettings settings;
  settings.mAddress = FreeAddress();
  settings.mChecksFencing = true;
  int crashes = 0;
  ServiceEmulator service(loop, random, settings, [&] { ++crashes; });
  REQUIRE(service.Listen().ok());
  TestCaller caller(loop);
  const SocketAddress& address = settings.mAddress;
  const auto book = [&](const std::string& aKey, std::uint64_t aFencing) {
    return caller.Call(address,
                       HttpMethod::Post,
                       "/book",
                       "body",
                       { { "Idempotency-Key", aKey },
                         { "Fencing-Number", absl::StrCat(aFencing) } });
  };
  const auto runs = [&](const std::string& aKey) {
    return caller.Get(address, "/runs")["runs"].value(aKey, 0);
  };

  // Guards against a second run that the check of bookings does not detect.
  SUBCASE("counts the runs of each key")
  {
    const auto answer = nlohmann::json::parse(book("k", 1).mBody);
    CHECK(answer["digest"] == DigestHex("body"));
    CHECK(answer["run"] == 1);
    CHECK(nlohmann::json::parse(book("k", 1).mBody)["run"] == 2);
    book("other", 1);
    CHECK(runs("k") == 2);
    CHECK(runs("other") == 1);
  }

  // Guards against accepting a call from a daemon that is no longer the owner.
  SUBCASE("refuses a fencing number below the highest of its key")
  {
    CHECK(book("k", 5).mStatus == 200);
    const HttpCallReply stale = book("k", 4);
    CHECK(stale.mStatus == 412);
    CHECK(ProblemCodeOf(stale) == "stale_fencing");
    CHECK(book("other", 4).mStatus == 200);
    CHECK(runs("k") == 1);
  }

  // Guards against a fault that runs the booking when it must not, or the
  // reverse.
  SUBCASE("crashes before or after the run")
  {
    caller.Post(address, "/faults", { { "crash_before_run", true } });
    CHECK(book("before", 1).mResult == HttpCallResult::ConnectionLost);
    caller.Post(address, "/faults", { { "crash_after_run", true } });
    CHECK(book("after", 1).mResult == HttpCallResult::ConnectionLost);
    CHECK(crashes == 2);
    CHECK(runs("before") == 0);
    CHECK(runs("after") == 1);
  }
  SUBCASE("loses the answer after the run")
  {
    caller.Post(address, "/faults", { { "lose_answers", 1.0 } });
    CHECK(book("k", 1).mResult == HttpCallResult::ConnectionLost);
    CHECK(runs("k") == 1);
  }
  SUBCASE("is silent after the run")
  {
    caller.Post(address, "/faults", { { "silent_after_run", true } });
    RawClient silent(address);
    silent.Send("POST /book HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
                "Content-Length: 0\r\n\r\n");
    REQUIRE(Eventually(loop, [&] { return runs("k") == 1; }));
    CHECK(silent.Received().empty());
    CHECK_FALSE(silent.IsClosedByServer());
  }
}

// Guards against a repeated run that a restart of the service hides.
TEST_CASE("a service that restarts still counts its earlier runs")
{
  EventLoop loop;
  Random random(1);
  ServiceEmulatorSettings settings;
  settings.mAddress = FreeAddress();
  settings.mRunsFile =
    absl::StrCat("service-runs-", settings.mAddress.mPort, ".tmp");
  TestCaller caller(loop);
  for (int i = 0; i < 2; ++i) {
    ServiceEmulator service(loop, random, settings, [] {});
    REQUIRE(service.Listen().ok());
    caller.Call(settings.mAddress,
                HttpMethod::Post,
                "/book",
                "body",
                { { "Idempotency-Key", "k" } });
    CHECK(caller.Get(settings.mAddress, "/runs")["runs"]["k"] == i + 1);
  }
  std::remove(settings.mRunsFile.c_str());
}

} // namespace bulrushfold
