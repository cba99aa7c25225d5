#include "Routing/StreamOrigins.h"

#include <string>

#include <doctest/doctest.h>

#include "Routing/SoftwareHistory.h"
#include "Routing/StreamVersion.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(14);
const Instant kStart{ seconds(1000) };

StreamOrigin
MakeOrigin(std::uint64_t aStream, const std::string& aSoftware = "v1")
{
  return { aStream, "s", aSoftware, kStart + kWindow };
}

EndpointRecord
MakeEngine(const std::string& aId,
           const std::string& aSoftware,
           std::int64_t aIncarnation = 0)
{
  EndpointRecord record;
  record.mId = aId;
  record.mService = "s";
  record.mSoftware = aSoftware;
  record.mIncarnation = aIncarnation;
  return record;
}
} // namespace

TEST_CASE("The origin of a stream")
{
  StreamOrigins origins;
  origins.OnBegun(MakeOrigin(1), false, kStart);

  SUBCASE("is kept until the caller gives up")
  {
    REQUIRE(origins.Find(1, kStart) != nullptr);
    CHECK(origins.Find(1, kStart)->mSoftware == "v1");
    CHECK(origins.Find(1, kStart + kWindow) == nullptr);
    CHECK(origins.Find(2, kStart) == nullptr);
  }
  SUBCASE("is told to others for a time")
  {
    CHECK(origins.Untold(kStart).size() == 1);
    CHECK(origins.Untold(kStart + seconds(2)).empty());
    SUBCASE("and again to a daemon that does not know it")
    {
      origins.TellAgain(kStart + seconds(2));
      CHECK(origins.Untold(kStart + seconds(2)).size() == 1);
    }
  }
  // Guards against the version of a replacement that was placed and dropped.
  SUBCASE("does not change once the caller has an event")
  {
    StreamOrigin begun = MakeOrigin(1);
    begun.mHasBegun = true;
    origins.OnBegun(begun, true, kStart);
    origins.Merge({ MakeOrigin(1, "v2") }, kStart);
    CHECK(origins.Find(1, kStart)->mSoftware == "v1");
    CHECK(origins.Find(1, kStart)->mHasBegun);
  }
  SUBCASE("of another daemon is not told on")
  {
    origins.Merge({ MakeOrigin(2) }, kStart);
    CHECK(origins.Find(2, kStart) != nullptr);
    CHECK(origins.Untold(kStart).size() == 1);
  }
  SUBCASE("is not told to others if the daemon that placed it knows it")
  {
    origins.OnBegun(MakeOrigin(3), true, kStart);
    CHECK(origins.Untold(kStart).size() == 1);
  }
  // Guards against messages that go back and forth without end, because each
  // states a time that is a little longer.
  SUBCASE("is no news when it is told again")
  {
    int changes = 0;
    origins.OnChange().connect([&] { ++changes; });
    StreamOrigin again = MakeOrigin(1);
    again.mUntil += milliseconds(20);
    origins.Merge({ again }, kStart);
    CHECK(changes == 0);
    origins.Merge({ MakeOrigin(1, "v2") }, kStart);
    CHECK(changes == 1);
  }
}

// Guards against memory that callers use up with attempts that they make up.
TEST_CASE("The number of origins is bounded, and the oldest go first")
{
  StreamOrigins origins;
  for (std::uint64_t i = 1; i <= StreamOrigins::kMaxOrigins + 10; ++i) {
    origins.Merge({ MakeOrigin(i) }, kStart + milliseconds(i / 10));
  }
  CHECK(origins.Size() == StreamOrigins::kMaxOrigins);
  CHECK(origins.Find(10, kStart) == nullptr);
  CHECK(origins.Find(11, kStart) != nullptr);
  CHECK(origins.KnownSince(kStart + milliseconds(1639), kStart).size() == 5);
  origins.Merge({ { StreamOrigins::kMaxOrigins + 11,
                    "s",
                    std::string(1000, 'v'),
                    kStart + kWindow } },
                kStart + seconds(2));
  CHECK(origins.Find(StreamOrigins::kMaxOrigins + 11, kStart) == nullptr);
}

TEST_CASE("One version alone may have begun a stream")
{
  const WallTime wall{ seconds(1'700'000'000) };
  SoftwareHistory history;
  const auto change =
    [&](const EndpointRecord& aEngine, EndpointChange aChange, Instant aNow) {
      history.OnChange(aEngine, aChange, aNow);
    };
  const auto sole = [&](Instant aNow) {
    return history.SoleVersion("s", kWindow, aNow, wall);
  };
  change(MakeEngine("a", "v1"), EndpointChange::Added, kStart);
  const Instant later = kStart + kWindow;

  SUBCASE("when all engines have it")
  {
    CHECK(sole(later) == "v1");
    CHECK_FALSE(history.SoleVersion("other", kWindow, later, wall));
  }
  SUBCASE("not while there is another")
  {
    change(MakeEngine("b", "v2"), EndpointChange::Added, later);
    CHECK_FALSE(sole(later));
    CHECK(history.IsMixed("s", kWindow, later));
    SUBCASE("nor until its streams are over")
    {
      change(MakeEngine("b", "v2"), EndpointChange::Removed, later);
      CHECK_FALSE(sole(later + kWindow));
      CHECK(sole(later + kWindow + milliseconds(1)) == "v1");
    }
  }
  SUBCASE("not when an engine has restarted with another")
  {
    change(MakeEngine("a", "v2"), EndpointChange::Restarted, later);
    CHECK_FALSE(sole(later));
    CHECK(sole(later + kWindow + milliseconds(1)) == "v2");
  }
  SUBCASE("not when the daemon may have missed an engine that left")
  {
    CHECK_FALSE(sole(kStart + seconds(1)));
    SUBCASE("but if all engines are older than any stream")
    {
      const std::int64_t old = 1'699'999'000'000;
      change(MakeEngine("a", "v1", old), EndpointChange::Returned, kStart);
      CHECK(sole(kStart + seconds(1)) == "v1");
      change(
        MakeEngine("b", "v1", old + 995'000), EndpointChange::Added, kStart);
      CHECK_FALSE(sole(kStart + seconds(1)));
    }
  }
}

TEST_CASE("The version of a resumed stream")
{
  VersionFacts facts;
  SUBCASE("is free when the caller has no event")
  {
    CHECK(DecideVersion(facts).mSource == VersionSource::NotBegun);
    CHECK_FALSE(DecideVersion(facts).mSoftware);
  }
  SUBCASE("is that of a record")
  {
    facts.mHasBegun = facts.mIsNamed = true;
    facts.mSole = "v1";
    CHECK(DecideVersion(facts).mSource == VersionSource::Sole);
    facts.mAnswered = "v2";
    CHECK(DecideVersion(facts).mSource == VersionSource::Asked);
    facts.mRecorded = "v3";
    CHECK(DecideVersion(facts).mSource == VersionSource::Known);
    CHECK(DecideVersion(facts).mSoftware == "v3");
  }
  SUBCASE("is asked for once, and unknown then")
  {
    facts.mHasBegun = true;
    CHECK(DecideVersion(facts).mSource == VersionSource::Unknown);
    facts.mIsNamed = true;
    CHECK(DecideVersion(facts).mSource == VersionSource::Unasked);
    facts.mWasAsked = true;
    CHECK(DecideVersion(facts).mSource == VersionSource::Unknown);
  }
}

} // namespace bulrushfold
