#include "Routing/OrderLease.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

/** Limit on the lease time in an object, because objects may be damaged. */
constexpr Duration kMaxLease = std::chrono::minutes(5);

std::string
TextOf(const Json& aJson, const char* aKey)
{
  const bool isText =
    aJson.is_object() && aJson.contains(aKey) && aJson[aKey].is_string();
  return isText ? aJson[aKey].get<std::string>() : std::string();
}

std::uint64_t
NumberOf(const Json& aJson, const char* aKey, std::uint64_t aDefault)
{
  const bool isNumber = aJson.is_object() && aJson.contains(aKey) &&
                        aJson[aKey].is_number_unsigned();
  return isNumber ? aJson[aKey].get<std::uint64_t>() : aDefault;
}

bool
IsReleased(const Json& aJson)
{
  return aJson.is_object() && aJson.contains("released") &&
         aJson["released"] == true;
}
} // namespace

OrderLease::OrderLease(std::string aHolder, OrderTiming aTiming)
  : mHolder(std::move(aHolder))
  , mTiming(aTiming)
{
}

bool
OrderLease::CanSendOrder(Instant aNow) const
{
  return mState == State::Held && aNow < mWrittenAt + mTiming.mLease -
                                           mTiming.mClockGapLimit -
                                           mTiming.mOrderTimeout;
}

LeaseStep
OrderLease::Read()
{
  mState = State::Reading;
  LeaseStep step;
  step.mNeedsRead = true;
  return step;
}

LeaseStep
OrderLease::Write(bool aIsReleased, Instant aNow)
{
  mState = State::Writing;
  mIsReleasing = aIsReleased;
  // The lease starts before the write, by the clock of the holder.
  mWrittenAt = aNow;
  Json json;
  json["holder"] = mHolder;
  json["write"] = ++mWrites;
  json["lease_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(mTiming.mLease)
      .count();
  json["released"] = aIsReleased;
  json["era"] = mEra;
  LeaseStep step;
  step.mBodyToWrite = json.dump();
  step.mWriteNumber = mWrites;
  step.mExpectedVersion = mVersion;
  return step;
}

LeaseStep
OrderLease::Tick(bool aIsNeeded, bool aChecksFencing, Instant aNow)
{
  if (mState == State::Held) {
    const bool isHalf = aNow >= mWrittenAt + mTiming.mLease / 2;
    if (!aIsNeeded || isHalf) {
      return Write(!aIsNeeded, aNow);
    }
    return {};
  }
  if (!aIsNeeded || aNow < mNextStep) {
    return {};
  }
  if (mState == State::Idle) {
    return Read();
  }
  if (mState == State::Waiting) {
    if (!aChecksFencing && MustWait(aNow)) {
      return {};
    }
    return Write(false, aNow);
  }
  return {};
}

bool
OrderLease::MustWait(Instant aNow) const
{
  const bool hasEarlierLeases = mEra > 0 && !mIsOfEra;
  return (mIsHeldByOther && aNow < mOtherLeaseEnd) ||
         (hasEarlierLeases && aNow < mEarlierLeasesEnd);
}

bool
OrderLease::IsOwnWrite(const StoredObject& aObject) const
{
  const Json json = Json::parse(aObject.mBody, nullptr, false);
  return mWrites > 0 && TextOf(json, "holder") == mHolder &&
         NumberOf(json, "write", 0) == mWrites;
}

void
OrderLease::RecordHolder(const StoredObject& aObject, Instant aNow)
{
  if (mVersion == aObject.mVersion && mIsHeldByOther) {
    // The object still has the lease whose end is awaited.
    return;
  }
  mVersion = aObject.mVersion;
  const Json json = Json::parse(aObject.mBody, nullptr, false);
  const auto max = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(kMaxLease).count());
  const std::uint64_t lease = std::min(NumberOf(json, "lease_ms", max), max);
  // An earlier write of this process may still reach the store, but only one of
  // two writes that expect the same version can succeed.
  mIsHeldByOther = !IsReleased(json) && TextOf(json, "holder") != mHolder;
  mOtherLeaseEnd = aNow + WaitFor(std::chrono::milliseconds(lease));
  mIsOfEra = NumberOf(json, "era", 0) == mEra;
}

void
OrderLease::OnRead(const absl::StatusOr<StoredObject>& aObject, Instant aNow)
{
  if (mState != State::Reading) {
    return;
  }
  if (absl::IsNotFound(aObject.status())) {
    mVersion.reset();
    mIsHeldByOther = false;
    mIsOfEra = false;
    mState = State::Waiting;
    return;
  }
  if (!aObject.ok()) {
    Retry(aNow);
    return;
  }
  if (IsOwnWrite(*aObject)) {
    mVersion = aObject->mVersion;
    mFencing = aObject->mVersion;
    mIsHeldByOther = false;
    mIsOfEra = true;
    const bool isOver = mIsReleasing || aNow >= mWrittenAt + mTiming.mLease;
    mState = isOver ? State::Waiting : State::Held;
    return;
  }
  RecordHolder(*aObject, aNow);
  mState = State::Waiting;
}

void
OrderLease::OnWritten(std::uint64_t aWrite,
                      const absl::StatusOr<std::uint64_t>& aVersion,
                      Instant aNow)
{
  if (mState != State::Writing || aWrite != mWrites) {
    return;
  }
  if (!aVersion.ok()) {
    // Another holder wrote, the store failed, or its reply was lost. The next
    // read of the object shows which.
    Retry(aNow);
    return;
  }
  mVersion = *aVersion;
  mFencing = *aVersion;
  mIsHeldByOther = false;
  mIsOfEra = true;
  mState = mIsReleasing ? State::Idle : State::Held;
}

void
OrderLease::Retry(Instant aNow)
{
  mState = State::Idle;
  mNextStep = aNow + mTiming.mRetryInterval;
}

void
OrderLease::OnEra(StoreEra aEra, Instant aNow)
{
  if (aEra <= mEra) {
    return;
  }
  mEra = aEra;
  mEarlierLeasesEnd = aNow + WaitFor(mTiming.mLease);
  mVersion.reset();
  mIsHeldByOther = false;
  mIsOfEra = false;
  // With a new number, an earlier write is no own write any more.
  ++mWrites;
  mState = State::Idle;
  mNextStep = aNow;
}

void
OrderLease::OnClockGap(Instant aNow)
{
  // Answers to calls from before the pause are ignored.
  mState = State::Idle;
  mNextStep = aNow;
}

void
OrderLease::OnStaleFencing(Instant aNow)
{
  // With a new number the object no longer counts as an own write. So it is
  // written again, which gives a higher fencing number.
  ++mWrites;
  Retry(aNow);
}

} // namespace bulrushfold
