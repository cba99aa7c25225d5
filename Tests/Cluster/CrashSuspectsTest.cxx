#include "Cluster/CrashSuspects.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "ClusterFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::minutes;
using std::chrono::seconds;

const std::string kGuilty = "guilty";
const std::string kInnocent = "innocent";

bool
AllAdmit(ClusterFixture& aCluster,
         const std::string& aDigest,
         SuspectVerdict aVerdict)
{
  const auto names = aCluster.UpNames();
  return std::all_of(names.begin(), names.end(), [&](const auto& aName) {
    return aCluster.Node(aName).Admit(aDigest, aCluster.Now()) == aVerdict;
  });
}

void
Crash(ClusterFixture& aCluster,
      const std::string& aDaemon,
      const std::string& aEndpoint,
      const std::vector<CrashedRequest>& aRequests)
{
  aCluster.Deliver(aDaemon, [&](ClusterNode& aNode) {
    return aNode.OnCrash(aEndpoint, aRequests, aCluster.Now());
  });
  aCluster.RunFor(seconds(2));
}

/** Asks for a run alone and waits; true when it was granted. */
bool
RequestRun(ClusterFixture& aCluster,
           const std::string& aDaemon,
           const std::string& aDigest)
{
  auto& granted = aCluster.At(aDaemon).mSuspects.mGranted;
  granted.clear();
  aCluster.Deliver(aDaemon, [&](ClusterNode& aNode) {
    return aNode.RequestRun(aDigest, aCluster.Now());
  });
  return aCluster.RunUntil([&] { return !granted.empty(); }, seconds(4));
}

void
Succeed(ClusterFixture& aCluster,
        const std::string& aDaemon,
        const std::string& aDigest)
{
  aCluster.Deliver(aDaemon, [&](ClusterNode& aNode) {
    return aNode.OnSuccess(aDigest, aCluster.Now());
  });
  aCluster.RunFor(seconds(3));
}
} // namespace

TEST_CASE("A request that crashes each endpoint that runs it")
{
  ClusterFixture cluster(5, SixNames());
  cluster.StartAll();
  cluster.mLoss = 0.05;
  Crash(cluster, "a-1", "e1/1", { { kGuilty, false }, { kInnocent, false } });

  SUBCASE("is a suspect at every daemon after one crash")
  {
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Alone));
    CHECK(AllAdmit(cluster, "other", SuspectVerdict::Ordinary));
  }

  // Guards against one request that takes down endpoint after endpoint.
  SUBCASE("is refused at every daemon after the limit, whoever ran it")
  {
    REQUIRE(RequestRun(cluster, "b-1", kGuilty));
    Crash(cluster, "b-1", "e2/1", { { kGuilty, true } });
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Alone));
    REQUIRE(RequestRun(cluster, "c-2", kGuilty));
    Crash(cluster, "c-2", "e3/1", { { kGuilty, true } });
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Refuse));
    CHECK(cluster.Node("a-2").Suspects().Crashes(kGuilty, cluster.Now()) == 3);
    cluster.RunFor(minutes(61));
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Ordinary));
  }

  // Guards against a refusal of a request that only shared batches.
  SUBCASE("an innocent request that shared its batches finally runs")
  {
    Crash(cluster, "b-1", "e2/1", { { kGuilty, false }, { kInnocent, false } });
    Crash(cluster, "b-2", "e3/1", { { kGuilty, false }, { kInnocent, false } });
    Crash(cluster, "c-1", "e4/1", { { kGuilty, false }, { kInnocent, false } });
    CHECK(AllAdmit(cluster, kInnocent, SuspectVerdict::Alone));
    REQUIRE(RequestRun(cluster, "c-2", kInnocent));
    Succeed(cluster, "c-2", kInnocent);
    CHECK(AllAdmit(cluster, kInnocent, SuspectVerdict::Ordinary));
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Alone));
  }

  SUBCASE("runs on one endpoint at a time")
  {
    REQUIRE(RequestRun(cluster, "b-1", kGuilty));
    CHECK_FALSE(RequestRun(cluster, "c-1", kGuilty));
    cluster.Deliver("b-1", [&](ClusterNode& aNode) {
      return aNode.OnRunEnded(kGuilty, cluster.Now());
    });
    CHECK(cluster.RunUntil(
      [&] { return !cluster.At("c-1").mSuspects.mGranted.empty(); },
      seconds(5)));
  }

  SUBCASE("a crash that several daemons report counts once")
  {
    for (const auto& it : SixNames()) {
      Crash(cluster, it, "e2/1", { { kGuilty, false } });
    }
    CHECK(cluster.Node("a-1").Suspects().Crashes(kGuilty, cluster.Now()) == 2);
  }

  SUBCASE("its count outlives the daemon that holds it")
  {
    REQUIRE(RequestRun(cluster, "b-1", kGuilty));
    Crash(cluster, "b-1", "e2/1", { { kGuilty, true } });
    const auto owner = cluster.Node("a-1").Members().Rings().Owner(kGuilty);
    cluster.Kill(owner);
    cluster.RunFor(seconds(20));
    const auto other = cluster.UpNames().front();
    REQUIRE(RequestRun(cluster, other, kGuilty));
    Crash(cluster, other, "e3/1", { { kGuilty, true } });
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Refuse));
  }

  SUBCASE("a daemon that starts later knows the suspects")
  {
    cluster.Kill("c-2");
    cluster.RunFor(seconds(1));
    cluster.Start("c-2");
    cluster.RunFor(seconds(3));
    CHECK(AllAdmit(cluster, kGuilty, SuspectVerdict::Alone));
  }

  SUBCASE("a waiting request is refused when the limit is reached")
  {
    REQUIRE(RequestRun(cluster, "b-1", kGuilty));
    cluster.Deliver("c-1", [&](ClusterNode& aNode) {
      return aNode.RequestRun(kGuilty, cluster.Now());
    });
    Crash(cluster, "b-1", "e2/1", { { kGuilty, true } });
    // The waiting daemon has its turn and is the third to crash.
    cluster.RunFor(seconds(3));
    REQUIRE_FALSE(cluster.At("c-1").mSuspects.mGranted.empty());
    cluster.Deliver("a-2", [&](ClusterNode& aNode) {
      return aNode.RequestRun(kGuilty, cluster.Now());
    });
    Crash(cluster, "c-1", "e3/1", { { kGuilty, true } });
    cluster.RunFor(seconds(3));
    CHECK(cluster.At("a-2").mSuspects.mRefused ==
          std::vector<std::string>{ kGuilty });
  }
}

} // namespace bulrushfold
