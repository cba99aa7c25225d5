#include "Cluster/Configuration.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "ClusterFixture.h"

namespace bulrushfold {

namespace {
bool
HasText(const absl::Status& aStatus, const std::string& aText)
{
  return aStatus.message().find(aText) != absl::string_view::npos;
}

const std::vector<std::string> kKeys{ "config/presets",
                                      "config/workspaces",
                                      "config/services",
                                      "config/endpoints/a",
                                      "config/other" };
} // namespace

TEST_CASE("Configuration objects")
{
  Configuration config;

  SUBCASE("a presets object is parsed")
  {
    REQUIRE(config.Apply("config/presets", PresetsBody("day")).ok());
    CHECK(config.Presets().mInForce == "day");
    CHECK(config.PresetInForce().mMaxQueue == 100);
  }

  // Guards against error messages that make an operator correct one problem per
  // attempt.
  SUBCASE("all problems of a preset object are reported with their path")
  {
    const auto status = config.Apply("config/presets", R"({
      "in_force": "none",
      "presets": {
        "a": {"max_queue": -1, "slot_share": 1.5, "token_target_ms": 0},
        "b": 7
      }})");
    CHECK(absl::IsInvalidArgument(status));
    CHECK(HasText(status, "/presets/a/max_queue: expected a count"));
    CHECK(HasText(status, "/presets/a/slot_share: expected a number"));
    CHECK(HasText(status, "/presets/a/token_target_ms: expected milliseconds"));
    CHECK(HasText(status, "/presets/b: expected an object, found 7"));
    CHECK(HasText(status, "/in_force: expected the name of a preset"));
  }

  SUBCASE("all problems of workspaces, services and endpoints are reported")
  {
    auto status = config.Apply(
      "config/workspaces",
      R"({"workspaces":{"w":{"share":0,"token_sha256":["x"],"class":"?"}}})");
    CHECK(HasText(status, "/workspaces/w/share"));
    CHECK(HasText(status, "/workspaces/w/token_sha256"));
    CHECK(HasText(status, "/workspaces/w/class: expected one of interactive"));
    status =
      config.Apply("config/services",
                   R"({"services":{"s":{"calls":[{"idempotent":1}]},"t":{}}})");
    CHECK(HasText(status, "/services/s/calls/0/path"));
    CHECK(HasText(status, "/services/s/calls/0/idempotent"));
    CHECK(HasText(status, "/services/t/calls: expected a list"));
    status = config.Apply(
      "config/endpoints/a",
      R"({"endpoints":{"e":{"address":"nowhere","role":"x","state":2}}})");
    CHECK(HasText(status, "/endpoints/e/address: expected IP:PORT"));
    CHECK(HasText(status, "/endpoints/e/role"));
    CHECK(HasText(status, "/endpoints/e/state"));
  }

  // Guards against a daemon whose valid configuration is replaced by an invalid
  // object.
  SUBCASE("an invalid object leaves the configuration in force unchanged")
  {
    REQUIRE(config.Apply("config/presets", PresetsBody("day")).ok());
    REQUIRE(config.Apply("config/endpoints/a", EndpointsBody("live")).ok());
    CHECK_FALSE(config.Apply("config/presets", "{").ok());
    CHECK_FALSE(config.Apply("config/endpoints/a", "[]").ok());
    CHECK(config.Presets().mInForce == "day");
    CHECK(config.Endpoints().size() == 2);
  }

  SUBCASE("endpoints of one failure domain replace only their own")
  {
    REQUIRE(config.Apply("config/endpoints/a", EndpointsBody("live")).ok());
    REQUIRE(config.Apply("config/endpoints/b", R"({"endpoints":{}})").ok());
    CHECK(config.Endpoints().size() == 2);
    REQUIRE(config.Apply("config/endpoints/a", R"({"endpoints":{}})").ok());
    CHECK(config.Endpoints().empty());
  }

  SUBCASE("arbitrary and damaged bytes do not crash the parsers")
  {
    CHECK(rc::check([](const std::string& aBytes) {
      Configuration any;
      for (const auto& it : kKeys) {
        RC_ASSERT(!any.Apply(it, aBytes).ok());
      }
    }));
    CHECK(rc::check([] {
      Configuration any;
      std::string body =
        *rc::gen::element(PresetsBody("day"), EndpointsBody("live"));
      const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
      body[at] = *rc::gen::arbitrary<char>();
      for (const auto& it : kKeys) {
        any.Apply(it, body).IgnoreError();
      }
    }));
  }
}

} // namespace bulrushfold
