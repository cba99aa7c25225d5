#include "Control/LocalCommands.h"

#include <filesystem>
#include <fstream>

#include "Base/Secret.h"
#include "ControlFixture.h"

namespace bulrushfold {

namespace {

namespace fs = std::filesystem;

/** A file in the temporary directory; the destructor removes it. */
class TemporaryFile
{
public:
  TemporaryFile(const std::string& aText, fs::perms aPermissions)
    : mPath(fs::temp_directory_path() /
            ("bulrushfold-test-" + std::to_string(getpid())))
  {
    std::ofstream(mPath) << aText;
    fs::permissions(mPath, aPermissions);
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { fs::remove(mPath); }
  std::string Path() const { return mPath.string(); }

private:
  fs::path mPath;
};

constexpr auto kOwnerOnly = fs::perms::owner_read | fs::perms::owner_write;

} // namespace

TEST_CASE_FIXTURE(ControlFixture, "config check")
{
  SUBCASE(
    "lists all findings of the sample, in which required values are missing")
  {
    CHECK(Run({ "config", "sample" }) == ExitCode::Ok);
    const TemporaryFile file(Out() + "\n[colours]\nblue = 1\n", kOwnerOnly);
    CHECK(Run({ "config", "check", file.Path() }) == ExitCode::Findings);
    CHECK(Out().find("daemon.name") != std::string::npos);
    CHECK(Out().find("colours.blue") != std::string::npos);
    CHECK(Run({ "--output", "json", "config", "check", file.Path() }) ==
          ExitCode::Findings);
    CHECK(nlohmann::json::parse(Out())["findings"].size() > 3);
  }
  SUBCASE("reports a file that cannot be read as a finding")
  {
    CHECK(Run({ "config", "check", "/nonexistent" }) == ExitCode::Findings);
  }
}

TEST_CASE_FIXTURE(ControlFixture, "token hash")
{
  mInput = "  abc \nnext line\n";
  CHECK(Run({ "token", "hash" }) == ExitCode::Ok);
  CHECK(Out() == Sha256Hex("abc") + "\n");
  mInput = "\n";
  CHECK(Run({ "token", "hash" }) == ExitCode::Usage);
}

TEST_CASE_FIXTURE(ControlFixture, "Token file")
{
  FakeDaemon daemon(mLoop);
  daemon.SetAnswer("GET /admin/v1/presets", kPresetsAnswer);
  mEnvironment["BULRUSHFOLD_DAEMONS"] = daemon.Address();

  SUBCASE("takes precedence over the environment variable")
  {
    const TemporaryFile file("from-file\n", kOwnerOnly);
    mEnvironment["BULRUSHFOLD_TOKEN"] = "from-environment";
    CHECK(Run({ "--token-file", file.Path(), "preset", "list" }) ==
          ExitCode::Ok);
    CHECK(daemon.Requests()[0].mHeaders.Find("Authorization") ==
          "Bearer from-file");
  }
  // Guards against the use of a token file that other users can read.
  SUBCASE("is refused if other users can read it")
  {
    const TemporaryFile file("x\n", kOwnerOnly | fs::perms::others_read);
    CHECK(Run({ "--token-file", file.Path(), "preset", "list" }) ==
          ExitCode::Usage);
    CHECK(daemon.Requests().empty());
  }
  SUBCASE("is refused if it is empty or missing")
  {
    const TemporaryFile file("\n", kOwnerOnly);
    CHECK(Run({ "--token-file", file.Path(), "preset", "list" }) ==
          ExitCode::Usage);
    CHECK(Run({ "--token-file", "/nonexistent", "preset", "list" }) ==
          ExitCode::Usage);
  }
}

} // namespace bulrushfold
