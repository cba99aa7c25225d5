#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/PlainSelector.h"

#include <map>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

TEST_CASE("The load of an endpoint is the sum of the work of all daemons")
{
  EndpointLoads loads;
  const Instant now{ seconds(100) };
  int changes = 0;
  loads.OnOwnChange().connect([&](const EndpointWork&) { ++changes; });
  loads.Begin("a", { 1, 0 });
  loads.Begin("a", { 1, 500 });
  CHECK(loads.Own("a").mRequests == 2);
  CHECK(loads.Total("a").mPrefillTokens == 500);
  loads.SetPeer("p", { { "a", { 3, 100 } } });
  CHECK(loads.Total("a").mRequests == 5);
  CHECK(changes == 2);

  SUBCASE("the work of a removed peer does not count")
  {
    loads.RemovePeer("p");
    CHECK(loads.Total("a").mRequests == 2);
  }
  SUBCASE("more ends than begins leave a count of zero")
  {
    loads.End("a", { 5, 900 });
    CHECK(loads.Own("a").mRequests == 0);
    loads.End("a", { 1, 0 });
    loads.End("b", { 1, 0 });
    CHECK(loads.OwnWorks().empty());
  }
  SUBCASE("a load report counts until its lifetime ends")
  {
    loads.OnLoadReport("a", { 9, 2, 6 }, now);
    CHECK(loads.Requests("a", now) == 11);
    loads.Begin("a", { 1, 0 });
    CHECK(loads.Requests("a", now) == 12);
    CHECK(loads.Requests("a", now + seconds(1)) == 6);
    loads.RemoveReport("a");
    CHECK(loads.Requests("a", now) == 6);
  }
}

TEST_CASE("The results of requests decide whether an endpoint is avoided")
{
  Random random(1);
  EndpointHealth health(random);
  Instant now{ seconds(100) };

  SUBCASE("an unreachable endpoint is avoided for a time that doubles")
  {
    health.OnResult("s", "a", SendResult::ConnectFailed, now);
    CHECK(health.IsAvoided("a", now));
    CHECK_FALSE(health.IsAvoided("a", now + milliseconds(700)));
    now += milliseconds(700);
    health.OnResult("s", "a", SendResult::ConnectFailed, now);
    CHECK(health.IsAvoided("a", now + milliseconds(700)));
    SUBCASE("the results are removed with the process")
    {
      health.Remove("a");
      CHECK_FALSE(health.IsAvoided("a", now));
    }
  }
  SUBCASE("three successive lost connections are needed to avoid an endpoint")
  {
    health.OnResult("s", "a", SendResult::Interrupted, now);
    health.OnResult("s", "a", SendResult::Interrupted, now);
    CHECK_FALSE(health.IsAvoided("a", now));
    health.OnResult("s", "a", SendResult::Interrupted, now);
    CHECK(health.IsAvoided("a", now));
  }
  // Guards against a timeout that is shorter than the work taking an endpoint
  // from all other routes.
  SUBCASE("a request that reaches its timeout")
  {
    SUBCASE("does not make an endpoint avoided that answers others")
    {
      for (int i = 0; i < 50; ++i) {
        now += milliseconds(100);
        health.OnResult("s", "a", SendResult::Answered, now);
        health.OnResult("s", "a", SendResult::TimedOut, now);
        CHECK_FALSE(health.IsAvoided("a", now));
        health.OnResult("s", "a", SendResult::Answered, now);
        health.OnResult("s", "a", SendResult::Answered, now);
        health.OnResult("s", "a", SendResult::Answered, now);
      }
    }
    SUBCASE("makes a silent endpoint avoided at once")
    {
      health.OnResult("s", "a", SendResult::Answered, now);
      now += milliseconds(600);
      health.OnResult("s", "a", SendResult::TimedOut, now);
      CHECK(health.IsAvoided("a", now));
    }
    SUBCASE("counts as a failure")
    {
      health.OnResult("s", "a", SendResult::Answered, now);
      for (int i = 0; i < 3; ++i) {
        health.OnResult("s", "a", SendResult::TimedOut, now);
      }
      CHECK(health.FailureShare("a") > 0.5);
      CHECK(health.IsAvoided("a", now));
    }
  }
  SUBCASE("the beginning of an avoidance is reported with its reason")
  {
    std::vector<EndpointAvoidance> avoidances;
    EndpointHealth reporting(
      random, [&](const EndpointAvoidance& aIt) { avoidances.push_back(aIt); });
    reporting.OnResult("s", "a", SendResult::Interrupted, now);
    reporting.OnResult("s", "a", SendResult::Slow, now);
    reporting.OnResult("s", "a", SendResult::Slow, now);
    REQUIRE(avoidances.size() == 1);
    CHECK(avoidances[0].mService == "s");
    CHECK(avoidances[0].mEndpoint == "a");
    CHECK(avoidances[0].mResult == SendResult::Slow);
    CHECK(avoidances[0].mConsecutiveFailures == 2);
    CHECK(avoidances[0].mFailureShare == 1);
    CHECK(reporting.IsAvoided("a", now + avoidances[0].mDuration / 2));
  }
  SUBCASE("a refusal does not count as a failure")
  {
    for (int i = 0; i < 50; ++i) {
      health.OnResult("s", "a", SendResult::Refused, now);
    }
    CHECK_FALSE(health.IsAvoided("a", now));
    CHECK(health.FailureShare("a") == 0);
  }
  // Guards against requests to an endpoint whose active health checks succeed
  // although many of its requests fail.
  SUBCASE("an endpoint that fails far more often than its service is avoided")
  {
    std::map<std::string, int> avoided;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(20);
      for (const std::string id : { "grey", "b", "c" }) {
        const double share = id == "grey" ? 0.45 : 0.05;
        health.OnResult("s",
                        id,
                        random.Bernoulli(share) ? SendResult::ServerError
                                                : SendResult::Answered,
                        now);
        avoided[id] += health.IsAvoided(id, now) ? 1 : 0;
      }
    }
    CHECK(avoided["grey"] > 100);
    CHECK(avoided["b"] < 40);
    CHECK(avoided["c"] < 40);
  }
  // Guards against avoiding all endpoints of a service whose requests often
  // fail for reasons of their own.
  SUBCASE("no endpoint is avoided when all fail equally often")
  {
    int avoided = 0;
    for (int i = 0; i < 300; ++i) {
      now += milliseconds(20);
      for (const std::string id : { "a", "b", "c" }) {
        health.OnResult("s",
                        id,
                        i % 4 == 0 ? SendResult::ServerError
                                   : SendResult::Answered,
                        now);
        avoided += health.IsAvoided(id, now) ? 1 : 0;
      }
    }
    CHECK(avoided == 0);
  }
}

TEST_CASE("A plain request goes to the least loaded endpoint")
{
  Random random(1);
  EndpointDirectory directory(seconds(2));
  EndpointLoads loads;
  EndpointHealth health(random);
  PlainSelector selector(directory, loads, health, "near", random);
  const Instant now{ seconds(100) };
  for (const std::string id : { "a", "b", "c" }) {
    EndpointRecord record;
    record.mId = id;
    record.mService = "s";
    record.mSlots = 6;
    record.mFailureDomain = id == "a" ? "near" : "far";
    directory.Put(record, 1, now);
  }
  const auto share = [&](const std::string& aId,
                         const std::set<std::string>& aAttempted = {}) {
    int n = 0;
    for (int i = 0; i < 200; ++i) {
      n += selector.Choose("s", aAttempted, now)->mEndpoint == aId ? 1 : 0;
    }
    return n / 200.0;
  };

  CHECK_FALSE(selector.Choose("other", {}, now));
  SUBCASE("the daemon's failure domain is preferred when loads are equal")
  {
    CHECK(share("a") > 0.9);
  }
  SUBCASE("another failure domain is chosen when the near endpoint is busy")
  {
    loads.Begin("a", { 4, 0 });
    CHECK(share("a") == 0);
    loads.SetPeer("p", { { "b", { 5, 0 } } });
    CHECK(share("c") == 1);
  }
  SUBCASE("an endpoint without an earlier attempt is preferred")
  {
    loads.Begin("b", { 5, 0 });
    CHECK(share("c", { "a" }) == 1);
  }
  SUBCASE("an avoided endpoint is chosen only if there is no other")
  {
    health.OnResult("s", "a", SendResult::ConnectFailed, now);
    CHECK(share("a") == 0);
    directory.Remove("b", 2, now);
    directory.Remove("c", 2, now);
    CHECK(share("a") == 1);
  }
}

} // namespace bulrushfold
