#include "ControlFixture.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

const Json kAccepted{ { "change_id", "c1" },
                      { "key", "config/presets" },
                      { "version", 6 } };
const std::string kUseNight = "POST /admin/v1/presets/night/put-in-force";
const std::string kCoverage = "GET /admin/v1/changes/config/presets/6";
const std::string kAudit = "GET /admin/v1/audit";

Json
CoverageAnswer(const std::string& aState)
{
  const auto daemon = [](const std::string& aName, const std::string& aIt) {
    return Json{ { "name", aName },
                 { "failure_domain", "suva" },
                 { "version", 6 },
                 { "state", aIt } };
  };
  return { { "key", "config/presets" },
           { "version", 6 },
           { "in_force_everywhere", aState == "in_force" },
           { "daemons",
             Json::array(
               { daemon("d1", "in_force"), daemon("d2", aState) }) } };
}

FakeAnswer
Problem(int aStatus, const std::string& aCode, const std::string& aApplied)
{
  return { aStatus,
           { { "code", aCode },
             { "detail", "because" },
             { "applied", aApplied },
             { "current_version", 9 } },
           false };
}

} // namespace

TEST_CASE_FIXTURE(ControlFixture, "Configuration change")
{
  FakeDaemon first(mLoop);
  FakeDaemon second(mLoop);
  for (auto* it : { &first, &second }) {
    it->SetAnswer("GET /admin/v1/presets", kPresetsAnswer);
    it->SetAnswer(kUseNight, kAccepted);
    it->SetAnswer(kCoverage, CoverageAnswer("in_force"));
  }
  SetDaemons(first.Address() + "," + second.Address());

  SUBCASE("sends the version that it is based on and waits until in force")
  {
    int polls = 0;
    first.SetAnswer(kCoverage, [&polls](const HttpRequest&) {
      const std::string state = ++polls < 3 ? "pending" : "in_force";
      return FakeAnswer{ 200, CoverageAnswer(state), false };
    });
    CHECK(Run({ "preset", "use", "night" }) == ExitCode::Ok);
    CHECK(polls == 3);
    CHECK(Out().find("in force at all 2 daemons") != std::string::npos);
    const auto& request = first.Requests()[1];
    CHECK(request.mHeaders.Find("If-Match") == "5");
    CHECK(request.mHeaders.Find("Change-Id"));
  }

  SUBCASE("lists the daemons at which the change is not in force")
  {
    first.SetAnswer(kCoverage, CoverageAnswer("unreachable"));
    CHECK(Run({ "--wait", "0", "preset", "use", "night" }) ==
          ExitCode::NotInForce);
    CHECK(Out().find("not in force at d2 (unreachable)") != std::string::npos);
    CHECK(
      Run({ "--wait", "0", "--output", "json", "preset", "use", "night" }) ==
      ExitCode::NotInForce);
    const Json json = Json::parse(Out());
    CHECK(json["in_force_everywhere"] == false);
    CHECK(json["missing"][0] == "d2 (unreachable)");
  }
  SUBCASE("is not reported as in force if the coverage cannot be read")
  {
    for (auto* it : { &first, &second }) {
      it->SetAnswer(kCoverage, [](const HttpRequest&) {
        return Problem(503, "not_ready", "no");
      });
    }
    CHECK(Run({ "--wait", "0", "preset", "use", "night" }) ==
          ExitCode::NotInForce);
  }

  SUBCASE("reports the current version after a conflict")
  {
    first.SetAnswer(kUseNight, [](const HttpRequest&) {
      return Problem(409, "conflict", "no");
    });
    CHECK(Run({ "preset", "use", "night" }) == ExitCode::Conflict);
    CHECK(Errors().find("current version 9") != std::string::npos);
    CHECK(second.CountOf(HttpMethod::Post) == 0);
  }

  SUBCASE("is sent to the next daemon if it certainly had no effect")
  {
    SUBCASE("the first daemon answers that nothing was applied")
    {
      first.SetAnswer(kUseNight, [](const HttpRequest&) {
        return Problem(503, "store_down", "no");
      });
    }
    SUBCASE("the first daemon cannot be reached")
    {
      SetDaemons(FormatAddress(FreeAddress()) + "," + second.Address());
    }
    CHECK(Run({ "preset", "use", "night" }) == ExitCode::Ok);
    CHECK(second.CountOf(HttpMethod::Post) == 1);
  }
  SUBCASE("reports that the change had no effect at any daemon")
  {
    for (auto* it : { &first, &second }) {
      it->SetAnswer(kUseNight, [](const HttpRequest&) {
        return Problem(503, "store_down", "no");
      });
    }
    CHECK(Run({ "preset", "use", "night" }) == ExitCode::Unreachable);
  }

  // Guards against a change that is applied twice: the daemon applies it but
  // the answer is lost, and the client sends it to the next daemon.
  SUBCASE("is not sent again after a lost answer")
  {
    first.SetAnswer(kUseNight, [](const HttpRequest&) {
      return FakeAnswer{ 0, {}, true };
    });
    SUBCASE("the result is unknown without an audit record")
    {
      second.SetAnswer(kAudit, Json{ { "entries", Json::array() } });
      CHECK(Run({ "--wait", "0", "preset", "use", "night" }) ==
            ExitCode::Unknown);
      CHECK(Errors().find("change id") != std::string::npos);
    }
    SUBCASE("the result is read from the audit records of another daemon")
    {
      second.SetAnswer(kAudit, [](const HttpRequest& aRequest) {
        Json entry = kAccepted;
        entry["state"] = "accepted";
        entry["change_id"] = aRequest.Parameter("change_id").value_or("");
        return FakeAnswer{ 200, { { "entries", { entry } } }, false };
      });
      first.SetAnswer(kAudit, [](const HttpRequest&) {
        return Problem(503, "not_ready", "no");
      });
      CHECK(Run({ "preset", "use", "night" }) == ExitCode::Ok);
      CHECK(second.Requests()[0].Parameter("change_id") ==
            first.Requests()[1].mHeaders.Find("Change-Id"));
    }
    SUBCASE("the audit record has the state refused")
    {
      first.SetAnswer(kAudit,
                      Json{ { "entries", { { { "state", "refused" } } } } });
      CHECK(Run({ "preset", "use", "night" }) == ExitCode::Conflict);
    }
    CHECK(second.CountOf(HttpMethod::Post) == 0);
  }
  SUBCASE("is not sent again after a read timeout")
  {
    first.SetAnswer(kUseNight, [](const HttpRequest&) {
      return FakeAnswer{ 0, {}, false, true };
    });
    CHECK(
      Run({ "--timeout", "0.2", "--wait", "0", "preset", "use", "night" }) ==
      ExitCode::Unknown);
    CHECK(second.CountOf(HttpMethod::Post) == 0);
  }
  SUBCASE("is not sent again after an answer with an unknown outcome")
  {
    first.SetAnswer(kUseNight, [](const HttpRequest&) {
      return Problem(504, "outcome_unknown", "unknown");
    });
    first.SetAnswer(kAudit,
                    Json{ { "entries", { { { "state", "unknown" } } } } });
    CHECK(Run({ "--wait", "0", "preset", "use", "night" }) ==
          ExitCode::Unknown);
    CHECK(second.CountOf(HttpMethod::Post) == 0);
  }
  SUBCASE("is not sent again after a server error without details")
  {
    first.SetAnswer(kUseNight, [](const HttpRequest&) {
      return FakeAnswer{ 500, {}, false };
    });
    CHECK(Run({ "--wait", "0", "preset", "use", "night" }) ==
          ExitCode::Unknown);
    CHECK(second.CountOf(HttpMethod::Post) == 0);
  }
}

TEST_CASE_FIXTURE(ControlFixture, "Requests of the change commands")
{
  FakeDaemon daemon(mLoop);
  SetDaemons(daemon.Address());
  daemon.SetAnswer(kCoverage, CoverageAnswer("in_force"));

  SUBCASE("preset create copies the values of another preset")
  {
    daemon.SetAnswer("GET /admin/v1/presets", kPresetsAnswer);
    daemon.SetAnswer("PUT /admin/v1/presets/dawn", kAccepted);
    CHECK(Run({ "preset",
                "create",
                "dawn",
                "--from",
                "night",
                "--set",
                "max_queue=7" }) == ExitCode::Ok);
    CHECK(Json::parse(daemon.Requests()[1].mBody) ==
          Json{ { "slot_share", 0.5 }, { "max_queue", 7 } });
    CHECK(Run({ "preset", "create", "dawn", "--set", "x=y" }) ==
          ExitCode::Usage);
    CHECK(Run({ "preset", "create", "x", "--from", "y" }) ==
          ExitCode::NotFound);
    CHECK(Run({ "preset", "create", "night" }) == ExitCode::Conflict);
  }

  const Json endpoints{
    { "objects",
      { { "suva",
          { { "key", "config/endpoints/suva" }, { "version", 3 } } } } },
    { "endpoints",
      Json::array({ { { "name", "e1" },
                      { "failure_domain", "suva" },
                      { "address", "10.0.0.5:9100" },
                      { "kind", "engine" },
                      { "role", "decode" },
                      { "models", { "m1", "m2" } },
                      { "state", "live" } } }) }
  };
  // Guards against a drain that is based on the version of another failure
  // domain: each failure domain has its own configuration object.
  SUBCASE("endpoint changes use the version of their failure domain")
  {
    daemon.SetAnswer("GET /admin/v1/endpoints", endpoints);
    daemon.SetAnswer("POST /admin/v1/endpoints/suva/e1/drain", kAccepted);
    daemon.SetAnswer("PUT /admin/v1/endpoints/nadi/e 2", kAccepted);
    CHECK(Run({ "endpoint", "drain", "suva", "e1" }) == ExitCode::Ok);
    CHECK(daemon.Requests()[1].mHeaders.Find("If-Match") == "3");
    CHECK(Run({ "endpoint",
                "add",
                "nadi",
                "e 2",
                "--address",
                "10.0.0.6:1",
                "--role",
                "prefill",
                "--models",
                "m1,m2" }) == ExitCode::Ok);
    const auto& put = daemon.Requests()[4];
    CHECK(put.mHeaders.Find("If-Match") == "0");
    const Json body = Json::parse(put.mBody);
    CHECK(body["models"] == Json{ "m1", "m2" });
    CHECK(body["state"] == "live");
    CHECK(Run({ "endpoint", "list" }) == ExitCode::Ok);
    CHECK(Out().find("m1,m2") != std::string::npos);
    CHECK(Run({ "endpoint", "list", "--failure-domain", "nadi" }) ==
          ExitCode::Ok);
    CHECK(Out().find("m1,m2") == std::string::npos);
    CHECK(Run({ "endpoint", "drain", "suva", "e9" }) == ExitCode::NotFound);
  }

  SUBCASE("workspace set keeps the members without an option")
  {
    const Json old{ { "share", 2 },
                    { "token_sha256", { "aa", "bb" } },
                    { "models", { "m1" } } };
    daemon.SetAnswer(
      "GET /admin/v1/workspaces",
      Json{ { "version", 8 }, { "workspaces", { { "w1", old } } } });
    daemon.SetAnswer("PUT /admin/v1/workspaces/w1", kAccepted);
    CHECK(Run({ "workspace",
                "set",
                "w1",
                "--burst",
                "9",
                "--remove-token-sha256",
                "aa",
                "--add-token-sha256",
                "cc" }) == ExitCode::Ok);
    CHECK(Json::parse(daemon.Requests()[1].mBody) ==
          Json{ { "share", 2 },
                { "burst", 9.0 },
                { "models", { "m1" } },
                { "token_sha256", { "bb", "cc" } } });
  }
  // Guards against a change that removes all tokens: a viewer reads a workspace
  // without its token digests.
  SUBCASE("workspace set fails if the answer has no token digests")
  {
    daemon.SetAnswer(
      "GET /admin/v1/workspaces",
      Json{ { "version", 8 },
            { "workspaces", { { "w1", { { "share", 2 } } } } } });
    CHECK(Run({ "workspace", "set", "w1", "--burst", "9" }) ==
          ExitCode::NotAllowed);
    CHECK(daemon.CountOf(HttpMethod::Put) == 0);
  }
}

} // namespace bulrushfold
