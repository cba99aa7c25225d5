#include "Router/StopController.h"

#include <doctest/doctest.h>

#include "Net/LoopFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A stop controller on a clock that the test advances. */
class StopFixture
{
public:
  StopFixture() { mStop.Begin(); }
  /** Advances the clock, then lets the controller check its state. */
  void Advance(Duration aSpan)
  {
    mClock.Advance(aSpan);
    bool isOver = false;
    const auto timer = mLoop.After(milliseconds(150), [&] { isOver = true; });
    REQUIRE(RunUntil(mLoop, [&] { return isOver; }));
  }

  EventLoop mLoop;
  ManualClock mClock;
  OpenWork mWork;
  bool mHasEnded = false;
  bool mIsClosed = false;
  StopController mStop{ mLoop,
                        mClock,
                        seconds(8),
                        { [this] { return mWork; },
                          [] {},
                          [this] { mHasEnded = true; },
                          [this] { mIsClosed = true; } } };
};
} // namespace

TEST_CASE("A stop ends when nothing is left to do")
{
  StopFixture fixture;
  // Guards against a stop that ends before the load balancer has noticed it.
  fixture.Advance(milliseconds(2900));
  CHECK_FALSE(fixture.mHasEnded);

  SUBCASE("but not while a request is open")
  {
    fixture.mWork.mRequests = 1;
    fixture.Advance(seconds(1));
    CHECK_FALSE(fixture.mHasEnded);
  }
  // Guards against answers that are cut although no request is open any more.
  SUBCASE("but not while a connection receives a request or sends an answer")
  {
    fixture.mWork.mBusyConnections = 1;
    fixture.Advance(seconds(1));
    CHECK_FALSE(fixture.mHasEnded);
  }
  fixture.mWork = OpenWork();
  fixture.Advance(seconds(1));
  CHECK(fixture.mHasEnded);
  CHECK_FALSE(fixture.mIsClosed);
  // Guards against a request that is read after the end and cut by the exit of
  // the process.
  const Instant deadline = fixture.mClock.Now() + milliseconds(1);
  CHECK(fixture.mStop.Refuses(RequestKind::Idempotent, deadline));
  CHECK(fixture.mStop.Refuses(RequestKind::NonIdempotent, deadline));
  CHECK(fixture.mStop.Refuses(RequestKind::Stream, deadline));

  SUBCASE("and the process ends when the last answers are sent")
  {
    fixture.mWork.mBusyConnections = 1;
    fixture.Advance(milliseconds(200));
    CHECK_FALSE(fixture.mIsClosed);
    fixture.mWork.mBusyConnections = 0;
    fixture.Advance(milliseconds(10));
    CHECK(fixture.mIsClosed);
  }
  SUBCASE("and the process ends when the stop time is over")
  {
    fixture.mWork.mBusyConnections = 1;
    fixture.Advance(seconds(5));
    CHECK(fixture.mIsClosed);
  }
}

// Guards against requests that are passed on late in a stop and cut at its end.
TEST_CASE("A stop refuses the requests that may not finish before its end")
{
  StopFixture fixture;
  const auto refuses = [&](RequestKind aKind, Duration aTimeLeft) {
    return fixture.mStop.Refuses(aKind, fixture.mClock.Now() + aTimeLeft);
  };
  fixture.mWork.mRequests = 1;

  SUBCASE("but none before the load balancer has noticed the stop")
  {
    fixture.mClock.Advance(milliseconds(2700));
    CHECK_FALSE(refuses(RequestKind::NonIdempotent, seconds(60)));
    CHECK_FALSE(refuses(RequestKind::Stream, seconds(60)));
  }
  SUBCASE("whose deadline is after its end")
  {
    fixture.mClock.Advance(milliseconds(3100));
    CHECK(refuses(RequestKind::NonIdempotent, seconds(5)));
    CHECK(refuses(RequestKind::Idempotent, seconds(5)));
    CHECK_FALSE(refuses(RequestKind::NonIdempotent, seconds(4)));
    CHECK_FALSE(refuses(RequestKind::Idempotent, seconds(4)));
    fixture.mClock.Advance(seconds(4));
    CHECK(refuses(RequestKind::NonIdempotent, milliseconds(800)));
    CHECK_FALSE(refuses(RequestKind::NonIdempotent, milliseconds(500)));
  }
  SUBCASE("and all streams")
  {
    fixture.mClock.Advance(milliseconds(2900));
    CHECK(refuses(RequestKind::Stream, seconds(1)));
  }
}

TEST_CASE("A stop ends before the process is killed")
{
  StopFixture fixture;
  fixture.mWork = { 1, 1, 1, 100 };
  fixture.Advance(milliseconds(7600));
  CHECK_FALSE(fixture.mHasEnded);
  fixture.Advance(milliseconds(150));
  CHECK(fixture.mHasEnded);
  CHECK_FALSE(fixture.mIsClosed);
  fixture.Advance(milliseconds(200));
  CHECK(fixture.mIsClosed);
}

} // namespace bulrushfold
