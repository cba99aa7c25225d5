#include "Policy/EndpointOwner.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
ReserveRequest
Ask(const std::string& aRequest)
{
  ReserveRequest request;
  request.mRequest = aRequest;
  request.mAttempt = 1;
  request.mDaemon = "d";
  request.mEndpoint = "e";
  request.mKind = WorkKind::Decode;
  request.mWork = std::chrono::seconds(1);
  return request;
}
} // namespace

// Guards against a paused owner that wakes and grants what another daemon has
// already given out.
TEST_CASE("An owner that was paused gives up its term")
{
  const LedgerOptions options;
  EndpointOwner owner(options);
  Instant now{ std::chrono::hours(1) };
  owner.Acquire("e", 1, now);
  now += options.mClaimWindow;
  owner.OnLoadReport("e", { 0, 0, 4, 12, 0, {} }, now);
  REQUIRE(std::holds_alternative<Grant>(owner.OnReserve(Ask("r1"), now)));

  SUBCASE("short turns keep the ownership")
  {
    for (int n = 0; n < 10; ++n) {
      now += options.mClockGapLimit;
      CHECK_FALSE(owner.Tick(now));
    }
    CHECK(owner.Find("e")->DecodeGrants() == 1);
  }

  SUBCASE("the first event after the pause already finds no owner")
  {
    now += 2 * options.mClockGapLimit;
    const auto reply = owner.OnReserve(Ask("r2"), now);
    REQUIRE(std::holds_alternative<Refusal>(reply));
    CHECK(std::get<Refusal>(reply).mReason == RefuseReason::NotOwner);
    CHECK(owner.Find("e")->DecodeGrants() == 0);
    CHECK(owner.Tick(now));
    CHECK_FALSE(owner.Tick(now));

    SUBCASE("a confirmed ownership starts a new term from claims")
    {
      owner.Acquire("e", 2, now);
      Claim claim;
      claim.mRequest = "r1";
      claim.mAttempt = 1;
      claim.mEndpoint = "e";
      claim.mKind = WorkKind::Decode;
      claim.mIsStarted = true;
      owner.OnClaim(claim, now);
      now += options.mClaimWindow;
      owner.OnLoadReport("e", { 1, 0, 1, 12, 0, {} }, now);
      CHECK(std::holds_alternative<Refusal>(owner.OnReserve(Ask("r2"), now)));
    }
  }

  SUBCASE("a deposed owner grants nothing")
  {
    owner.OnOwnershipLost("e");
    CHECK(std::holds_alternative<Refusal>(owner.OnReserve(Ask("r2"), now)));
  }
}

} // namespace bulrushfold
