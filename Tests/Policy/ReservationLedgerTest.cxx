#include "Policy/ReservationLedger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
constexpr std::uint64_t kSlots = 4;
constexpr std::uint64_t kPieces = 12;
const Instant kStart{ std::chrono::hours(1) };

LedgerOptions
NoAdvanceOptions()
{
  LedgerOptions options;
  options.mCompletionShare = 0;
  return options;
}

ReserveRequest
MakeReserveRequest(int aRequest, WorkKind aKind, std::uint64_t aPieces = 1)
{
  ReserveRequest request;
  request.mRequest = std::to_string(aRequest);
  request.mAttempt = 1;
  request.mDaemon = "d" + std::to_string(aRequest % 2);
  request.mKind = aKind;
  request.mWork = std::chrono::milliseconds(200);
  request.mPieces = aPieces;
  request.mLatestIn = std::chrono::milliseconds(500);
  return request;
}

bool
IsGrant(const std::variant<Grant, Refusal>& aReply)
{
  return std::holds_alternative<Grant>(aReply);
}

/** A ledger in state Owning that has received a load report. */
ReservationLedger
MakeOwner(const LedgerOptions& aOptions)
{
  ReservationLedger ledger("e", aOptions);
  ledger.Acquire(1, kStart - aOptions.mClaimWindow);
  ledger.OnLoadReport({ 0, 0, kSlots, kPieces, 0, {} }, kStart);
  return ledger;
}
} // namespace

// Guards against an overcommitted decode engine, which slows down all of its
// streams.
TEST_CASE("The grants of one term never exceed slots and memory")
{
  CHECK(rc::check([] {
    auto ledger = MakeOwner(NoAdvanceOptions());
    Instant now = kStart;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int it : steps) {
      const int request = it % 20;
      const auto kind = it % 3 == 0 ? WorkKind::Prefill : WorkKind::Decode;
      switch (it / 20 % 5) {
        case 0:
        case 1:
          ledger.Reserve(MakeReserveRequest(request, kind, 1 + it % 4), now);
          break;
        case 2:
          ledger.Release(std::to_string(request), 1, kind, now);
          break;
        case 3: {
          // The claim renews the grant and reports the start of the work.
          const bool isGranted =
            IsGrant(ledger.Reserve(MakeReserveRequest(request, kind), now));
          if (isGranted) {
            ledger.ApplyClaim(
              { std::to_string(request), 1, "d", "e", kind, 1, {}, true }, now);
          }
          break;
        }
        default:
          now += std::chrono::milliseconds(it);
      }
      RC_ASSERT(ledger.DecodeGrants() <= kSlots);
      RC_ASSERT(ledger.PiecesReserved() <= kPieces);
    }
    // Guards against leaks: expiry releases all grants.
    ledger.Expire(now + std::chrono::minutes(10));
    RC_ASSERT(ledger.DecodeGrants() == 0U);
    RC_ASSERT(ledger.PrefillGrants() == 0U);
    RC_ASSERT(ledger.PiecesReserved() == 0U);
    RC_ASSERT(ledger.PrefillBacklog(now) == Duration::zero());
  }));
}

TEST_CASE("Decode slots are granted in advance up to a limit")
{
  LedgerOptions options;
  options.mMaxAdvanceShare = 0.5;
  auto ledger = MakeOwner(options);
  for (int n = 0; n < 100; ++n) {
    auto request = MakeReserveRequest(n, WorkKind::Decode, 0);
    request.mReadyIn = std::chrono::seconds(10);
    ledger.Reserve(request, kStart);
    ledger.ApplyClaim(
      { std::to_string(n), 1, "d", "e", WorkKind::Decode, 0, {}, n < 4 },
      kStart);
    if (n >= 4) {
      ledger.Release(std::to_string(n), 1, WorkKind::Decode, kStart);
    }
  }
  CHECK(ledger.DecodeGrants() == 4);
  int granted = 0;
  for (int n = 100; n < 200; ++n) {
    auto request = MakeReserveRequest(n, WorkKind::Decode, 0);
    request.mReadyIn = std::chrono::seconds(10);
    granted += IsGrant(ledger.Reserve(request, kStart)) ? 1 : 0;
  }
  CHECK(granted <= 2);
}

TEST_CASE("A prefill is granted only when it would start in time")
{
  auto ledger = MakeOwner(NoAdvanceOptions());

  SUBCASE("a grant contains the wait, and a late prefill is refused")
  {
    REQUIRE(IsGrant(
      ledger.Reserve(MakeReserveRequest(0, WorkKind::Prefill), kStart)));
    const auto second =
      ledger.Reserve(MakeReserveRequest(1, WorkKind::Prefill), kStart);
    REQUIRE(IsGrant(second));
    CHECK(std::get<Grant>(second).mFreeIn == std::chrono::milliseconds(200));
    CHECK(IsGrant(
      ledger.Reserve(MakeReserveRequest(2, WorkKind::Prefill), kStart)));
    const auto fourth =
      ledger.Reserve(MakeReserveRequest(3, WorkKind::Prefill), kStart);
    REQUIRE_FALSE(IsGrant(fourth));
    CHECK(std::get<Refusal>(fourth).mReason == RefuseReason::TooLate);
  }

  // Guards against prefills of a high priority that make granted ones late.
  SUBCASE("a higher priority is granted only while others start in time")
  {
    ledger.Reserve(MakeReserveRequest(0, WorkKind::Prefill), kStart);
    ledger.Reserve(MakeReserveRequest(1, WorkKind::Prefill), kStart);
    auto urgent = MakeReserveRequest(2, WorkKind::Prefill);
    urgent.mPriority = 9;
    const auto reply = ledger.Reserve(urgent, kStart);
    REQUIRE(IsGrant(reply));
    CHECK(std::get<Grant>(reply).mFreeIn == std::chrono::milliseconds(200));
    urgent.mRequest = "3";
    CHECK_FALSE(IsGrant(ledger.Reserve(urgent, kStart)));
  }

  SUBCASE("a released prefill reduces the backlog")
  {
    ledger.Reserve(MakeReserveRequest(0, WorkKind::Prefill), kStart);
    ledger.Reserve(MakeReserveRequest(1, WorkKind::Prefill), kStart);
    ledger.Release("1", 1, WorkKind::Prefill, kStart);
    CHECK(ledger.PrefillBacklog(kStart) == std::chrono::milliseconds(200));
  }
}

TEST_CASE("A repeated reservation is granted once")
{
  auto ledger = MakeOwner(NoAdvanceOptions());
  CHECK(
    IsGrant(ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), kStart)));
  CHECK(
    IsGrant(ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), kStart)));
  CHECK(ledger.DecodeGrants() == 1);
}

TEST_CASE("The reservations of a dead daemon are released")
{
  auto ledger = MakeOwner(NoAdvanceOptions());
  ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), kStart);
  ledger.Reserve(MakeReserveRequest(1, WorkKind::Decode), kStart);
  ledger.ReleaseDaemon("d0", kStart);
  CHECK(ledger.DecodeGrants() == 1);
}

// Guards against a new owner that grants capacity which earlier work occupies.
TEST_CASE("A new owner counts the load report and the claims")
{
  ReservationLedger ledger("e", NoAdvanceOptions());
  CHECK_FALSE(
    IsGrant(ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), kStart)));
  ledger.Acquire(5, kStart);
  ledger.OnLoadReport({ 3, 0, kSlots, kPieces, 3, {} }, kStart);
  ledger.OnLoadReport({ 3, 0, kSlots, kPieces, 3, {} }, kStart);
  CHECK_FALSE(
    IsGrant(ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), kStart)));
  const Instant later = kStart + LedgerOptions().mClaimWindow;

  SUBCASE("running streams without a claim count as occupied slots")
  {
    CHECK(
      IsGrant(ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), later)));
    CHECK_FALSE(
      IsGrant(ledger.Reserve(MakeReserveRequest(1, WorkKind::Decode), later)));
  }

  SUBCASE("running streams with a claim count once")
  {
    for (int n = 10; n < 13; ++n) {
      ledger.ApplyClaim({ std::to_string(n),
                          1,
                          "d",
                          "e",
                          WorkKind::Decode,
                          1,
                          std::chrono::seconds(2),
                          true },
                        kStart);
    }
    ledger.OnLoadReport({ 3, 0, kSlots, kPieces, 3, {} }, later);
    ledger.OnLoadReport({ 3, 0, kSlots, kPieces, 3, {} }, later);
    CHECK(
      IsGrant(ledger.Reserve(MakeReserveRequest(0, WorkKind::Decode), later)));
    CHECK_FALSE(
      IsGrant(ledger.Reserve(MakeReserveRequest(1, WorkKind::Decode), later)));
  }

  SUBCASE("an ended term cannot start again")
  {
    ledger.EndTerm();
    ledger.Acquire(5, later);
    CHECK(ledger.CurrentState(later) == ReservationLedger::State::NotOwner);
    ledger.Acquire(6, later);
    CHECK(ledger.CurrentState(later) == ReservationLedger::State::Collecting);
  }
}

} // namespace bulrushfold
