#include "Router/PeerStatus.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

TEST_CASE("A status message is decoded by a peer with a different clock")
{
  const Instant here{ seconds(1000) };
  const Instant there{ seconds(5) };
  PeerStatus status;
  status.mRuns = { { 1, "d1", 5000, 4000, 9000, here - seconds(2) },
                   { 2, "d2", 100, 200, 300, std::nullopt, 42 } };
  status.mWorks = { { "p1", { 2, 9000 } } };
  status.mRetries = { { "s", { 10, 3 } } };
  status.mSuspects = { { 77, 2, seconds(1) } };
  status.mLostPrompts = { { 91, { 1, ~0ULL }, seconds(2) } };
  status.mAnsweredParts = { { 92, seconds(3) } };
  status.mCachedPrompts = { { 43, "d3", 5000, here - seconds(1) } };
  status.mDeferredRequests = { { 88, milliseconds(1500) } };
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
  REQUIRE(read->mCachedPrompts.size() == 1);
  CHECK(read->mCachedPrompts[0].mKey == 43);
  CHECK(read->mCachedPrompts[0].mEndpoint == "d3");
  CHECK(read->mCachedPrompts[0].mTokens == 5000);
  CHECK(read->mCachedPrompts[0].mObservedAt == there - seconds(1));
  CHECK(read->mWorks.at("p1").mPrefillTokens == 9000);
  CHECK(read->mRetries.at("s").mRetries == 3);
  CHECK(read->mSuspects[0].mHash == 77);
  REQUIRE(read->mLostPrompts.size() == 1);
  CHECK(read->mLostPrompts[0].mEngine == 91);
  CHECK(read->mLostPrompts[0].mParts == std::vector<std::uint64_t>{ 1, ~0ULL });
  CHECK(read->mLostPrompts[0].mAge == seconds(2));
  REQUIRE(read->mAnsweredParts.size() == 1);
  CHECK(read->mAnsweredParts[0].mPart == 92);
  CHECK(read->mAnsweredParts[0].mAge == seconds(3));
  CHECK(read->mDeferredRequests[0].mAge == milliseconds(1500));
  CHECK(read->mRoleOrders.at("p2").mDeadline == there + seconds(6));
  CHECK(read->mAddress == status.mAddress);
  CHECK(read->mIsStopping);
}

TEST_CASE("A status that is decoded from arbitrary bytes has an address")
{
  CHECK(rc::check("any bytes", [](const std::string& aBytes) {
    const auto read = DecodePeerStatus(aBytes, Instant());
    if (read.ok()) {
      RC_ASSERT(!read->mAddress.mHost.empty());
    }
  }));
}

} // namespace bulrushfold
