#include "Routing/OwnerSelector.h"

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<FleetMember>
MakeMembers(std::size_t aCount)
{
  std::vector<FleetMember> members;
  for (std::size_t i = 0; i < aCount; ++i) {
    members.push_back({ "front-" + std::to_string(i),
                        { "10.0.0.1", static_cast<std::uint16_t>(i + 1) },
                        i % 4 == 0 ? 0.5 : 0.12 });
  }
  return members;
}
} // namespace

// Guards against a small fleet that depends on one daemon.
TEST_CASE("A small fleet has no owner")
{
  OwnerSelector selector;
  selector.SetMembers(MakeMembers(OwnerSelector::kMinFleet - 1));
  CHECK_FALSE(selector.HasOwner());
  CHECK(selector.Choose(Instant(seconds(1))) == nullptr);
}

TEST_CASE("The daemons of a large fleet follow the same owner")
{
  const Instant now(seconds(100));
  OwnerSelector selector;
  auto members = MakeMembers(40);
  selector.SetMembers(members);
  REQUIRE(selector.HasOwner());
  const std::string owner = selector.Choose(now)->mName;
  CHECK(selector.Choose(now)->mCapacity == 0.5);
  // Guards against an order that depends on that of the registry.
  std::reverse(members.begin(), members.end());
  OwnerSelector other;
  other.SetMembers(members);
  CHECK(other.Choose(now)->mName == owner);

  SUBCASE("and the next one when it does not answer")
  {
    selector.OnFailed(owner, now);
    const std::string next = selector.Choose(now)->mName;
    CHECK(next != owner);
    CHECK(selector.FindReturning(next, now) == nullptr);
    // The first one may still know what it placed.
    const auto candidates = selector.FirstCandidates(2, now);
    REQUIRE(candidates.size() == 3);
    CHECK(candidates[0]->mName == owner);
    CHECK(candidates[1]->mName == next);
    SUBCASE("until it is tried again")
    {
      const Instant later = now + milliseconds(600);
      REQUIRE(selector.FindReturning(next, later) != nullptr);
      CHECK(selector.FindReturning(next, later)->mName == owner);
    }
    SUBCASE("for a longer time when it fails again")
    {
      selector.OnFailed(owner, now + milliseconds(600));
      CHECK(selector.FindReturning(next, now + milliseconds(1500)) == nullptr);
      CHECK(selector.FindReturning(next, now + milliseconds(1700)) != nullptr);
    }
    SUBCASE("and returns to it at once when it answered")
    {
      selector.OnAnswered(owner);
      CHECK(selector.Choose(now)->mName == owner);
    }
  }
  // Guards against requests that wait for a daemon that stops.
  SUBCASE("and the next one while it stops")
  {
    selector.OnStopping(owner, now);
    CHECK(selector.Choose(now + seconds(10))->mName != owner);
    CHECK(selector.Choose(now + seconds(13))->mName == owner);
  }
  // Guards against a daemon that tries one dead member after the other.
  SUBCASE("and places for itself when no candidate answers")
  {
    for (std::size_t i = 0; i < OwnerSelector::kCandidates; ++i) {
      selector.OnFailed(selector.Choose(now)->mName, now);
    }
    CHECK(selector.Choose(now) == nullptr);
  }
}

} // namespace bulrushfold
