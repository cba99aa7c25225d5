#include "Router/PlacementMessages.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
} // namespace

TEST_CASE("A refused placement keeps its reason on the way to the daemon")
{
  PlainGrant grant;
  grant.mNumber = 7;
  grant.mRefusal = {
    PlainRefusalCause::WaitEnded, 12, milliseconds(898), milliseconds(100)
  };
  auto message = ToWire(grant);
  const PlainRefusal read = FromWire(message, 7).mRefusal;
  CHECK(read.mCause == PlainRefusalCause::WaitEnded);
  CHECK(read.mAhead == 12);
  CHECK(read.mTargetLeft == milliseconds(898));
  CHECK(read.mWaited == milliseconds(100));

  SUBCASE("and has none when the owner states none")
  {
    message.__isset.refusal = false;
    CHECK(FromWire(message, 7).mRefusal.mCause == PlainRefusalCause::Unknown);
  }
  SUBCASE("and a cause that this version does not know is no known one")
  {
    message.refusal.cause = 99;
    CHECK(FromWire(message, 7).mRefusal.mCause == PlainRefusalCause::Unknown);
    message.refusal.cause = -1;
    CHECK(FromWire(message, 7).mRefusal.mCause == PlainRefusalCause::Unknown);
  }
}

TEST_CASE("The version that began a stream reaches the placement owner")
{
  const Instant now{ std::chrono::seconds(1000) };
  StreamDemand demand;
  demand.mNumber = 7;
  CHECK_FALSE(FromWire(ToWire(demand, now), now).mSoftware);
  demand.mSoftware = "v2";
  CHECK(FromWire(ToWire(demand, now), now).mSoftware == "v2");
  // An engine that states no version is of another one than all that do.
  demand.mSoftware = "";
  CHECK(FromWire(ToWire(demand, now), now).mSoftware == "");
  CHECK(FromWire(ToWire(demand, now), now).mStream == 0);
  demand.mStream = ~0ULL;
  demand.mResumableUntil = now + std::chrono::seconds(14);
  CHECK(FromWire(ToWire(demand, now), now).mStream == ~0ULL);
  CHECK(FromWire(ToWire(demand, now), now).mResumableUntil ==
        demand.mResumableUntil);
}

} // namespace bulrushfold
