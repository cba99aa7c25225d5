#include "Routing/RestoredEntries.h"

#include <string>

#include <doctest/doctest.h>

#include "Platform/StoreRevision.h"

namespace bulrushfold {

namespace {
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kRewriteTime = seconds(5);

EndpointRecord
MakeRecord(const std::string& aId,
           bool aIsDraining = false,
           std::int64_t aIncarnation = 1)
{
  EndpointRecord record;
  record.mId = aId;
  record.mIsDraining = aIsDraining;
  record.mIncarnation = aIncarnation;
  return record;
}
} // namespace

// Guards against requests to an endpoint that drains or has left, because the
// registry came back from a copy that still shows it as ready.
TEST_CASE("Entries of a registry that came back from a copy")
{
  ManualClock clock;
  RestoredEntries entries(kRewriteTime);
  const auto read = [&](const EndpointRecord& aRecord,
                        const StoreRevision& aRevision) {
    return entries.OnEntry(aRecord, ToVersion(aRevision), clock.Now());
  };
  REQUIRE(read(MakeRecord("a"), { 1, 10 }));
  REQUIRE(read(MakeRecord("a", true), { 1, 20 }));
  REQUIRE(read(MakeRecord("b"), { 1, 11 }));
  entries.OnRemoved("b", ToVersion({ 1, 21 }), clock.Now());
  REQUIRE(read(MakeRecord("c"), { 1, 12 }));

  SUBCASE("take effect if they are as new as what is known")
  {
    CHECK(read(MakeRecord("c"), { 2, 12 }));
    CHECK_FALSE(entries.NextDue());
  }
  SUBCASE("are held back if what is known is newer")
  {
    CHECK_FALSE(read(MakeRecord("a"), { 2, 10 }));
    CHECK_FALSE(read(MakeRecord("b"), { 2, 11 }));
    CHECK_FALSE(read(MakeRecord("b"), { 2, 11 }));
    CHECK(entries.NextDue() == clock.Now() + kRewriteTime);
    CHECK(entries.TakeDue(clock.Now()).empty());

    SUBCASE("until they are written again")
    {
      CHECK(read(MakeRecord("a"), { 2, 13 }));
      CHECK(read(MakeRecord("b"), { 2, 14 }));
      CHECK_FALSE(entries.NextDue());
    }
    SUBCASE("until they are removed")
    {
      entries.OnRemoved("b", ToVersion({ 2, 13 }), clock.Now());
      entries.OnListed({ "c" }, ToVersion({ 2, 14 }), clock.Now());
      CHECK_FALSE(entries.NextDue());
    }
    SUBCASE("and for a limited time")
    {
      clock.Advance(kRewriteTime);
      const auto due = entries.TakeDue(clock.Now());
      REQUIRE(due.size() == 2);
      CHECK(due[0].mRecord.mId == "a");
      CHECK_FALSE(due[0].mRecord.mIsDraining);
      CHECK(due[1].mVersion == ToVersion({ 2, 11 }));
      CHECK_FALSE(entries.NextDue());
    }
    SUBCASE("also over a second return")
    {
      CHECK_FALSE(read(MakeRecord("a"), { 3, 10 }));
      CHECK_FALSE(read(MakeRecord("b"), { 3, 11 }));
      clock.Advance(kRewriteTime);
      CHECK(entries.TakeDue(clock.Now()).size() == 2);
    }
  }
  SUBCASE("take effect at once if the endpoint drains")
  {
    CHECK(read(MakeRecord("c", true), { 2, 5 }));
  }
  SUBCASE("take effect at once if they name a later process")
  {
    CHECK(read(MakeRecord("a", false, 2), { 2, 13 }));
    CHECK(read(MakeRecord("b", false, 2), { 2, 14 }));
  }
  SUBCASE("take effect if the endpoint is not known")
  {
    CHECK(read(MakeRecord("d"), { 2, 3 }));
  }
  SUBCASE("are not compared with the removed ones of long ago")
  {
    clock.Advance(minutes(2));
    entries.OnRemoved("c", ToVersion({ 1, 30 }), clock.Now());
    CHECK(entries.Size() == 2);
    CHECK(read(MakeRecord("b"), { 2, 11 }));
  }
}

} // namespace bulrushfold
