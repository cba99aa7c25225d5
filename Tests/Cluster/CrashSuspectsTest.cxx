#include "Cluster/CrashSuspects.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "ClusterFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::minutes;
using std::chrono::seconds;

const std::string kCrashingDigest = "guilty";
const std::string kHarmlessDigest = "innocent";

bool
AllAdmit(ClusterFixture& aCluster,
         const std::string& aDigest,
         SuspectVerdict aVerdict)
{
  const auto names = aCluster.RunningNames();
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

/** Requests a run alone and waits up to 4 s; returns true when it was
 * granted. */
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
  Crash(cluster,
        "a-1",
        "e1/1",
        { { kCrashingDigest, false }, { kHarmlessDigest, false } });

  SUBCASE("is a suspect at every daemon after one crash")
  {
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Alone));
    CHECK(AllAdmit(cluster, "other", SuspectVerdict::Ordinary));
  }

  // Guards against one request that crashes one endpoint after another.
  SUBCASE("is refused at every daemon after the limit, wherever it ran")
  {
    REQUIRE(RequestRun(cluster, "b-1", kCrashingDigest));
    Crash(cluster, "b-1", "e2/1", { { kCrashingDigest, true } });
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Alone));
    REQUIRE(RequestRun(cluster, "c-2", kCrashingDigest));
    Crash(cluster, "c-2", "e3/1", { { kCrashingDigest, true } });
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Refuse));
    CHECK(cluster.Node("a-2").Suspects().Crashes(kCrashingDigest,
                                                 cluster.Now()) == 3);
    cluster.RunFor(minutes(61));
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Ordinary));
  }

  // Guards against the refusal of a request that only shared batches with the
  // crashing one.
  SUBCASE("does not block a harmless request that shared its batches")
  {
    Crash(cluster,
          "b-1",
          "e2/1",
          { { kCrashingDigest, false }, { kHarmlessDigest, false } });
    Crash(cluster,
          "b-2",
          "e3/1",
          { { kCrashingDigest, false }, { kHarmlessDigest, false } });
    Crash(cluster,
          "c-1",
          "e4/1",
          { { kCrashingDigest, false }, { kHarmlessDigest, false } });
    CHECK(AllAdmit(cluster, kHarmlessDigest, SuspectVerdict::Alone));
    REQUIRE(RequestRun(cluster, "c-2", kHarmlessDigest));
    Succeed(cluster, "c-2", kHarmlessDigest);
    CHECK(AllAdmit(cluster, kHarmlessDigest, SuspectVerdict::Ordinary));
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Alone));
  }

  SUBCASE("runs on one endpoint at a time")
  {
    REQUIRE(RequestRun(cluster, "b-1", kCrashingDigest));
    CHECK_FALSE(RequestRun(cluster, "c-1", kCrashingDigest));
    cluster.Deliver("b-1", [&](ClusterNode& aNode) {
      return aNode.OnRunEnded(kCrashingDigest, cluster.Now());
    });
    CHECK(cluster.RunUntil(
      [&] { return !cluster.At("c-1").mSuspects.mGranted.empty(); },
      seconds(5)));
  }

  SUBCASE("is counted once for a crash that several daemons report")
  {
    for (const auto& it : SixNames()) {
      Crash(cluster, it, "e2/1", { { kCrashingDigest, false } });
    }
    CHECK(cluster.Node("a-1").Suspects().Crashes(kCrashingDigest,
                                                 cluster.Now()) == 2);
  }

  SUBCASE("keeps its count when the owner of the digest dies")
  {
    REQUIRE(RequestRun(cluster, "b-1", kCrashingDigest));
    Crash(cluster, "b-1", "e2/1", { { kCrashingDigest, true } });
    const auto owner =
      cluster.Node("a-1").Members().Rings().Owner(kCrashingDigest);
    cluster.Kill(owner);
    cluster.RunFor(seconds(20));
    const auto other = cluster.RunningNames().front();
    REQUIRE(RequestRun(cluster, other, kCrashingDigest));
    Crash(cluster, other, "e3/1", { { kCrashingDigest, true } });
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Refuse));
  }

  SUBCASE("is a suspect at a daemon that starts later")
  {
    cluster.Kill("c-2");
    cluster.RunFor(seconds(1));
    cluster.Start("c-2");
    cluster.RunFor(seconds(3));
    CHECK(AllAdmit(cluster, kCrashingDigest, SuspectVerdict::Alone));
  }

  SUBCASE("is refused while it waits when the limit is reached")
  {
    REQUIRE(RequestRun(cluster, "b-1", kCrashingDigest));
    cluster.Deliver("c-1", [&](ClusterNode& aNode) {
      return aNode.RequestRun(kCrashingDigest, cluster.Now());
    });
    Crash(cluster, "b-1", "e2/1", { { kCrashingDigest, true } });
    // The waiting daemon is granted the next run and reports the third crash.
    cluster.RunFor(seconds(3));
    REQUIRE_FALSE(cluster.At("c-1").mSuspects.mGranted.empty());
    cluster.Deliver("a-2", [&](ClusterNode& aNode) {
      return aNode.RequestRun(kCrashingDigest, cluster.Now());
    });
    Crash(cluster, "c-1", "e3/1", { { kCrashingDigest, true } });
    cluster.RunFor(seconds(3));
    CHECK(cluster.At("a-2").mSuspects.mRefused ==
          std::vector<std::string>{ kCrashingDigest });
  }
}

} // namespace bulrushfold
