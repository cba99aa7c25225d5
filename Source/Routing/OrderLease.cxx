#include "Routing/OrderLease.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

/** Longest lease that is believed, against a damaged object. */
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
  // The lease counts from before the write, on the clock of the holder.
  mWrittenAt = aNow;
  Json json;
  json["holder"] = mHolder;
  json["write"] = ++mWrites;
  json["lease_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(mTiming.mLease)
      .count();
  json["released"] = aIsReleased;
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
    const bool mustWait = mIsForeign && !aChecksFencing;
    if (mustWait && aNow < mForeignUntil) {
      return {};
    }
    return Write(false, aNow);
  }
  return {};
}

bool
OrderLease::IsOwnWrite(const StoredObject& aObject) const
{
  const Json json = Json::parse(aObject.mBody, nullptr, false);
  return mWrites > 0 && TextOf(json, "holder") == mHolder &&
         NumberOf(json, "write", 0) == mWrites;
}

void
OrderLease::NoteHolder(const StoredObject& aObject, Instant aNow)
{
  if (mVersion == aObject.mVersion && mIsForeign) {
    // Still the lease that is being waited out.
    return;
  }
  mVersion = aObject.mVersion;
  const Json json = Json::parse(aObject.mBody, nullptr, false);
  const auto max = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(kMaxLease).count());
  const std::uint64_t lease = std::min(NumberOf(json, "lease_ms", max), max);
  // A lost write of this process may still arrive, but only one of two writes
  // over the same version can succeed.
  mIsForeign = !IsReleased(json) && TextOf(json, "holder") != mHolder;
  mForeignUntil = aNow + std::chrono::milliseconds(lease) +
                  mTiming.mClockGapLimit + mTiming.mOrderTimeout;
}

void
OrderLease::OnRead(const absl::StatusOr<StoredObject>& aObject, Instant aNow)
{
  if (mState != State::Reading) {
    return;
  }
  if (absl::IsNotFound(aObject.status())) {
    mVersion.reset();
    mIsForeign = false;
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
    mIsForeign = false;
    const bool isOver = mIsReleasing || aNow >= mWrittenAt + mTiming.mLease;
    mState = isOver ? State::Waiting : State::Held;
    return;
  }
  NoteHolder(*aObject, aNow);
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
    // Another holder, an outage, or a lost answer: the object tells.
    Retry(aNow);
    return;
  }
  mVersion = *aVersion;
  mFencing = *aVersion;
  mIsForeign = false;
  mState = mIsReleasing ? State::Idle : State::Held;
}

void
OrderLease::Retry(Instant aNow)
{
  mState = State::Idle;
  mNextStep = aNow + mTiming.mRetryInterval;
}

void
OrderLease::OnClockGap(Instant aNow)
{
  // Answers to calls from before the pause are not waited for.
  mState = State::Idle;
  mNextStep = aNow;
}

void
OrderLease::OnStaleFencing(Instant aNow)
{
  // The object is written again, which gives a higher number.
  ++mWrites;
  Retry(aNow);
}

} // namespace bulrushfold
