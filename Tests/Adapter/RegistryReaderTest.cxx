#include "RegistryReader.h"
#include "PlatformSettings.h"

#include <cstdio>
#include <fstream>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <unistd.h>

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;

const Json kConfig = Json::parse(R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "a.example", "path_prefix": "/x/", "kind":
     "streaming", "timeout_ms": 14000, "target_latency_ms": 900, "priority": 1,
     "service": "llm", "max_attempts": 2, "sticky_sessions": true,
     "resumable": true, "gap_aim_ms": 300},
    {"name": "r2", "host": "a.example", "path_prefix": "/y/", "kind": "safe",
     "timeout_ms": 800, "target_latency_ms": 300, "priority": 2,
     "traffic_split": [{"service": "app", "weight": 90},
                       {"service": "app2", "weight": 10}],
     "max_attempts": 2},
    {"name": "r3", "host": "a.example", "path_prefix": "/z/", "kind":
     "something new", "timeout_ms": 800, "service": "app"}],
  "services": [
    {"name": "llm", "max_connections": 360, "engine": {"slots": 64,
     "kv_capacity_tokens": 107085, "stride": 72, "handle_ttl_s": 0.5,
     "hold_ms": 2000.0}},
    {"name": "app", "max_connections": 96}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");

const Json kEndpoint = Json::parse(R"({
  "service": "llm", "address": "10.128.0.9:8080", "zone": "z", "version": "v1",
  "slots": 64, "state": "ready", "cold_left_ms": 0, "stage": "decode",
  "sequence": 4, "born": 1774145865864})");

absl::StatusOr<EndpointRecord>
ReadWithField(const std::string& aField, const Json& aValue)
{
  Json entry = kEndpoint;
  if (aValue.is_null()) {
    entry.erase(aField);
  } else {
    entry[aField] = aValue;
  }
  return platform::ReadEndpoint({ "servers/i-1", 3, entry.dump(), false });
}

std::string
WriteFile(const std::string& aText)
{
  std::string path = "settings-" + std::to_string(getpid()) + ".tmp";
  std::ofstream(path) << aText;
  return path;
}

const std::string kSettings = "node_name=front-1\n"
                              "ip=10.1.0.35\n"
                              "zone=ingolstadt\n"
                              "listen_addrs.front=10.1.0.35:8144\n"
                              "listen_addrs.ready=10.1.0.35:8140\n"
                              "internal_ports=7660,7675\n"
                              "limits.memory_mb=110\n"
                              "limits.max_fds=4100\n"
                              "bounds.grace_s=8\n"
                              "bounds.retry_budget_ratio=0.2\n"
                              "bounds.retry_budget_slack=52\n"
                              "platform.address=10.200.1.7:8142\n"
                              "some.new_key=whatever\n";
} // namespace

TEST_CASE("The operators' configuration is parsed")
{
  const auto config =
    platform::ReadConfig({ "config/main", 5, kConfig.dump(), false });
  REQUIRE(config.ok());
  CHECK(config->mVersion == 7);
  REQUIRE(config->mRoutes.size() == 3);
  const Route& stream = config->mRoutes[0];
  CHECK(stream.mKind == RequestKind::Stream);
  CHECK(stream.mTimeout == milliseconds(14'000));
  CHECK(stream.mLatencyTarget == milliseconds(900));
  CHECK(stream.mIsResumable);
  CHECK(config->mRoutes[1].mKind == RequestKind::Idempotent);
  REQUIRE(config->mRoutes[1].mServices.size() == 2);
  CHECK(config->mRoutes[1].mServices[1].mWeight == 10);
  // Guards against repeating requests of a kind that the router does not know.
  CHECK(config->mRoutes[2].mKind == RequestKind::NonIdempotent);
  CHECK(config->mRoutes[2].mMaxAttempts == 1);
  REQUIRE(config->mServices.at("llm").mEngine);
  CHECK(config->mServices.at("llm").mEngine->mMemoryTokens == 107'085);
  CHECK(config->mServices.at("llm").mEngine->mTokensPerEvent == 72);
  CHECK(config->mServices.at("llm").mEngine->mMaxReservation ==
        milliseconds(2000));
  CHECK_FALSE(config->mServices.at("app").mEngine);
  CHECK(config->mLimits.mIdleTimeout == milliseconds(15'000));

  SUBCASE("the error names the object and the missing field")
  {
    Json broken = kConfig;
    broken["routes"][1].erase("host");
    const auto result =
      platform::ReadConfig({ "config/main", 5, broken.dump(), false });
    REQUIRE_FALSE(result.ok());
    CHECK(result.status().message().find("host") != std::string::npos);
    CHECK(result.status().message().find("config/main") != std::string::npos);
  }
  // Guards against numbers that wrap when they are converted.
  SUBCASE("numbers out of range are rejected")
  {
    const auto isValid = [](const char* aPointer, const Json& aValue) {
      Json odd = kConfig;
      odd[Json::json_pointer(aPointer)] = aValue;
      return platform::ReadConfig({ "config/main", 5, odd.dump(), false }).ok();
    };
    CHECK(isValid("/routes/0/max_attempts", 3.0));
    CHECK_FALSE(isValid("/routes/0/max_attempts", -1));
    CHECK_FALSE(isValid("/routes/0/priority", 5e9));
    CHECK_FALSE(isValid("/routes/0/timeout_ms", 1e200));
    CHECK_FALSE(isValid("/services/0/engine/slots", 5'000'000'000));
    CHECK_FALSE(isValid("/services/0/engine/handle_ttl_s", 1e200));
    CHECK_FALSE(isValid("/limits/max_body_bytes", -1));
    CHECK_FALSE(isValid("/version", 1.5));
  }
}

TEST_CASE("Entries of endpoints are parsed, and invalid entries rejected")
{
  const auto endpoint = ReadWithField("slots", 64);
  REQUIRE(endpoint.ok());
  CHECK(endpoint->mId == "i-1");
  CHECK(endpoint->mRole == EndpointRole::Decode);
  CHECK(FormatAddress(endpoint->mAddress) == "10.128.0.9:8080");
  CHECK(endpoint->mIncarnation == 1774145865864);
  CHECK(endpoint->mSoftware == "v1");
  CHECK_FALSE(endpoint->mIsDraining);
  CHECK(ReadWithField("state", "draining")->mIsDraining);
  CHECK(ReadWithField("stage", nullptr)->mRole == EndpointRole::General);

  CHECK_FALSE(ReadWithField("state", "sleeping").ok());
  CHECK_FALSE(ReadWithField("state", 1).ok());
  CHECK(ReadWithField("version", nullptr)->mSoftware.empty());
  CHECK_FALSE(ReadWithField("version", 1).ok());
  CHECK_FALSE(ReadWithField("service", nullptr).ok());
  CHECK_FALSE(ReadWithField("address", "10.128.0.9").ok());
  CHECK_FALSE(ReadWithField("slots", "many").ok());
  CHECK_FALSE(ReadWithField("stage", "other").ok());
  CHECK_FALSE(ReadWithField("zone", nullptr).ok());

  SUBCASE("any text is parsed without a crash")
  {
    CHECK(rc::check("no crash on any text", [](const std::string& aText) {
      static_cast<void>(
        platform::ReadEndpoint({ "servers/i-1", 3, aText, false }));
      static_cast<void>(
        platform::ReadConfig({ "config/main", 3, aText, false }));
    }));
  }
}

TEST_CASE("The platform's settings file is parsed and checked")
{
  SUBCASE("used keys are read and unknown keys ignored")
  {
    const std::string path = WriteFile(kSettings);
    const auto result = platform::ReadPlatformSettings(path);
    std::remove(path.c_str());
    REQUIRE(result.mFindings.empty());
    const RouterSettings& settings = result.mSettings;
    CHECK(settings.mName == "front-1");
    CHECK(FormatAddress(settings.mCallerAddress) == "10.1.0.35:8144");
    CHECK(FormatAddress(settings.mPeerAddress) == "10.1.0.35:7660");
    CHECK(settings.mRetryLimits.mBaseRetries == 52);
    CHECK(settings.mStopTimeout == std::chrono::seconds(8));
  }
  SUBCASE("all problems are reported together, with their lines")
  {
    std::string text = kSettings + "limits.max_fds=many\n";
    text.replace(text.find("zone="), 15, "zone=\n# nothing");
    text.replace(text.find("8144"), 4, "front");
    const std::string path = WriteFile(text);
    const auto result = platform::ReadPlatformSettings(path);
    std::remove(path.c_str());
    REQUIRE(result.mFindings.size() == 3);
    CHECK(result.mFindings[0].mKey == "zone");
    CHECK(result.mFindings[1].mKey == "listen_addrs.front");
    CHECK(result.mFindings[1].mLine == 5);
    CHECK(result.mFindings[2].mKey == "limits.max_fds");
  }
  SUBCASE("a missing file is reported")
  {
    CHECK_FALSE(
      platform::ReadPlatformSettings("/nowhere/at/all").mFindings.empty());
  }
}

// Guards against a configuration whose workspaces are read in part, so that
// callers are refused or served without limit.
TEST_CASE("Workspaces of the configuration")
{
  Json config = kConfig;
  config["routes"][1]["public"] = true;
  config["tenants"] = Json::parse(R"([
    {"name": "w1", "api_keys": ["a", "b"], "priority": 1, "unit": "tokens",
     "plain_tokens": 200, "rate_per_s": 293074, "burst": 1000},
    {"name": "w2", "api_keys": []}])");
  const auto read = [&] {
    return platform::ReadConfig({ "config/main", 1, config.dump(), false });
  };
  SUBCASE("are read with their limits")
  {
    const auto result = read();
    REQUIRE(result.ok());
    CHECK_FALSE(result->mRoutes[0].mIsPublic);
    CHECK(result->mRoutes[1].mIsPublic);
    REQUIRE(result->mWorkspaces.size() == 2);
    const Workspace& first = result->mWorkspaces[0];
    CHECK(first.mName == "w1");
    CHECK(first.mKeys == std::vector<std::string>{ "a", "b" });
    CHECK(first.mPriority == 1);
    CHECK(first.mQuota.mCountsTokens);
    CHECK(first.mQuota.mPlainTokens == 200);
    CHECK(first.mQuota.mRate == 293074);
    CHECK(first.mQuota.mBurst == 1000);
    const Workspace& second = result->mWorkspaces[1];
    CHECK_FALSE(second.mPriority);
    CHECK(second.mQuota.mRate == 0);
    CHECK_FALSE(second.mQuota.mCountsTokens);
  }
  SUBCASE("with an unreadable entry make the version unreadable")
  {
    SUBCASE("no name")
    {
      config["tenants"][0].erase("name");
    }
    SUBCASE("a name that would end a header")
    {
      config["tenants"][0]["name"] = "a\r\nX-Kv-Hold: 1";
    }
    SUBCASE("a key that is no text")
    {
      config["tenants"][0]["api_keys"] = { 7 };
    }
    SUBCASE("a negative rate")
    {
      config["tenants"][1]["rate_per_s"] = -1;
    }
    CHECK_FALSE(read().ok());
  }
}

} // namespace bulrushfold
