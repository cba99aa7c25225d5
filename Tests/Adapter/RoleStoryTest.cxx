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

/** A router with five engines and streams that do not end by themselves. */
struct RoleFixture
{
  /** aPrefills of the engines prefill, each prompt in aPrefillTime, the others
   * decode. */
  RoleFixture(int aPrefills, Duration aPrefillTime)
  {
    for (int i = 0; i < 5; ++i) {
      const std::string stage = i < aPrefills ? "prefill" : "decode";
      StandInRunner& runner =
        mPlatform.Add(stage + std::to_string(i), "llm", stage);
      runner.SetPace(seconds(30));
      runner.SetPrefillTime(aPrefillTime);
      mRunners.push_back(&runner);
    }
    Json config = MakeConfig(3);
    for (auto& it : config["routes"]) {
      it["timeout_ms"] = 60'000;
    }
    mPlatform.mStore.Write("config/main", config);
    mPlatform.StartRouter();
    REQUIRE(mPlatform.BecomesReady());
  }
  /** Opens streams until so many run. */
  void OpenStreams(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mClients.push_back(
        std::make_unique<RawClient>(mPlatform.mSettings.mCallerAddress));
      mClients.back()->Send(
        PlatformFixture::Request("/stream/1", "r" + std::to_string(i)));
    }
    REQUIRE(mPlatform.Wait([&] { return Running() == aCount; }));
  }
  std::size_t Running() const
  {
    std::size_t n = 0;
    for (const auto* it : mRunners) {
      n += it->Open();
    }
    return n;
  }
  /** The engine that got an order; null when none did. */
  StandInRunner* Ordered() const
  {
    for (auto* it : mRunners) {
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
    mPlatform.Wait([&] { return isOver; });
  }

  PlatformFixture mPlatform;
  std::vector<StandInRunner*> mRunners;
  std::vector<std::unique_ptr<RawClient>> mClients;
};

} // namespace

TEST_CASE("A router orders an engine to the pool that limits the streams")
{
  RoleFixture fixture(4, milliseconds(0));
  fixture.OpenStreams(6);
  REQUIRE(fixture.mPlatform.Wait([&] { return fixture.Ordered() != nullptr; }));
  StandInRunner& runner = *fixture.Ordered();
  REQUIRE(runner.Orders().size() == 1);
  const HttpRequest& order = runner.Orders()[0];
  const Json body = Json::parse(order.mBody);
  CHECK(body["op"] == "stage");
  CHECK(body["stage"] == "decode");
  CHECK(body["holder"] == "front-1");
  CHECK(body["expect"] == 0);
  CHECK(order.mHeaders.Find("X-Expect-Instance") == runner.Id());
  // The lease that the order was sent under, and its version as fence.
  const Json lease = fixture.mPlatform.mStore.Spec("bulrushfold-orders/llm");
  REQUIRE(lease.is_object());
  CHECK(lease["holder"] == "front-1");
  CHECK(body["fence"] > 0);
}

// Guards against orders that make an engine drop its streams, and against
// pools that never change because no decode engine is ever idle.
TEST_CASE("A decode engine is set aside until its streams have ended")
{
  RoleFixture fixture(1, milliseconds(30));
  // As many as the four decode engines have slots, so that none is idle.
  fixture.OpenStreams(32);
  fixture.RunFor(seconds(4));
  CHECK(fixture.Ordered() == nullptr);

  // All callers leave, so that the streams end.
  fixture.mClients.clear();
  REQUIRE(fixture.mPlatform.Wait([&] { return fixture.Ordered() != nullptr; }));
  const Json body = Json::parse(fixture.Ordered()->Orders()[0].mBody);
  CHECK(body["stage"] == "prefill");
  CHECK(fixture.Ordered()->Open() == 0);
}

} // namespace bulrushfold
