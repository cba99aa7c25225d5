#include "Routing/ServiceReach.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

struct ReachFixture
{
  explicit ReachFixture(const std::vector<std::string>& aEndpoints)
  {
    for (const std::string& id : aEndpoints) {
      EndpointRecord record;
      record.mId = id;
      record.mService = "s";
      mDirectory.Put(record, 1, mNow);
    }
  }
  /** A send that took aTime ends. */
  void Result(const std::string& aEndpoint,
              SendResult aResult,
              Duration aTime = milliseconds(50))
  {
    mNow += milliseconds(100);
    mReach.OnResult("s", aEndpoint, aResult, mNow - aTime, mNow);
  }

  Instant mNow{ seconds(1000) };
  EndpointDirectory mDirectory{ seconds(2) };
  std::vector<ReachChange> mChanges;
  ServiceReach mReach{ mDirectory, [this](const ReachChange& aChange) {
                        mChanges.push_back(aChange);
                      } };
};
} // namespace

// Guards against an endpoint that ended and is taken for a lost path to the
// whole service, and against the reverse.
TEST_CASE("A service is unreachable when two endpoints give no answer")
{
  ReachFixture fixture({ "a", "b", "c" });
  fixture.Result("a", SendResult::Answered);
  fixture.Result("a", SendResult::ConnectFailed);
  fixture.Result("a", SendResult::Slow);
  CHECK(fixture.mReach.IsReachable("s"));

  SUBCASE("it stays reachable when another one answers between them")
  {
    fixture.Result("c", SendResult::Refused);
    fixture.Result("b", SendResult::TimedOut);
    CHECK(fixture.mReach.IsReachable("s"));
    CHECK(fixture.mChanges.empty());
  }
  SUBCASE("it is unreachable until one answers")
  {
    fixture.Result("b", SendResult::TimedOut);
    CHECK_FALSE(fixture.mReach.IsReachable("s"));
    CHECK(fixture.mReach.IsReachable("other"));
    fixture.Result("c", SendResult::Interrupted);
    REQUIRE(fixture.mChanges.size() == 1);
    CHECK(fixture.mChanges[0].mFailed == 2);
    CHECK(fixture.mChanges[0].mUsable == 3);
    CHECK(fixture.mChanges[0].mSpan == milliseconds(300));
    fixture.Result("c", SendResult::ServerError);
    CHECK(fixture.mReach.IsReachable("s"));
    REQUIRE(fixture.mChanges.size() == 2);
    CHECK(fixture.mChanges[1].mIsReachable);
    CHECK(fixture.mChanges[1].mSpan == milliseconds(200));
  }
}

// Guards against sends of a cut that end after it and seem a new one.
TEST_CASE("A send that began before the last answer shows no lost path")
{
  ReachFixture fixture({ "a", "b", "c" });
  fixture.Result("a", SendResult::Answered);
  fixture.Result("b", SendResult::TimedOut, milliseconds(300));
  fixture.Result("c", SendResult::TimedOut, milliseconds(300));
  CHECK(fixture.mReach.IsReachable("s"));
  fixture.Result("b", SendResult::TimedOut);
  fixture.Result("c", SendResult::TimedOut);
  CHECK_FALSE(fixture.mReach.IsReachable("s"));
}

TEST_CASE("A service with one endpoint is unreachable when that one fails")
{
  ReachFixture fixture({ "a" });
  fixture.Result("a", SendResult::ConnectFailed);
  CHECK_FALSE(fixture.mReach.IsReachable("s"));
  CHECK(fixture.mChanges[0].mSpan == Duration::zero());
}

} // namespace bulrushfold
