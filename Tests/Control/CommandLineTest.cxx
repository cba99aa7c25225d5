#include <filesystem>
#include <fstream>

#include <rapidcheck.h>

#include "Control/ReportCommands.h"
#include "ControlFixture.h"
#include "Outcome/Report.h"

namespace bulrushfold {

using Json = nlohmann::json;

TEST_CASE_FIXTURE(ControlFixture, "Command line arguments")
{
  SUBCASE("wrong arguments have an exit code of their own")
  {
    SetDaemons("127.0.0.1:1");
    for (const std::vector<std::string>& it :
         { std::vector<std::string>{},
           { "preset" },
           { "nonsense" },
           { "preset", "show" },
           { "report", "--since", "2h" },
           { "--output", "xml", "status" },
           { "--daemon", "nowhere", "status" },
           { "endpoint", "add", "suva", "e1" } }) {
      CHECK(Run(it) == ExitCode::Usage);
      CHECK_FALSE(Errors().empty());
    }
  }
  SUBCASE("the help text contains examples and exit codes")
  {
    CHECK(Run({ "--help" }) == ExitCode::Ok);
    CHECK(Out().find("Examples:") != std::string::npos);
    CHECK(Out().find("Exit codes:") != std::string::npos);
    CHECK(Run({ "report", "--help" }) == ExitCode::Ok);
    CHECK(Out().find("--html") != std::string::npos);
  }
  // Guards against a token that other users can read in the process list.
  SUBCASE("no option accepts the token itself")
  {
    SetDaemons("127.0.0.1:1");
    CHECK(Run({ "--token", "x", "status" }) == ExitCode::Usage);
    mEnvironment.erase("BULRUSHFOLD_TOKEN");
    CHECK(Run({ "status" }) == ExitCode::Usage);
    CHECK(Errors().find("no token given") != std::string::npos);
  }
  SUBCASE("a daemon address is required")
  {
    CHECK(Run({ "status" }) == ExitCode::Usage);
    CHECK(Errors().find("no daemon given") != std::string::npos);
  }
}

TEST_CASE("Parsing of time spans")
{
  CHECK(ParseDurationSeconds("1h") == 3600);
  CHECK(ParseDurationSeconds("15m") == 900);
  CHECK(ParseDurationSeconds("90s") == 90);
  for (const char* it :
       { "", "h", "0m", "2h", "61m", "3601s", "-1m", "1d", "1", "1.5h" }) {
    CAPTURE(it);
    CHECK_FALSE(ParseDurationSeconds(it));
  }
  CHECK(rc::check([](const std::string& aText) {
    const auto seconds = ParseDurationSeconds(aText);
    const bool isInRange = !seconds || (*seconds >= 1 && *seconds <= 3600);
    RC_ASSERT(isInRange);
  }));
}

TEST_CASE_FIXTURE(ControlFixture, "Commands that show requests and daemons")
{
  FakeDaemon daemon(mLoop);
  SetDaemons(daemon.Address());

  SUBCASE("explain shows cause, action, times and spans")
  {
    daemon.SetAnswer(
      "GET /admin/v1/explain/r1",
      Json{ { "state", "ended" },
            { "request_id", "r1" },
            { "cause", "queueing" },
            { "action", "Add endpoints." },
            { "blamed", { { "name", "e1" }, { "failure_domain", "suva" } } },
            { "hop_ms", { { "queue", 2000.5 } } },
            { "spans",
              Json::array(
                { { { "name", "queue" }, { "fault", "endpoint_died" } } }) } });
    CHECK(Run({ "explain", "r1" }) == ExitCode::Ok);
    for (const char* it : { "queueing",
                            "Add endpoints.",
                            "e1 (suva)",
                            "2000.5",
                            "endpoint_died" }) {
      CAPTURE(it);
      CHECK(Out().find(it) != std::string::npos);
    }
    CHECK(Run({ "explain", "r2" }) == ExitCode::NotFound);
    CHECK(Run({ "--output", "json", "explain", "r1" }) == ExitCode::Ok);
    CHECK(Json::parse(Out())["cause"] == "queueing");
  }
  // Guards against a request id with special characters that changes the path
  // of the request.
  SUBCASE("explain percent-encodes the request id")
  {
    daemon.SetAnswer("GET /admin/v1/explain/../status?x",
                     Json{ { "state", "ended" } });
    CHECK(Run({ "explain", "../status?x" }) == ExitCode::Ok);
    CHECK(daemon.Requests()[0].mQuery.empty());
  }

  SUBCASE("report writes a table and an HTML page")
  {
    ReportBuilder builder(MakeReportWindow(100'000, 15));
    ReportPart part;
    part.mDaemon = "d1";
    OutcomeKey key;
    key.mCause = Cause::EndpointDied;
    key.mStatus = OutcomeStatus::Failed;
    key.mEndpoint = "e7";
    part.mCurrent[key] = 12;
    builder.Add(part);
    daemon.SetAnswer("GET /admin/v1/report",
                     Json::parse(FormatReportJson(builder.Build())));
    const auto file = std::filesystem::temp_directory_path() /
                      ("bulrushfold-report-" + std::to_string(getpid()));
    CHECK(Run({ "report", "--since", "15m", "--html", file.string() }) ==
          ExitCode::Ok);
    CHECK(daemon.Requests()[0].Parameter("since_s") == "900");
    CHECK(Out().find("endpoint_died") != std::string::npos);
    CHECK(std::filesystem::file_size(file) > 1000);
    std::filesystem::remove(file);
    CHECK(Run({ "report", "--html", "/nonexistent/x.html" }) ==
          ExitCode::Failed);
  }

  // Guards against a name with escape sequences that control the terminal of
  // the operator.
  SUBCASE("tables contain no control characters")
  {
    const std::string hostile = "\x1b[2J";
    daemon.SetAnswer(
      "GET /admin/v1/status",
      Json{ { "preset", hostile },
            { "daemon", hostile },
            { "store", { { "state", hostile } } },
            { "daemons", Json::array({ { { "name", hostile } } }) } });
    daemon.SetAnswer(
      "GET /admin/v1/audit",
      Json{ { "entries", Json::array({ { { "operator", hostile } } }) } });
    daemon.SetAnswer(
      "GET /admin/v1/workspaces",
      Json{ { "workspaces", { { hostile, { { "share", 1 } } } } } });
    for (const std::vector<std::string>& it :
         { std::vector<std::string>{ "status" },
           { "audit" },
           { "workspace", "list" } }) {
      CHECK(Run(it) == ExitCode::Ok);
      CHECK(Out().find("?[2J") != std::string::npos);
      CHECK(Out().find('\x1b') == std::string::npos);
    }
  }
}

} // namespace bulrushfold
