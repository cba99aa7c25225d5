#include "Router/RoleController.h"

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A router with five engines, and streams that last longer than the test. */
struct RoleFixture
{
  /** Starts aPrefillCount prefill engines, which need aPrefillTime for a
   * prompt, and five minus aPrefillCount decode engines. */
  RoleFixture(int aPrefillCount, Duration aPrefillTime)
  {
    for (int i = 0; i < 5; ++i) {
      const std::string stage = i < aPrefillCount ? "prefill" : "decode";
      FakeEndpoint& endpoint =
        mPlatform.AddEndpoint(stage + std::to_string(i), "llm", stage);
      endpoint.SetEventInterval(seconds(30));
      endpoint.SetPrefillTime(aPrefillTime);
      mEndpoints.push_back(&endpoint);
    }
    Json config = MakeConfig(3);
    for (auto& it : config["routes"]) {
      it["timeout_ms"] = 60'000;
    }
    mPlatform.mFakeStore.Write("config/main", config);
    mPlatform.StartRouter();
    REQUIRE(mPlatform.WaitUntilReady());
  }
  /** Opens aCount streams, and waits until all of them run. */
  void OpenStreams(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mClients.push_back(
        std::make_unique<RawClient>(mPlatform.mSettings.mCallerAddress));
      mClients.back()->Send(
        PlatformFixture::Request("/stream/1", "r" + std::to_string(i)));
    }
    REQUIRE(mPlatform.WaitUntil([&] { return RunningStreams() == aCount; }));
  }
  std::size_t RunningStreams() const
  {
    std::size_t n = 0;
    for (const auto* it : mEndpoints) {
      n += it->OpenRequests();
    }
    return n;
  }
  /** An engine that received an order; null when there is none. */
  FakeEndpoint* OrderedEndpoint() const
  {
    for (auto* it : mEndpoints) {
      if (!it->Orders().empty()) {
        return it;
      }
    }
    return nullptr;
  }
  void RunFor(Duration aSpan)
  {
    bool isOver = false;
    const auto timer =
      mPlatform.mLoop.After(aSpan, [&isOver] { isOver = true; });
    mPlatform.WaitUntil([&] { return isOver; });
  }

  PlatformFixture mPlatform;
  std::vector<FakeEndpoint*> mEndpoints;
  std::vector<std::unique_ptr<RawClient>> mClients;
};

} // namespace

TEST_CASE("An engine is ordered to the pool that limits the rate of streams")
{
  RoleFixture fixture(4, milliseconds(0));
  fixture.OpenStreams(6);
  REQUIRE(fixture.mPlatform.WaitUntil(
    [&] { return fixture.OrderedEndpoint() != nullptr; }));
  FakeEndpoint& endpoint = *fixture.OrderedEndpoint();
  REQUIRE(endpoint.Orders().size() == 1);
  const HttpRequest& order = endpoint.Orders()[0];
  const Json body = Json::parse(order.mBody);
  CHECK(body["op"] == "stage");
  CHECK(body["stage"] == "decode");
  CHECK(body["holder"] == "front-1");
  CHECK(body["expect"] == 0);
  CHECK(order.mHeaders.Find("X-Expect-Instance") == endpoint.Id());
  // The order is covered by a lease, whose version is the fence of the order.
  const Json lease =
    fixture.mPlatform.mFakeStore.Spec("bulrushfold-orders/llm");
  REQUIRE(lease.is_object());
  CHECK(lease["holder"] == "front-1");
  CHECK(body["fence"] > 0);
}

// Guards against orders to an engine that still runs streams, which it would
// drop. Also guards against pools that never change because no decode engine
// is ever idle.
TEST_CASE("A decode engine is ordered only after its streams have ended")
{
  RoleFixture fixture(1, milliseconds(30));
  // The four decode engines have 32 slots together, so that none is idle.
  fixture.OpenStreams(32);
  fixture.RunFor(seconds(4));
  CHECK(fixture.OrderedEndpoint() == nullptr);

  // All callers close their connections, which ends the streams.
  fixture.mClients.clear();
  REQUIRE(fixture.mPlatform.WaitUntil(
    [&] { return fixture.OrderedEndpoint() != nullptr; }));
  const Json body = Json::parse(fixture.OrderedEndpoint()->Orders()[0].mBody);
  CHECK(body["stage"] == "prefill");
  CHECK(fixture.OrderedEndpoint()->OpenRequests() == 0);
}

// Guards against an order while another daemon may still use a lease that the
// store has lost.
TEST_CASE("An order waits for the leases that the store may have lost")
{
  RoleFixture fixture(4, milliseconds(0));
  fixture.mPlatform.mFakeStore.ReturnFrom(fixture.mPlatform.mFakeStore.Copy());
  SystemClock clock;
  const Instant returnedAt = clock.Now();
  fixture.OpenStreams(6);
  REQUIRE(fixture.mPlatform.WaitUntil(
    [&] { return fixture.OrderedEndpoint() != nullptr; }));
  const Duration interval = fixture.mPlatform.mSettings.mOrderInterval;
  CHECK(clock.Now() - returnedAt > interval);
  const Json body = Json::parse(fixture.OrderedEndpoint()->Orders()[0].mBody);
  CHECK(body["fence"] > ToVersion({ 2, 0 }));
}

} // namespace bulrushfold
