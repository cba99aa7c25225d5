#include "Router/Router.h"

#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

// Guards against a fleet in which nobody can see who places and who reads the
// store.
TEST_CASE("The metrics tell who placed requests and who watches the store")
{
  PlatformFixture platform;
  platform.mSettings.mMetricsAddress = FreeAddress();
  platform.AddEndpoint("i-a", "app");
  platform.AddEndpoint("i-p", "llm", "prefill");
  platform.AddEndpoint("i-d", "llm", "decode");
  platform.Start();
  REQUIRE(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
  REQUIRE(HasStatus(platform.Call("/stream/1", "r2"), 200));
  RawClient client(*platform.mSettings.mMetricsAddress);
  client.Send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  REQUIRE(platform.WaitUntil([&] { return client.IsClosedByServer(); }));
  const std::string text = client.Received();
  for (const char* it :
       { "bulrushfold_placements_total{step=\"request\",by=\"self\"} 1\n",
         "bulrushfold_placements_total{step=\"stream\",by=\"self\"} 1\n",
         "bulrushfold_placement_owner 0\n",
         "bulrushfold_placement_owner_changes_total 0\n",
         "bulrushfold_store_watched 1\n" }) {
    CAPTURE(it);
    CHECK(text.find(it) != std::string::npos);
  }
}

} // namespace bulrushfold
