#include "ControlFixture.h"

namespace bulrushfold {

using Json = nlohmann::json;

TEST_CASE_FIXTURE(ControlFixture, "Reading from several daemons")
{
  FakeDaemon first(mLoop);
  FakeDaemon second(mLoop);
  second.SetAnswer("GET /admin/v1/presets", kPresetsAnswer);

  // Guards against a client that fails as soon as one daemon is down.
  SUBCASE("a daemon that cannot be reached is skipped")
  {
    SetDaemons(FormatAddress(FreeAddress()) + "," + second.Address());
    CHECK(Run({ "preset", "list" }) == ExitCode::Ok);
    CHECK(Out().find("night") != std::string::npos);
  }
  SUBCASE("a daemon that does not answer is skipped")
  {
    first.SetAnswer("GET /admin/v1/presets", [](const HttpRequest&) {
      return FakeAnswer{ 0, {}, true };
    });
    SetDaemons(first.Address() + "," + second.Address());
    CHECK(Run({ "--timeout", "0.2", "preset", "list" }) == ExitCode::Ok);
  }
  SUBCASE("a daemon that is not ready is skipped")
  {
    first.SetAnswer("GET /admin/v1/presets", [](const HttpRequest&) {
      return FakeAnswer{ 503, { { "code", "not_ready" } }, false };
    });
    SetDaemons(first.Address() + "," + second.Address());
    CHECK(Run({ "preset", "list" }) == ExitCode::Ok);
    CHECK(first.Requests().size() == 1);
  }
  SUBCASE("the error names the daemons if none can be reached")
  {
    const std::string unreachable = FormatAddress(FreeAddress());
    SetDaemons(unreachable);
    CHECK(Run({ "preset", "list" }) == ExitCode::Unreachable);
    CHECK(Errors().find(unreachable) != std::string::npos);
  }
  // Guards against a request that is repeated at the other daemons although one
  // has refused it.
  SUBCASE("a refused request is not sent to the next daemon")
  {
    for (const auto& [status, code] :
         { std::make_pair(401, ExitCode::NotAllowed),
           std::make_pair(403, ExitCode::NotAllowed),
           std::make_pair(404, ExitCode::NotFound),
           std::make_pair(400, ExitCode::Refused) }) {
      first.SetAnswer("GET /admin/v1/presets",
                      [it = status](const HttpRequest&) {
                        return FakeAnswer{
                          it, { { "code", "c" }, { "detail", "d" } }, false
                        };
                      });
      SetDaemons(first.Address() + "," + second.Address());
      CHECK(Run({ "preset", "list" }) == code);
    }
    CHECK(second.Requests().empty());
  }
  SUBCASE("an answer with an unexpected format is an error")
  {
    first.SetAnswer("GET /admin/v1/presets", Json::array({ 1 }));
    SetDaemons(first.Address());
    CHECK(Run({ "preset", "list" }) == ExitCode::Failed);
    CHECK(Run({ "preset", "use", "night" }) == ExitCode::NotFound);
  }
  SUBCASE("the token is sent, and only as a header")
  {
    SetDaemons(second.Address());
    CHECK(Run({ "preset", "list" }) == ExitCode::Ok);
    CHECK(second.Requests()[0].mHeaders.Find("Authorization") ==
          "Bearer secret-token");
    CHECK(Out().find("secret-token") == std::string::npos);
  }
}

} // namespace bulrushfold
