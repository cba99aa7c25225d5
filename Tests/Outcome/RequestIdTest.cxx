#include "Outcome/RequestId.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Base/Identifiers.h"

namespace bulrushfold {

namespace {
std::vector<ReplicaCandidate>
MakeLive(int aCount)
{
  const char* domains[] = { "suva", "nadi", "lautoka" };
  std::vector<ReplicaCandidate> live;
  live.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    live.push_back({ "d" + std::to_string(i), domains[i % 3] });
  }
  return live;
}
} // namespace

TEST_CASE("Request ids")
{
  Random random(3);
  const WallTime time{ std::chrono::milliseconds(1767225600123) };

  SUBCASE("are UUIDv7 that carry time and tag of the daemon")
  {
    const std::string id = MakeRequestId(time, random, "d1");
    CHECK(UuidV7Time(id) == time);
    CHECK(TagOfRequestId(id) == DaemonTag("d1"));
    CHECK(id != MakeRequestId(time, random, "d1"));
    CHECK(TraceIdOf(id).size() == 32);
  }

  SUBCASE("other texts have no tag")
  {
    CHECK_FALSE(TagOfRequestId(""));
    CHECK_FALSE(TagOfRequestId("f47ac10b-58cc-4372-a567-0e02b2c3d479"));
    CHECK(SelectReplicaCandidates("x", MakeLive(6)).empty());
    CHECK(rc::check([](const std::string& aText) {
      RC_ASSERT(!TagOfRequestId(aText).has_value());
    }));
  }
}

TEST_CASE("Holders of outcome records")
{
  SUBCASE("are two daemons of other failure domains")
  {
    const auto live = MakeLive(6);
    for (const auto& owner : live) {
      const auto replicas =
        SelectReplicas(owner.mDaemon, owner.mFailureDomain, live);
      REQUIRE(replicas.size() == 2);
      CHECK(replicas[0] != replicas[1]);
      for (const auto& replica : replicas) {
        const auto it =
          std::find_if(live.begin(), live.end(), [&](const auto& aIt) {
            return aIt.mDaemon == replica;
          });
        CHECK(it->mFailureDomain != owner.mFailureDomain);
      }
    }
  }

  SUBCASE("are all others when there are few")
  {
    CHECK(SelectReplicas("d0", "suva", MakeLive(1)).empty());
    CHECK(SelectReplicas("d0", "suva", MakeLive(2)).size() == 1);
    CHECK(SelectReplicas("a", "x", { { "a", "x" }, { "b", "x" } }).size() == 1);
  }

  // Guards against a record that exists but is not found after its daemon
  // died.
  SUBCASE("are among the daemons that are asked first")
  {
    CHECK(rc::check([] {
      Random random(*rc::gen::arbitrary<std::uint64_t>());
      auto live = MakeLive(*rc::gen::inRange(2, 60));
      const auto owner = live[*rc::gen::inRange<std::size_t>(0, live.size())];
      const std::string id = MakeRequestId(WallTime(), random, owner.mDaemon);
      const auto replicas =
        SelectReplicas(owner.mDaemon, owner.mFailureDomain, live);
      const bool isDead = *rc::gen::arbitrary<bool>();
      if (isDead) {
        live.erase(std::find_if(live.begin(), live.end(), [&](const auto& aIt) {
          return aIt.mDaemon == owner.mDaemon;
        }));
      }
      const auto asked = SelectReplicaCandidates(id, live);
      const std::set<std::string> names(asked.begin(), asked.end());
      RC_ASSERT(names.size() == asked.size());
      const bool isAsked = isDead || names.count(owner.mDaemon) == 1;
      RC_ASSERT(isAsked);
      for (const auto& it : replicas) {
        RC_ASSERT(names.count(it) == 1);
      }
    }));
  }
}

} // namespace bulrushfold
