#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
/** Sends of one deadly request after which a daemon must refuse it. */
constexpr int kMaxDeadlySends = 4;

/** Entry of aEndpoint after its restart number aStarts, under the same id. */
void
WriteRestarted(PlatformFixture& aPlatform,
               RawEndpoint& aEndpoint,
               const std::string& aId,
               const std::string& aService,
               int aStarts)
{
  nlohmann::json entry =
    nlohmann::json::parse(aEndpoint.RegistryEntry(aService));
  entry["born"] = 1000 + aStarts;
  aPlatform.ChangeStore(
    [&] { aPlatform.mFakeStore.Write("servers/" + aId, entry); });
}

bool
IsSuspect(const std::string& aAnswer)
{
  return HasStatus(aAnswer, 503) &&
         aAnswer.find("crash_suspect") != std::string::npos;
}
} // namespace

// Guards against a deadly stream that is sent on and on, because the answer to
// its prefill, which always succeeds, was taken for a sign that it is harmless.
TEST_CASE("A stream that crashes each decode engine is refused")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-p", "llm", "prefill");
  RawEndpoint& engine = platform.AddRawEndpoint("i-d", "llm", "decode");
  int decodes = 0;
  engine.OnRequest([&](const RawRequest& aRequest) {
    ++decodes;
    engine.Close(aRequest.mConnection, RawClose::Reset);
  });
  platform.Start();
  std::string answer;
  for (int i = 1; i <= 10; ++i) {
    answer = platform.Call("/stream/1", "r" + std::to_string(i));
    WriteRestarted(platform, engine, "i-d", "llm", i);
  }
  CHECK(decodes <= kMaxDeadlySends);
  CHECK(IsSuspect(answer));
}

// Guards against a deadly request that is sent on and on, because some of its
// sends were answered with an error by endpoints that never ran it.
TEST_CASE("An error answer does not clear a request that crashes endpoints")
{
  PlatformFixture platform;
  RawEndpoint& endpoint = platform.AddRawEndpoint("i-a", "app");
  int crashes = 0;
  int requests = 0;
  endpoint.OnRequest([&](const RawRequest& aRequest) {
    if (++requests % 2 == 0) {
      ++crashes;
      endpoint.Close(aRequest.mConnection, RawClose::Reset);
    } else {
      endpoint.Send(
        aRequest.mConnection,
        RawEndpoint::Answer(500, RawEndpoint::Proof(aRequest), "overloaded"));
    }
  });
  platform.Start();
  std::string answer;
  for (int i = 1; i <= 16; ++i) {
    answer = platform.Call("/unsafe/1", "r" + std::to_string(i));
    WriteRestarted(platform, endpoint, "i-a", "app", i);
  }
  CHECK(crashes <= kMaxDeadlySends);
  CHECK(IsSuspect(answer));
}

// Guards against a poller that is refused for a minute because endpoints that
// were down closed a few of its connections.
TEST_CASE("A harmless request is served once an endpoint is up again")
{
  PlatformFixture platform;
  bool isUp = true;
  for (const std::string id : { "i-a", "i-b", "i-c" }) {
    RawEndpoint& endpoint = platform.AddRawEndpoint(id, "app");
    endpoint.OnRequest([&isUp, &endpoint](const RawRequest& aRequest) {
      if (isUp) {
        endpoint.Send(
          aRequest.mConnection,
          RawEndpoint::Answer(200, RawEndpoint::Proof(aRequest), "fine"));
      } else {
        endpoint.Close(aRequest.mConnection, RawClose::Orderly);
      }
    });
  }
  platform.Start();
  CHECK(HasStatus(platform.Call("/safe/1", "r0"), 200));
  isUp = false;
  for (int i = 1; i <= 12; ++i) {
    CHECK_FALSE(
      HasStatus(platform.Call("/safe/1", "r" + std::to_string(i)), 200));
  }
  isUp = true;
  CHECK(HasStatus(platform.Call("/safe/1", "r13"), 200));
}

} // namespace bulrushfold
