#include "Router/StreamCall.h"

#include <doctest/doctest.h>

#include "StreamCallFixture.h"

namespace bulrushfold {

namespace {
/** A resumable stream and two decode engines of two software versions. */
struct VersionFixture : StreamCallFixture
{
  VersionFixture()
    : StreamCallFixture(true, 4)
  {
    mDelegate.mSoftware = { { "d1", "v1" }, { "d2", "v2" }, { "d3", "v1" } };
  }
};
} // namespace

// Guards against an answer with events of two software versions, which don't
// fit together.
TEST_CASE("An answer goes on only at the software version that began it")
{
  VersionFixture fixture;
  FakeDelegate& delegate = fixture.mDelegate;

  SUBCASE("after an event")
  {
    fixture.RunToSecondEvent();
    SUBCASE("a move to another version is not begun")
    {
      fixture.mCall->StartMove("d2", fixture.mNow);
      CHECK_FALSE(delegate.HasAction("move d1 d2"));
      fixture.mCall->StartMove("d3", fixture.mNow);
      CHECK(delegate.HasAction("move d1 d3"));
    }
    SUBCASE("a moved run returns when its target has another version by then")
    {
      fixture.mCall->StartMove("d3", fixture.mNow);
      fixture.EndAnswer(SendOutcome::Unknown);
      delegate.mSoftware["d3"] = "v2";
      fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, MakeCache("moved") },
                                    fixture.mNow);
      CHECK(delegate.LastAction() == "decode d1");
    }
    SUBCASE("the version is part of the next demand")
    {
      fixture.EndAnswer(SendOutcome::Unknown);
      REQUIRE(delegate.mDemands.size() == 2);
      CHECK(delegate.mDemands.back().mSoftware == "v1");
      SUBCASE("also if the engine that began it has another version by then")
      {
        delegate.mSoftware["d1"] = "v2";
        fixture.Place("p1", "d1");
        CHECK(delegate.mDemands.back().mSoftware == "v1");
        CHECK(delegate.LastAction() != "reserve d1");
      }
      SUBCASE("a placement at another version is not used")
      {
        const std::size_t demands = delegate.mDemands.size();
        fixture.Place("p1", "d2");
        CHECK_FALSE(delegate.HasAction("reserve d2"));
        REQUIRE(delegate.mDemands.size() == demands + 1);
        CHECK(delegate.mDemands.back().mFailedEndpoints.count("d2") == 1);
        fixture.Place("p1", "d3");
        CHECK(delegate.LastAction() == "reserve d3");
      }
      SUBCASE("the answer is broken off at once when no engine may go on")
      {
        fixture.mCall->OnUnservable(Duration::zero(), fixture.mNow);
        CHECK(delegate.LastAction() == "abort");
      }
    }
  }
  SUBCASE("before an event, each engine that may begin it is reported")
  {
    fixture.Start();
    fixture.Place("p1", "d1");
    CHECK(delegate.mVersions == std::vector<std::string>{ "v1" });
    fixture.RunToAnswer("p1", "d2");
    CHECK(delegate.mVersions == std::vector<std::string>{ "v1", "v2" });
    fixture.AddData(Event(1));
    CHECK(delegate.mVersions.back() == "v2 begun");
  }
  SUBCASE("that another attempt of the caller received")
  {
    fixture.mCall.emplace(delegate, fixture.mRetryBudget, fixture.mParameters);
    fixture.mCall->BindTo("v2");
    fixture.mCall->Start(fixture.mNow);
    CHECK(delegate.mDemands.back().mSoftware == "v2");
    fixture.Place("p1", "d1");
    CHECK(delegate.mVersions.empty());
    fixture.Place("p1", "d2");
    CHECK(delegate.LastAction() == "reserve d2");
    CHECK(delegate.mVersions.back() == "v2 begun");
    SUBCASE("is not sent to an engine that has another version by then")
    {
      delegate.mSoftware["d2"] = "v1";
      fixture.mCall->OnReserved("hold", fixture.mNow);
      fixture.FinishPrefill();
      CHECK_FALSE(delegate.HasAction("decode d2"));
    }
  }
  SUBCASE("a run without an event binds nothing")
  {
    fixture.Start();
    fixture.RunToAnswer("p1", "d1");
    fixture.EndAnswer(SendOutcome::Unknown);
    REQUIRE(delegate.mDemands.size() == 2);
    CHECK_FALSE(delegate.mDemands.back().mSoftware);
    fixture.Place("p1", "d2");
    CHECK(delegate.LastAction() == "reserve d2");
  }
}

} // namespace bulrushfold
