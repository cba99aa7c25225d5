#include "Router/PeerStatus.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

TEST_CASE("A status reaches a peer whose clock shows another time")
{
  const Instant here{ seconds(1000) };
  const Instant there{ seconds(5) };
  PeerStatus status;
  status.mRuns = { { 1, "d1", 5000, 4000, 9000, here - seconds(2) },
                   { 2, "d2", 100, 200, 300, std::nullopt, 42 } };
  status.mWorks = { { "p1", { 2, 9000 } } };
  status.mRetries = { { "s", { 10, 3 } } };
  status.mSuspects = { { 77, 2, seconds(1) } };
  status.mKeptPrompts = { { 43, "d3", 5000, here - seconds(1) } };
  status.mTurnedAway = { { 88, milliseconds(1500) } };
  status.mRoleOrders = { { "p2",
                           { EndpointRole::Decode, here + seconds(6) } } };
  status.mAddress = { "10.0.0.1", 7000 };
  status.mIsStopping = true;

  const auto read = DecodePeerStatus(EncodePeerStatus(status, here), there);
  REQUIRE(read.ok());
  REQUIRE(read->mRuns.size() == 2);
  CHECK(read->mRuns[0].mStartedAt == there - seconds(2));
  CHECK(read->mRuns[0].mMaxAnswerTokens == 9000);
  CHECK_FALSE(read->mRuns[1].mStartedAt);
  CHECK(read->mRuns[1].mPromptKey == 42);
  REQUIRE(read->mKeptPrompts.size() == 1);
  CHECK(read->mKeptPrompts[0].mKey == 43);
  CHECK(read->mKeptPrompts[0].mEndpoint == "d3");
  CHECK(read->mKeptPrompts[0].mTokens == 5000);
  CHECK(read->mKeptPrompts[0].mObservedAt == there - seconds(1));
  CHECK(read->mWorks.at("p1").mPrefillTokens == 9000);
  CHECK(read->mRetries.at("s").mRetries == 3);
  CHECK(read->mSuspects[0].mHash == 77);
  CHECK(read->mTurnedAway[0].mAge == milliseconds(1500));
  CHECK(read->mRoleOrders.at("p2").mDeadline == there + seconds(6));
  CHECK(read->mAddress == status.mAddress);
  CHECK(read->mIsStopping);
}

TEST_CASE("Bytes that are no status are refused")
{
  CHECK(rc::check("any bytes", [](const std::string& aBytes) {
    const auto read = DecodePeerStatus(aBytes, Instant());
    if (read.ok()) {
      RC_ASSERT(!read->mAddress.mHost.empty());
    }
  }));
}

} // namespace bulrushfold
