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

  SUBCASE("are UUIDv7 with the time and the tag of the daemon")
  {
    const std::string id = MakeRequestId(time, random, "d1");
    CHECK(UuidV7Time(id) == time);
    CHECK(TagOfRequestId(id) == DaemonTag("d1"));
    CHECK(id != MakeRequestId(time, random, "d1"));
    CHECK(TraceIdOf(id).size() == 32);
  }

  SUBCASE("have a tag, unlike other text")
  {
    CHECK_FALSE(TagOfRequestId(""));
    CHECK_FALSE(TagOfRequestId("f47ac10b-58cc-4372-a567-0e02b2c3d479"));
    CHECK(SelectReplicaCandidates("x", MakeLive(6)).empty());
    CHECK(rc::check([](const std::string& aText) {
      RC_ASSERT(!TagOfRequestId(aText).has_value());
    }));
  }
}

TEST_CASE("Replicas of outcome records")
{
  SUBCASE("are two daemons of other failure domains")
  {
    const auto live = MakeLive(6);
    for (const auto& entryDaemon : live) {
      const auto replicas =
        SelectReplicas(entryDaemon.mDaemon, entryDaemon.mFailureDomain, live);
      REQUIRE(replicas.size() == 2);
      CHECK(replicas[0] != replicas[1]);
      for (const auto& replica : replicas) {
        const auto it =
          std::find_if(live.begin(), live.end(), [&](const auto& aIt) {
            return aIt.mDaemon == replica;
          });
        CHECK(it->mFailureDomain != entryDaemon.mFailureDomain);
      }
    }
  }

  SUBCASE("are all other daemons when there are few")
  {
    CHECK(SelectReplicas("d0", "suva", MakeLive(1)).empty());
    CHECK(SelectReplicas("d0", "suva", MakeLive(2)).size() == 1);
    CHECK(SelectReplicas("a", "x", { { "a", "x" }, { "b", "x" } }).size() == 1);
  }

  // Guards against a record that is not found after its entry daemon died,
  // although a replica has a copy.
  SUBCASE("are among the daemons that are queried first")
  {
    CHECK(rc::check([] {
      Random random(*rc::gen::arbitrary<std::uint64_t>());
      auto live = MakeLive(*rc::gen::inRange(2, 60));
      const auto entryDaemon =
        live[*rc::gen::inRange<std::size_t>(0, live.size())];
      const std::string id =
        MakeRequestId(WallTime(), random, entryDaemon.mDaemon);
      const auto replicas =
        SelectReplicas(entryDaemon.mDaemon, entryDaemon.mFailureDomain, live);
      const bool isDead = *rc::gen::arbitrary<bool>();
      if (isDead) {
        live.erase(std::find_if(live.begin(), live.end(), [&](const auto& aIt) {
          return aIt.mDaemon == entryDaemon.mDaemon;
        }));
      }
      const auto candidates = SelectReplicaCandidates(id, live);
      const std::set<std::string> names(candidates.begin(), candidates.end());
      RC_ASSERT(names.size() == candidates.size());
      const bool isEntryDaemonQueried =
        isDead || names.count(entryDaemon.mDaemon) == 1;
      RC_ASSERT(isEntryDaemonQueried);
      for (const auto& it : replicas) {
        RC_ASSERT(names.count(it) == 1);
      }
    }));
  }
}

} // namespace bulrushfold
