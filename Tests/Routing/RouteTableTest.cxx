#include "Routing/RouteTable.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
Route
MakeRoute(const std::string& aName,
          const std::string& aHost,
          const std::string& aPrefix)
{
  Route route;
  route.mName = aName;
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mServices = { { "s", 1 } };
  return route;
}

std::string
NameOf(const Route* aRoute)
{
  return aRoute == nullptr ? "none" : aRoute->mName;
}
} // namespace

TEST_CASE("A request gets the route with the longest matching prefix")
{
  RoutingConfig config;
  config.mRoutes = { MakeRoute("all", "a.example", "/"),
                     MakeRoute("x", "a.example", "/x/"),
                     MakeRoute("xy", "a.example", "/x/y/"),
                     MakeRoute("other", "b.example", "/x/") };
  const RouteTable table(config);

  CHECK(NameOf(table.Find("a.example", "/x/y/z")) == "xy");
  CHECK(NameOf(table.Find("a.example", "/x/y")) == "x");
  CHECK(NameOf(table.Find("a.example", "/x")) == "all");
  CHECK(NameOf(table.Find("b.example", "/x/1?/x/y/")) == "other");
  // Guards against matching a route with the query of a path or with a similar
  // prefix.
  CHECK(NameOf(table.Find("b.example", "/y?/x/")) == "none");
  CHECK(NameOf(table.Find("b.example", "/xx/1")) == "none");
  CHECK(NameOf(table.Find("c.example", "/x/1")) == "none");
  CHECK(NameOf(table.Find("A.Example:8080", "/x/1")) == "x");
}

TEST_CASE("A service is chosen at random by its weight")
{
  Random random(1);
  Route route = MakeRoute("r", "h", "/");
  route.mServices = { { "a", 90 }, { "none", 0 }, { "b", 10 } };
  int countB = 0;
  constexpr int kDraws = 10'000;
  for (int i = 0; i < kDraws; ++i) {
    const std::string service = DrawService(route, random);
    REQUIRE(service != "none");
    countB += service == "b" ? 1 : 0;
  }
  CHECK(countB == doctest::Approx(kDraws * 0.1).epsilon(0.1));
  route.mServices = { { "a", 0 } };
  CHECK(DrawService(route, random).empty());
}

// Guards against a request that runs for a workspace that does not hold its
// key.
TEST_CASE("A key leads to the one workspace that holds it")
{
  RoutingConfig config;
  config.mWorkspaces = { { "one", { "k1", "k2", "k2" }, {}, {} },
                         { "two", { "k3", "both" }, {}, {} },
                         { "three", { "both" }, {}, {} },
                         { "four", {}, {}, {} } };
  const RouteTable table(config);
  REQUIRE(table.HasWorkspaces());
  REQUIRE(table.FindWorkspace("k1"));
  CHECK(table.FindWorkspace("k1")->mName == "one");
  CHECK(table.FindWorkspace("k2")->mName == "one");
  CHECK(table.FindWorkspace("k3")->mName == "two");
  CHECK(table.FindWorkspace("both") == nullptr);
  CHECK(table.FindWorkspace("") == nullptr);
  CHECK(table.FindWorkspace("K1") == nullptr);
  CHECK(table.KeyConflicts() == std::set<std::string>{ "three", "two" });
}

} // namespace bulrushfold
