#include "Cluster/FailureDetector.h"

#include <optional>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kObserver = "d-0";

/** Returns a table of the six live daemons d-0 to d-5. */
MemberTable
SixMembers(Instant aNow)
{
  MemberTable table;
  MemberChanges changes;
  for (int i = 0; i < 6; ++i) {
    const std::string name = absl::StrCat("d-", i);
    table.Insert(
      { name, "a", {}, "" }, wire::MemberState::ALIVE, aNow, changes);
    table.Set(name, 1, wire::MemberState::ALIVE, aNow, changes);
  }
  return table;
}

void
AddObserver(MemberTable& aTable,
            const std::string& aSuspect,
            const std::string& aObserver,
            Instant aNow)
{
  wire::MemberRecord record;
  record.name = aSuspect;
  record.generation = 1;
  record.state = wire::MemberState::SUSPECT;
  record.__set_observer(aObserver);
  MemberChanges changes;
  aTable.Merge(record, aNow, changes);
}

/** Checks every 500 ms until aUntil; returns the time at which aName was
 * declared dead. */
std::optional<Instant>
TimeOfDeath(FailureDetector& aDetector,
            const MemberTable& aTable,
            const std::string& aName,
            Instant& aNow,
            Instant aUntil)
{
  for (; aNow <= aUntil; aNow += milliseconds(500)) {
    const auto findings = aDetector.Check(aTable, kObserver, aNow);
    for (const auto& it : findings.mDead) {
      if (it == aName) {
        return aNow;
      }
    }
  }
  return std::nullopt;
}
} // namespace

TEST_CASE("The refutation time of a suspected daemon")
{
  const Instant start = Instant() + seconds(100);
  MemberTable table = SixMembers(start);
  FailureDetector detector{ MembershipTiming() };
  Instant now = start;
  const std::string name = table.Rings().Predecessors(kObserver).front();

  SUBCASE("is three times as long for a single observer")
  {
    const auto death =
      TimeOfDeath(detector, table, name, now, start + seconds(20));
    REQUIRE(death);
    CHECK(*death - start >= seconds(8));
    CHECK(*death - start <= seconds(9));
  }

  SUBCASE("is short when two observers suspect it at once")
  {
    CHECK_FALSE(
      TimeOfDeath(detector, table, name, now, start + milliseconds(2500)));
    AddObserver(table, name, kObserver, now);
    AddObserver(table, name, "d-9", now);
    const auto death =
      TimeOfDeath(detector, table, name, now, start + seconds(20));
    REQUIRE(death);
    CHECK(*death - start <= milliseconds(5500));
  }

  // Guards against a refutation time that is too short: an observer that
  // suspected early because of lost messages must not count its own suspicion
  // as the time that both observers have waited.
  SUBCASE("restarts when a second observer confirms the suspicion")
  {
    CHECK_FALSE(TimeOfDeath(detector, table, name, now, start + seconds(5)));
    AddObserver(table, name, kObserver, now);
    AddObserver(table, name, "d-9", now);
    const Instant confirmed = now;
    const auto death =
      TimeOfDeath(detector, table, name, now, start + seconds(20));
    REQUIRE(death);
    CHECK(*death - confirmed >= MembershipTiming().mSuspectAfter);
  }

  SUBCASE("ends when a heartbeat of the daemon arrives")
  {
    CHECK_FALSE(TimeOfDeath(detector, table, name, now, start + seconds(5)));
    detector.OnHeartbeat(name, now);
    CHECK_FALSE(TimeOfDeath(detector, table, name, now, now + seconds(2)));
  }
}

} // namespace bulrushfold
