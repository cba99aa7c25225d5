#include "Cluster/HashRings.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
HashRings
MakeRings(int aMembers, int aDomains)
{
  HashRings rings;
  for (int i = 0; i < aMembers; ++i) {
    rings.Insert(absl::StrCat("n", i), absl::StrCat("d", i % aDomains));
  }
  return rings;
}

bool
Includes(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}
} // namespace

TEST_CASE("Rings of daemons")
{
  SUBCASE("a daemon observes exactly the daemons that send it heartbeats")
  {
    CHECK(rc::check([] {
      const int n = *rc::gen::inRange(1, 60);
      const HashRings rings = MakeRings(n, 3);
      for (const auto& left : rings.Names()) {
        for (const auto& right : rings.Names()) {
          RC_ASSERT(Includes(rings.Successors(left), right) ==
                    Includes(rings.Predecessors(right), left));
        }
      }
    }));
  }

  // Guards against a daemon that receives no updates.
  SUBCASE("updates of one daemon reach every other daemon")
  {
    const HashRings rings = MakeRings(200, 7);
    std::vector<std::string> reached{ "n0" };
    for (std::size_t i = 0; i < reached.size(); ++i) {
      for (const auto& it : rings.Successors(reached[i])) {
        if (!Includes(reached, it)) {
          reached.push_back(it);
        }
      }
    }
    CHECK(reached.size() == 200);
  }

  SUBCASE("the order of insertion and removal does not matter")
  {
    HashRings left = MakeRings(30, 3);
    HashRings right;
    for (int i = 39; i >= 0; --i) {
      right.Insert(absl::StrCat("n", i), absl::StrCat("d", i % 3));
    }
    for (int i = 30; i < 40; ++i) {
      right.Remove(absl::StrCat("n", i));
    }
    right.Remove("not a member");
    CHECK(left.Names() == right.Names());
    for (const auto& it : left.Names()) {
      CHECK(left.Successors(it) == right.Successors(it));
    }
    CHECK(left.Owner("key") == right.Owner("key"));
  }

  SUBCASE("without members no daemon is selected")
  {
    const HashRings rings;
    CHECK(rings.Owner("key").empty());
    CHECK(rings.Successors("n1").empty());
    CHECK(rings.Predecessors("n1").empty());
    CHECK(rings.SelectAcrossDomains("key", 2).empty());
  }
}

TEST_CASE("Rendezvous hashing")
{
  SUBCASE("only the keys of a removed daemon get another owner")
  {
    HashRings rings = MakeRings(20, 4);
    std::map<std::string, std::string> owners;
    for (int i = 0; i < 500; ++i) {
      const auto key = absl::StrCat("key", i);
      owners[key] = rings.Owner(key);
    }
    rings.Remove("n7");
    for (const auto& [key, owner] : owners) {
      CHECK((owner == "n7" || rings.Owner(key) == owner));
    }
  }

  SUBCASE("keys are distributed evenly")
  {
    const HashRings rings = MakeRings(10, 3);
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i) {
      ++counts[rings.Owner(absl::StrCat("key", i))];
    }
    for (const auto& it : rings.Names()) {
      CHECK(counts[it] > 800);
      CHECK(counts[it] < 1200);
    }
  }

  // Guards against copies that are lost together when one failure domain fails.
  SUBCASE("selection across domains uses each domain once, except the excluded")
  {
    CHECK(rc::check([](const std::string& aKey) {
      const int domains = *rc::gen::inRange(1, 6);
      const HashRings rings = MakeRings(30, domains);
      const auto selected = rings.SelectAcrossDomains(aKey, 2, "d0");
      RC_ASSERT(static_cast<int>(selected.size()) == std::min(2, domains - 1));
      std::set<std::string> found{ "d0" };
      for (const auto& it : selected) {
        RC_ASSERT(found.insert(rings.FailureDomainOf(it)).second);
      }
    }));
  }

  SUBCASE("selection within a failure domain returns its members")
  {
    const HashRings rings = MakeRings(30, 3);
    const auto selected = rings.SelectWithinDomain("key", 4, "d2");
    CHECK(selected.size() == 4);
    for (const auto& it : selected) {
      CHECK(rings.FailureDomainOf(it) == "d2");
    }
  }
}

} // namespace bulrushfold
