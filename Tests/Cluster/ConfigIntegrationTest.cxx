#include <algorithm>

#include <doctest/doctest.h>

#include "ClusterFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kInForceLimit = seconds(3);

std::uint64_t
StoreVersion(ClusterFixture& aCluster, const std::string& aKey)
{
  return aCluster.mStore.Objects().at(aKey).mVersion;
}

/** Proposes preset aName at aDaemon and runs until it is accepted. */
std::uint64_t
Accept(ClusterFixture& aCluster,
       const std::string& aDaemon,
       const std::string& aName)
{
  const auto version = aCluster.Version(aDaemon, kPresetsKey);
  const auto id = aCluster.PutInForce(aDaemon, aName, version);
  REQUIRE(aCluster.RunUntil(
    [&] { return aCluster.StateOf(aDaemon, id) == ChangeState::Accepted; },
    seconds(2)));
  return aCluster.At(aDaemon).mChanges.at(id).mVersion;
}
} // namespace

TEST_CASE("Configuration changes")
{
  ClusterFixture cluster(1, SixNames());
  cluster.StartAll();
  const auto first = cluster.Version("a-1", kPresetsKey);
  REQUIRE(cluster.AllHave(kPresetsKey, first));

  SUBCASE("an accepted preset is in force at every daemon")
  {
    const auto version = Accept(cluster, "a-1", "night");
    CHECK(cluster.RunUntil(
      [&] { return cluster.AllHave(kPresetsKey, version); }, kInForceLimit));
    for (const auto& it : cluster.RunningNames()) {
      CHECK(cluster.At(it).mConfig.Presets().mInForce == "night");
    }
  }

  // Guards against a daemon that receives the drain of an endpoint too late
  // (I6).
  SUBCASE("a drain is in force within 3 s despite a store outage and loss")
  {
    cluster.mLoss = 0.05;
    const std::string key = "config/endpoints/a";
    const auto expected = cluster.Version("b-1", key);
    const auto id =
      cluster.Propose("b-1", key, EndpointsBody("draining"), expected);
    REQUIRE(cluster.RunUntil(
      [&] { return cluster.StateOf("b-1", id) == ChangeState::Accepted; },
      seconds(2)));
    cluster.mStore.mIsUp = false;
    const auto version = cluster.At("b-1").mChanges.at(id).mVersion;
    CHECK(cluster.RunUntil([&] { return cluster.AllHave(key, version); },
                           kInForceLimit));
    for (const auto& it : cluster.RunningNames()) {
      CHECK(cluster.At(it).mConfig.Endpoints().at("e1").mState ==
            EndpointState::Draining);
    }
  }

  // Guards against two operators who both receive "accepted" for changes of the
  // same version.
  SUBCASE("of two concurrent changes one is accepted, the other is a conflict")
  {
    const auto left = cluster.PutInForce("a-1", "night", first);
    const auto right = cluster.PutInForce("c-2", "storm", first);
    cluster.RunFor(seconds(3));
    CHECK(cluster.StateOf("a-1", left) == ChangeState::Accepted);
    const auto& rejected = cluster.At("c-2").mChanges.at(right);
    CHECK(rejected.mState == ChangeState::Conflict);
    CHECK(rejected.mVersion == StoreVersion(cluster, "config/presets"));
    CHECK(cluster.AllHave(kPresetsKey, rejected.mVersion));
  }

  SUBCASE("an invalid change is rejected with its problems and not written")
  {
    const auto id =
      cluster.Propose("a-1", "config/presets", R"({"in_force":"x"})", first);
    const auto& status = cluster.At("a-1").mChanges.at(id);
    CHECK(status.mState == ChangeState::Invalid);
    CHECK(status.mDetail.find("/presets") != std::string::npos);
    CHECK(StoreVersion(cluster, "config/presets") == first);
  }

  SUBCASE("with the store down a change is refused and nothing changes")
  {
    cluster.mStore.mIsUp = false;
    const auto id = cluster.PutInForce("a-1", "night", first);
    cluster.RunFor(seconds(3));
    CHECK(cluster.StateOf("a-1", id) == ChangeState::Refused);
    CHECK(cluster.AllHave(kPresetsKey, first));
  }

  // Guards against the answer "refused" for a change that the store has
  // applied.
  SUBCASE("a lost store reply is resolved by reading the object back")
  {
    cluster.mStore.mLosesReplies = true;
    const auto id = cluster.PutInForce("a-1", "night", first);
    cluster.RunFor(milliseconds(3));
    CHECK(cluster.StateOf("a-1", id) == ChangeState::Unknown);
    CHECK(cluster.RunUntil(
      [&] { return cluster.StateOf("a-1", id) == ChangeState::Accepted; },
      seconds(3)));
  }

  // Guards against "accepted" when the object that is read back was written by
  // another operator.
  SUBCASE("a lost reply is a conflict if another change was written first")
  {
    cluster.PutInForce("c-2", "storm", first);
    cluster.mStore.mLosesReplies = true;
    const auto id = cluster.PutInForce("a-1", "night", first);
    cluster.RunFor(seconds(3));
    CHECK(cluster.StateOf("a-1", id) == ChangeState::Conflict);
    CHECK(cluster.At("a-1").mConfig.Presets().mInForce == "storm");
  }

  // Guards against the answer "conflict" for a change that took effect and was
  // replaced by a later change.
  SUBCASE("a lost reply is resolved although a later change followed")
  {
    cluster.mStore.mLosesReplies = true;
    const auto id = cluster.PutInForce("a-1", "night", first);
    const auto version = StoreVersion(cluster, "config/presets");
    cluster.mStore.mLosesReplies = false;
    const auto later = cluster.PutInForce("c-2", "storm", version);
    cluster.RunFor(seconds(3));
    CHECK(cluster.StateOf("c-2", later) == ChangeState::Accepted);
    const auto& status = cluster.At("a-1").mChanges.at(id);
    CHECK(status.mState == ChangeState::Accepted);
    CHECK(status.mVersion == version);
    CHECK(cluster.At("a-1").mConfig.Presets().mInForce == "storm");
  }

  // Guards against a final answer without evidence: a writer that does not
  // maintain "recent_changes" replaced the object.
  SUBCASE("a lost reply without evidence in the object is undecided")
  {
    cluster.mStore.mLosesReplies = true;
    const auto id = cluster.PutInForce("a-1", "night", first);
    cluster.mStore.mLosesReplies = false;
    const auto version = StoreVersion(cluster, "config/presets");
    REQUIRE(
      cluster.mStore.Put("config/presets", PresetsBody("day"), version).ok());
    cluster.RunFor(seconds(3));
    CHECK(cluster.StateOf("a-1", id) == ChangeState::Undecided);
  }

  SUBCASE("the coverage lists the daemons where the change is not in force")
  {
    cluster.Kill("c-2");
    const auto version = cluster.Version("a-1", kPresetsKey);
    const auto id = cluster.PutInForce("a-1", "night", version);
    cluster.RunFor(seconds(2));
    const auto* early = cluster.Node("a-1").Coverage().Find(id);
    REQUIRE(early != nullptr);
    CHECK(early->mMissing == std::vector<std::string>{ "c-2" });
    CHECK(early->mInForce == 5);
    CHECK_FALSE(early->mIsFinal);
    cluster.RunFor(seconds(20));
    const auto* late = cluster.Node("a-1").Coverage().Find(id);
    CHECK(late->mIsFinal);
    CHECK(late->mMissing.empty());
    CHECK(late->mUnreachable == std::vector<std::string>{ "c-2" });
  }

  // Guards against an accepted change of which only the writing daemon has a
  // copy.
  SUBCASE("a change is not accepted before two other domains have a copy")
  {
    cluster.mPartitionedDomains = { "a" };
    const auto id = cluster.PutInForce("a-1", "night", first);
    cluster.RunFor(seconds(1));
    CHECK(cluster.StateOf("a-1", id) == ChangeState::Copying);
    cluster.mPartitionedDomains.clear();
    CHECK(cluster.RunUntil(
      [&] { return cluster.StateOf("a-1", id) == ChangeState::Accepted; },
      seconds(2)));
  }
}

TEST_CASE("Store outage directly after a change was accepted")
{
  ClusterFixture cluster(2, SixNames());
  cluster.StartAll();
  const auto version = Accept(cluster, "b-2", "night");
  cluster.mStore.mIsUp = false;

  SUBCASE("the change is in force at all daemons")
  {
    CHECK(cluster.RunUntil(
      [&] { return cluster.AllHave(kPresetsKey, version); }, kInForceLimit));
  }

  // Guards against an accepted change that is lost when the writing daemon
  // dies.
  SUBCASE("the change is in force although the accepting daemon died")
  {
    cluster.Kill("b-2");
    CHECK(cluster.RunUntil(
      [&] { return cluster.AllHave(kPresetsKey, version); }, kInForceLimit));
  }

  // Guards against a new daemon that accepts work with an outdated
  // configuration.
  SUBCASE("a daemon that starts then adopts the change from its peers")
  {
    cluster.Kill("c-1");
    cluster.RunFor(seconds(1));
    cluster.Start("c-1");
    CHECK(cluster.RunUntil([&] { return cluster.Node("c-1").IsReady(); },
                           seconds(10)));
    CHECK(cluster.Version("c-1", kPresetsKey) == version);
  }

  SUBCASE("a daemon paused for minutes is not ready with old versions")
  {
    cluster.Pause("c-1", minutes(5));
    const auto next = cluster.Version("a-1", kPresetsKey);
    cluster.mStore.mIsUp = true;
    cluster.RunFor(seconds(30));
    const auto later = Accept(cluster, "a-1", "storm");
    CHECK(later > next);
    cluster.mStore.mIsUp = false;
    cluster.RunFor(minutes(5) - seconds(31));
    auto& node = cluster.Node("c-1");
    CHECK(cluster.RunUntil([&] { return !node.IsReady(); }, seconds(5)));
    CHECK(cluster.RunUntil([&] { return node.IsReady(); }, seconds(10)));
    CHECK(cluster.Version("c-1", kPresetsKey) == later);
  }
}

TEST_CASE("Restart or pause of all daemons at once")
{
  ClusterFixture cluster(3, SixNames());
  cluster.StartAll();
  const auto version = Accept(cluster, "b-2", "night");
  cluster.RunFor(seconds(1));
  const auto restart = [&] {
    for (const auto& it : SixNames()) {
      cluster.Kill(it);
      cluster.Start(it);
    }
  };
  const auto areReady = [&] {
    const auto names = cluster.RunningNames();
    return std::all_of(names.begin(), names.end(), [&](const auto& aName) {
      return cluster.Node(aName).IsReady();
    });
  };

  SUBCASE("with the store available they are ready with the accepted preset")
  {
    restart();
    CHECK(cluster.RunUntil(areReady, seconds(10)));
    CHECK(cluster.AllHave(kPresetsKey, version));
  }

  // Guards against newly started daemons that confirm each other's missing
  // versions.
  SUBCASE("during a store outage none is ready until the store recovers")
  {
    cluster.mStore.mIsUp = false;
    restart();
    cluster.RunFor(minutes(2));
    for (const auto& it : cluster.RunningNames()) {
      CHECK_FALSE(cluster.Node(it).IsReady());
    }
    cluster.mStore.mIsUp = true;
    CHECK(cluster.RunUntil(areReady, seconds(30)));
    CHECK(cluster.AllHave(kPresetsKey, version));
  }

  // Guards against daemons that need the store to become ready again after all
  // of them were paused.
  SUBCASE("paused daemons become ready during a store outage")
  {
    cluster.mStore.mIsUp = false;
    for (const auto& it : SixNames()) {
      cluster.Pause(it, minutes(1));
    }
    cluster.RunFor(minutes(1) + seconds(1));
    for (const auto& it : SixNames()) {
      CHECK_FALSE(cluster.Node(it).IsReady());
    }
    CHECK(cluster.RunUntil(areReady, seconds(20)));
    CHECK(cluster.AllHave(kPresetsKey, version));
  }
}

TEST_CASE("Watches of the store")
{
  ClusterFixture cluster(4,
                         { "a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3" });
  cluster.StartAll();
  const auto count = [&] {
    const auto names = cluster.RunningNames();
    return std::count_if(names.begin(), names.end(), [&](const auto& aName) {
      return cluster.At(aName).mIsWatching;
    });
  };

  SUBCASE("two daemons of each failure domain watch the store")
  {
    CHECK(count() == 4);
  }

  SUBCASE("another daemon replaces a watcher that died")
  {
    const auto names = cluster.RunningNames();
    const auto watcher =
      std::find_if(names.begin(), names.end(), [&](const auto& aName) {
        return cluster.At(aName).mIsWatching;
      });
    cluster.Kill(*watcher);
    cluster.RunFor(seconds(20));
    CHECK(count() == 4);
  }

  // Guards against missing a change that was made while no watch was connected.
  SUBCASE("objects are listed again after an outage with an expired revision")
  {
    cluster.mStore.mIsUp = false;
    cluster.RunFor(seconds(5));
    CHECK(count() == 0);
    cluster.mStore.mIsUp = true;
    const auto version = cluster.Version("a-1", kPresetsKey);
    const auto written =
      cluster.mStore.Put("config/presets", PresetsBody("storm"), version);
    REQUIRE(written.ok());
    cluster.mStore.mOldestRevision = *written;
    cluster.RunFor(seconds(20));
    CHECK(count() == 4);
    CHECK(cluster.AllHave(kPresetsKey, *written));
  }
}

} // namespace bulrushfold
