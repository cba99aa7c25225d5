#include "Routing/PlainQueueFixture.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** The requests of one route. */
struct RouteLoad
{
  Duration mTarget;
  /** Mean number of requests in one second. */
  double mRate;
  /** Time in a slot; zero: random, with the mean of the service. */
  Duration mRunTime{};
  /** Its runs end with an answer, not at their timeout. */
  bool mIsAnswered = true;
  int mAsked = 0;
  int mServed = 0;

  double ServedShare() const { return static_cast<double>(mServed) / mAsked; }
};

/** A service of two endpoints under a load of several routes. The times of
 * requests and answers are random, so that they are not in step. */
class OverloadedService
{
public:
  OverloadedService(std::vector<RouteLoad> aRoutes, std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRoutes(std::move(aRoutes))
  {
    for (std::size_t i = 0; i < mRoutes.size(); ++i) {
      ScheduleArrival(i);
    }
  }

  void Run(Duration aDuration)
  {
    const Instant end = mFixture.mNow + aDuration;
    while (mFixture.mNow < end) {
      mFixture.mNow = NextTime();
      EndRuns();
      Dispatch();
      Arrive();
    }
  }
  const std::vector<RouteLoad>& Routes() const { return mRoutes; }
  double ServedShare() const
  {
    RouteLoad all{};
    for (const RouteLoad& it : mRoutes) {
      all.mAsked += it.mAsked;
      all.mServed += it.mServed;
    }
    return all.ServedShare();
  }

  /** Requests that the endpoints can serve in one second. */
  static constexpr double kCapacity = 150;

private:
  /** Mean time in a slot; two endpoints have two slots and one request on its
   * way each. */
  static constexpr double kMeanSeconds = 6 / kCapacity;

  Instant NextTime() const
  {
    Instant next = mArrivals.begin()->first;
    if (!mEnds.empty()) {
      next = std::min(next, mEnds.begin()->first);
    }
    return std::min(next, mFixture.mQueue.NextWake().value_or(next));
  }
  void ScheduleArrival(std::size_t aRoute)
  {
    mArrivals.emplace(mFixture.mNow + FromSeconds(mRandom.Exponential(
                                        1 / mRoutes[aRoute].mRate)),
                      aRoute);
  }
  void EndRuns()
  {
    while (!mEnds.empty() && mEnds.begin()->first <= mFixture.mNow) {
      const auto& [number, started] = mEnds.begin()->second;
      const RouteLoad& route = mRoutes[mRouteOf.at(number)];
      mFixture.mHealth.OnResult("s",
                                mFixture.mRunning.at(number),
                                route.mIsAnswered ? SendResult::Answered
                                                  : SendResult::TimedOut,
                                mFixture.mNow);
      mFixture.End(number);
      // Runs of a fixed time would change what the queue expects of the others.
      if (route.mRunTime == Duration::zero()) {
        mFixture.mQueue.OnServed("s", mFixture.mNow - started);
      }
      mEnds.erase(mEnds.begin());
    }
  }
  void Dispatch()
  {
    for (const int it : mFixture.Dispatch()) {
      if (it > 0) {
        Start(static_cast<std::uint64_t>(it));
      }
    }
  }
  void Arrive()
  {
    while (mArrivals.begin()->first <= mFixture.mNow) {
      const std::size_t route = mArrivals.begin()->second;
      mArrivals.erase(mArrivals.begin());
      ScheduleArrival(route);
      const std::uint64_t number = ++mLastNumber;
      mRouteOf[number] = route;
      ++mRoutes[route].mAsked;
      if (const auto grant = mFixture.Submit(number, mRoutes[route].mTarget);
          grant && grant->mChoice) {
        Start(number);
      }
    }
  }
  void Start(std::uint64_t aNumber)
  {
    RouteLoad& route = mRoutes[mRouteOf.at(aNumber)];
    ++route.mServed;
    const double time =
      route.mRunTime > Duration::zero()
        ? ToSeconds(route.mRunTime)
        : kMeanSeconds / 2 + mRandom.Exponential(kMeanSeconds / 2);
    mEnds.emplace(mFixture.mNow + FromSeconds(time),
                  std::pair(aNumber, mFixture.mNow));
  }

  PlainQueueFixture mFixture{ 2 };
  Random mRandom;
  std::vector<RouteLoad> mRoutes;
  std::uint64_t mLastNumber = 0;
  /** Routes of the next requests, by time. */
  std::multimap<Instant, std::size_t> mArrivals;
  /** Number and start of each run, by the time of its end. */
  std::multimap<Instant, std::pair<std::uint64_t, Instant>> mEnds;
  std::map<std::uint64_t, std::size_t> mRouteOf;
};

/** Least served share of a route, relative to that of all requests. */
constexpr double kMinRelativeShare = 0.5;

/** Part of the requests that a route gets, and its latency target. */
struct RoutePart
{
  Duration mTarget;
  double mPart;
};

/** aLoad: relative to what the service can serve. */
void
CheckNoRouteStarves(const std::vector<RoutePart>& aParts,
                    double aLoad,
                    Duration aDuration)
{
  std::vector<RouteLoad> routes;
  routes.reserve(aParts.size());
  for (const auto& [target, part] : aParts) {
    routes.push_back({ target, part * aLoad * OverloadedService::kCapacity });
  }
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    OverloadedService service(routes, seed);
    service.Run(aDuration);
    const double all = service.ServedShare();
    CAPTURE(aLoad);
    CAPTURE(seed);
    CAPTURE(all);
    // Otherwise the service would not be overloaded.
    CHECK(all < 0.9);
    for (const RouteLoad& it : service.Routes()) {
      CAPTURE(ToMilliseconds(it.mTarget));
      CAPTURE(it.mAsked);
      CHECK(it.ServedShare() >= kMinRelativeShare * all);
    }
  }
}

void
CheckNoRouteStarves(const std::vector<RoutePart>& aParts)
{
  CheckNoRouteStarves(aParts, 1.5, seconds(20));
  CheckNoRouteStarves(aParts, 4, seconds(20));
}
} // namespace

// Guards against callers of a route with a late target being refused while
// those of other routes at the same service are served.
TEST_CASE("In an overload no route starves because of its target")
{
  SUBCASE("when most requests have an early one")
  {
    CheckNoRouteStarves({ { milliseconds(150), 0.9 }, { seconds(1), 0.1 } });
  }
  SUBCASE("when half of the requests have an early one")
  {
    CheckNoRouteStarves({ { milliseconds(150), 0.5 }, { seconds(1), 0.5 } });
  }
  SUBCASE("when few requests have an early one")
  {
    CheckNoRouteStarves({ { milliseconds(150), 0.1 }, { seconds(1), 0.9 } });
  }
  SUBCASE("in a short burst")
  {
    CheckNoRouteStarves(
      { { milliseconds(150), 0.8 }, { seconds(1), 0.2 } }, 2, seconds(2));
  }
  SUBCASE("with several targets")
  {
    CheckNoRouteStarves({ { milliseconds(80), 0.3 },
                          { milliseconds(150), 0.5 },
                          { milliseconds(300), 0.1 },
                          { seconds(1), 0.1 } });
  }
  SUBCASE("with one that comes before the end of the longest wait")
  {
    SUBCASE("on most requests")
    {
      CheckNoRouteStarves({ { milliseconds(60), 0.9 }, { seconds(1), 0.1 } });
    }
    SUBCASE("on half of the requests")
    {
      CheckNoRouteStarves({ { milliseconds(60), 0.5 }, { seconds(1), 0.5 } });
    }
    SUBCASE("on few requests")
    {
      CheckNoRouteStarves({ { milliseconds(60), 0.1 }, { seconds(1), 0.9 } });
    }
  }
}

// Guards against endpoints that answer being avoided for the requests of a
// route whose timeout is shorter than its work, which made the service too
// small for all others.
TEST_CASE("A timeout takes no more capacity than an answer that takes as long")
{
  const auto servedShare = [](bool aIsAnswered, std::uint64_t aSeed) {
    constexpr double kLoad = 0.6;
    OverloadedService service(
      { { milliseconds(150), kLoad * OverloadedService::kCapacity },
        { seconds(1), 2, milliseconds(400), aIsAnswered } },
      aSeed);
    service.Run(seconds(20));
    return service.Routes().front().ServedShare();
  };
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    CHECK(servedShare(false, seed) >= 0.99 * servedShare(true, seed));
  }
}

} // namespace bulrushfold
