#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/PlainSelector.h"

#include <map>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

TEST_CASE("The load of an endpoint adds up what all daemons do")
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

  SUBCASE("a peer that is gone does nothing any more")
  {
    loads.RemovePeer("p");
    CHECK(loads.Total("a").mRequests == 2);
  }
  SUBCASE("ends never count below zero")
  {
    loads.End("a", { 5, 900 });
    CHECK(loads.Own("a").mRequests == 0);
    loads.End("a", { 1, 0 });
    loads.End("b", { 1, 0 });
    CHECK(loads.OwnWorks().empty());
  }
  SUBCASE("a stated load counts while it is fresh")
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

TEST_CASE("An endpoint is judged by how requests to it end")
{
  Random random(1);
  EndpointHealth health(random);
  Instant now{ seconds(100) };

  SUBCASE("one that cannot be reached is avoided for a time that doubles")
  {
    health.OnResult("s", "a", SendResult::ConnectFailed, now);
    CHECK(health.IsAvoided("a", now));
    CHECK_FALSE(health.IsAvoided("a", now + milliseconds(700)));
    now += milliseconds(700);
    health.OnResult("s", "a", SendResult::ConnectFailed, now);
    CHECK(health.IsAvoided("a", now + milliseconds(700)));
    SUBCASE("and forgotten with the process")
    {
      health.Remove("a");
      CHECK_FALSE(health.IsAvoided("a", now));
    }
  }
  SUBCASE("one broken answer says little, three in a row much")
  {
    health.OnResult("s", "a", SendResult::Broken, now);
    health.OnResult("s", "a", SendResult::Broken, now);
    CHECK_FALSE(health.IsAvoided("a", now));
    health.OnResult("s", "a", SendResult::Broken, now);
    CHECK(health.IsAvoided("a", now));
  }
  SUBCASE("a refusal is no failure")
  {
    for (int i = 0; i < 50; ++i) {
      health.OnResult("s", "a", SendResult::Refused, now);
    }
    CHECK_FALSE(health.IsAvoided("a", now));
    CHECK(health.FailureShare("a") == 0);
  }
  // Health checks of such an endpoint are good.
  SUBCASE("one that fails far more often than its service is avoided")
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
  // Guards against ejecting all endpoints of a service whose requests often
  // fail by themselves.
  SUBCASE("failures that all endpoints share eject none")
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
                         const std::set<std::string>& aTried = {}) {
    int n = 0;
    for (int i = 0; i < 200; ++i) {
      n += selector.Choose("s", aTried, now)->mEndpoint == aId ? 1 : 0;
    }
    return n / 200.0;
  };

  CHECK_FALSE(selector.Choose("other", {}, now));
  SUBCASE("in its own failure domain when loads are equal")
  {
    CHECK(share("a") > 0.9);
  }
  SUBCASE("elsewhere when the near one is busy")
  {
    loads.Begin("a", { 4, 0 });
    CHECK(share("a") == 0);
    loads.SetPeer("p", { { "b", { 5, 0 } } });
    CHECK(share("c") == 1);
  }
  SUBCASE("to one that did not have it yet")
  {
    loads.Begin("b", { 5, 0 });
    CHECK(share("c", { "a" }) == 1);
  }
  SUBCASE("to one that is avoided only if there is no other")
  {
    health.OnResult("s", "a", SendResult::ConnectFailed, now);
    CHECK(share("a") == 0);
    directory.Remove("b", 2, now);
    directory.Remove("c", 2, now);
    CHECK(share("a") == 1);
  }
}

} // namespace bulrushfold
