#include "Settings/SettingsReader.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
const std::string kValidText = R"([daemon]
name = d1
failure_domain = suva
caller_address = 127.0.0.1:8001
admin_address = 127.0.0.1:8002
peer_address = 127.0.0.1:8003
[platform]
store_address = 127.0.0.1:9000
[peers]
keys = k1:000102030405060708090a0b0c0d0e0f
[admin]
operator_token_sha256 = )" + std::string(64, 'a') +
                               "\n";

bool
HasFinding(const Findings& aFindings, int aLine, const std::string& aKey)
{
  for (const auto& it : aFindings) {
    if (it.mLine == aLine && it.mKey == aKey) {
      return true;
    }
  }
  return false;
}
} // namespace

TEST_CASE("Reading a settings file")
{
  SUBCASE("a valid file has no findings and fills in the defaults")
  {
    const auto result = ReadSettings("a.ini", kValidText);
    CHECK(result.mFindings.empty());
    CHECK(result.mSettings.mDaemon.mName == "d1");
    CHECK(result.mSettings.mPeers.mKeys.size() == 1);
    CHECK(result.mSettings.mRouting.mStreamReadTimeout ==
          std::chrono::seconds(2));
  }

  // Guards against reporting one problem per run.
  SUBCASE("all problems are reported together, each with its line")
  {
    const std::string text = kValidText + R"([routing]
this line is no setting
stream_silence_ms = soon
crash_limit = 0
colour = blue
crash_limit = 4
neither is this
)";
    const auto findings = ReadSettings("a.ini", text).mFindings;
    CHECK(findings.size() == 6);
    CHECK(HasFinding(findings, 14, ""));
    CHECK(HasFinding(findings, 15, "routing.stream_silence_ms"));
    CHECK(HasFinding(findings, 16, "routing.crash_limit"));
    CHECK(HasFinding(findings, 17, "routing.colour"));
    CHECK(HasFinding(findings, 18, "routing.crash_limit"));
    CHECK(HasFinding(findings, 19, ""));
  }

  SUBCASE("missing keys are named")
  {
    const auto findings = ReadSettings("a.ini", "").mFindings;
    CHECK(HasFinding(findings, 0, "daemon.name"));
    CHECK(HasFinding(findings, 0, "peers.keys"));
  }

  SUBCASE("a finding says what was expected and what was found")
  {
    CHECK(FormatFinding({ "a.ini", 3, "x.y", "bytes", "many" }) ==
          "a.ini:3: x.y: expected bytes, found many");
  }

  // Guards against a crash on a damaged file.
  SUBCASE("any text is read without a crash")
  {
    CHECK(rc::check(
      [](const std::string& aText) { ReadSettings("a.ini", aText); }));
  }
}

// Guards against a sample that no longer matches the keys.
TEST_CASE("The sample file is valid once the required keys are given")
{
  const std::string sample = MakeSampleSettings();
  for (const auto& it : SettingKeys()) {
    CHECK(sample.find("\n" + std::string(it.mRequired ? ";" : "")) !=
          std::string::npos);
    CHECK(sample.find(it.mKey + " = ") != std::string::npos);
  }
  for (const auto& it : ReadSettings("sample.ini", sample).mFindings) {
    CHECK(it.mFound.empty());
    CHECK(it.mLine == 0);
  }
}

} // namespace bulrushfold
