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
  status.mCrashes.mLost = {
    { 76, 91, { { 1, ~0ULL }, 77, 78 }, seconds(2), milliseconds(15) }
  };
  status.mCrashes.mAnswered = { { 92, seconds(3) } };
  status.mCrashes.mEngineAnswers = { { 93, seconds(4), milliseconds(16) } };
  status.mCachedPrompts = { { 43, "d3", 5000, here - seconds(1) } };
  status.mDeferredRequests = { { 88, milliseconds(1500) } };
  status.mRoleOrders = { { "p2",
                           { EndpointRole::Decode, here + seconds(6) } } };
  status.mOrigins = { { 99, "s", "v1", here + seconds(9), true } };
  status.mAddress = { "10.0.0.1", 7000 };
  status.mIsStopping = true;

  const auto read = DecodePeerStatus(EncodePeerStatus(status, here), there);
  REQUIRE(read.ok());
  REQUIRE(read->mRuns.size() == 2);
  CHECK(read->mRuns[0].mStartedAt == there - seconds(2));
  CHECK(read->mRuns[0].mMaxAnswerTokens == 9000);
  CHECK_FALSE(read->mRuns[1].mStartedAt);
  CHECK(read->mRuns[1].mPromptKey == 42);
  REQUIRE(read->mOrigins.size() == 1);
  CHECK(read->mOrigins[0].mStream == 99);
  CHECK(read->mOrigins[0].mService == "s");
  CHECK(read->mOrigins[0].mSoftware == "v1");
  CHECK(read->mOrigins[0].mUntil == there + seconds(9));
  CHECK(read->mOrigins[0].mHasBegun);
  REQUIRE(read->mCachedPrompts.size() == 1);
  CHECK(read->mCachedPrompts[0].mKey == 43);
  CHECK(read->mCachedPrompts[0].mEndpoint == "d3");
  CHECK(read->mCachedPrompts[0].mTokens == 5000);
  CHECK(read->mCachedPrompts[0].mObservedAt == there - seconds(1));
  CHECK(read->mWorks.at("p1").mPrefillTokens == 9000);
  CHECK(read->mRetries.at("s").mRetries == 3);
  REQUIRE(read->mCrashes.mLost.size() == 1);
  const LostRun& lost = read->mCrashes.mLost[0];
  CHECK(lost.mId == 76);
  CHECK(lost.mEngine == 91);
  CHECK(lost.mKeys.mParts == std::vector<std::uint64_t>{ 1, ~0ULL });
  CHECK(lost.mKeys.mRequest == 77);
  CHECK(lost.mKeys.mContent == 78);
  CHECK(lost.mAge == seconds(2));
  CHECK(lost.mTook == milliseconds(15));
  REQUIRE(read->mCrashes.mAnswered.size() == 1);
  CHECK(read->mCrashes.mAnswered[0].mPart == 92);
  CHECK(read->mCrashes.mAnswered[0].mAge == seconds(3));
  REQUIRE(read->mCrashes.mEngineAnswers.size() == 1);
  CHECK(read->mCrashes.mEngineAnswers[0].mEngine == 93);
  CHECK(read->mCrashes.mEngineAnswers[0].mAge == seconds(4));
  CHECK(read->mCrashes.mEngineAnswers[0].mTook == milliseconds(16));
  CHECK(read->mDeferredRequests[0].mAge == milliseconds(1500));
  CHECK(read->mRoleOrders.at("p2").mDeadline == there + seconds(6));
  CHECK(read->mAddress == status.mAddress);
  CHECK(read->mIsStopping);
}

// Guards against a faulty peer that makes all daemons refuse requests, or fills
// their memory.
TEST_CASE("Evidence of crashes out of all proportion makes a status unreadable")
{
  const Instant now{ seconds(5000) };
  PeerStatus status;
  status.mAddress = { "10.0.0.1", 7000 };
  const auto isReadable = [&] {
    return DecodePeerStatus(EncodePeerStatus(status, now), now).ok();
  };
  SUBCASE("too many lost runs")
  {
    status.mCrashes.mLost.resize(10'000);
  }
  SUBCASE("too many parts")
  {
    status.mCrashes.mLost.resize(1);
    status.mCrashes.mLost[0].mKeys.mParts.resize(1000);
  }
  SUBCASE("a loss in the future")
  {
    status.mCrashes.mLost.resize(1);
    status.mCrashes.mLost[0].mAge = seconds(-5);
  }
  SUBCASE("an answer of long ago")
  {
    status.mCrashes.mAnswered = { { 1, std::chrono::hours(5) } };
  }
  CHECK_FALSE(isReadable());
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
