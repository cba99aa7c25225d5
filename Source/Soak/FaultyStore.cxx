#include "Soak/FaultyStore.h"

namespace bulrushfold {

namespace {
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kMaxDelayUs = 4000;
// Maximum time after the call's timeout at which a delayed write may still
// arrive.
constexpr std::uint64_t kMaxLateUs = 2'000'000;
constexpr double kReplyLostChance = 0.02;
constexpr double kWriteLateChance = 0.01;
constexpr double kRateLimitChance = 0.005;
} // namespace

FaultyStore::FaultyStore(SoakContext& aContext)
  : mContext(aContext)
  , mOutageEnd(aContext.mClock.Now())
{
  for (const char* name : { kOutage, kReplyLost, kWriteLate, kRateLimit }) {
    aContext.mFaults.Register(name);
  }
}

bool
FaultyStore::ShouldInject(const char* aClass, double aChance)
{
  if (mFaultsEnded || !mContext.mRandom.Bernoulli(aChance)) {
    return false;
  }
  mContext.mFaults.Count(aClass);
  return true;
}

Duration
FaultyStore::Delay()
{
  return Duration(1 + mContext.mRandom.UniformBelow(kMaxDelayUs));
}

void
FaultyStore::StartOutage(Duration aSpan)
{
  mContext.mFaults.Count(kOutage);
  mOutageEnd = mContext.mClock.Now() + aSpan;
}

bool
FaultyStore::IsUnavailable() const
{
  return mContext.mClock.Now() < mOutageEnd;
}

void
FaultyStore::EndFaults()
{
  mFaultsEnded = true;
  mOutageEnd = mContext.mClock.Now();
}

void
FaultyStore::Get(const std::string& aKey, const GetCallback& aCallback)
{
  mContext.mEvents.After(Delay(), [this, aKey, aCallback] {
    if (IsUnavailable() || ShouldInject(kReplyLost, kReplyLostChance)) {
      mContext.mEvents.After(
        kCallTimeout, [aCallback] { aCallback(absl::UnknownError("read")); });
      return;
    }
    const auto reply = mData.Get(aKey);
    mContext.mEvents.After(Delay(), [aCallback, reply] { aCallback(reply); });
  });
}

void
FaultyStore::Put(const std::string& aKey,
                 const std::string& aBody,
                 std::optional<std::uint64_t> aExpected,
                 const PutCallback& aCallback)
{
  mContext.mEvents.After(Delay(), [this, aKey, aBody, aExpected, aCallback] {
    if (IsUnavailable()) {
      mContext.mEvents.After(
        kCallTimeout, [aCallback] { aCallback(absl::UnknownError("outage")); });
    } else if (ShouldInject(kWriteLate, kWriteLateChance)) {
      PutLate(aKey, aBody, aExpected, aCallback);
    } else if (ShouldInject(kRateLimit, kRateLimitChance)) {
      aCallback(absl::ResourceExhaustedError("rate"));
    } else {
      PutNow(aKey, aBody, aExpected, aCallback);
    }
  });
}

void
FaultyStore::PutNow(const std::string& aKey,
                    const std::string& aBody,
                    std::optional<std::uint64_t> aExpected,
                    const PutCallback& aCallback)
{
  const auto reply = mData.Put(aKey, aBody, aExpected);
  if (ShouldInject(kReplyLost, kReplyLostChance)) {
    mContext.mEvents.After(
      kCallTimeout, [aCallback] { aCallback(absl::UnknownError("lost")); });
    return;
  }
  mContext.mEvents.After(Delay(), [aCallback, reply] { aCallback(reply); });
}

void
FaultyStore::PutLate(const std::string& aKey,
                     const std::string& aBody,
                     std::optional<std::uint64_t> aExpected,
                     const PutCallback& aCallback)
{
  mContext.mEvents.After(
    kCallTimeout, [aCallback] { aCallback(absl::UnknownError("late")); });
  const Duration late(mContext.mRandom.UniformBelow(kMaxLateUs));
  mContext.mEvents.After(kCallTimeout + late, [this, aKey, aBody, aExpected] {
    if (!IsUnavailable()) {
      // The call has ended with its timeout, so the result is not reported.
      (void)mData.Put(aKey, aBody, aExpected);
    }
  });
}

void
FaultyStore::Delete(const std::string& aKey, const DeleteCallback& aCallback)
{
  mContext.mEvents.After(Delay(), [this, aKey, aCallback] {
    const absl::Status reply =
      IsUnavailable() ? absl::UnknownError("outage") : mData.Delete(aKey);
    mContext.mEvents.After(Delay(), [aCallback, reply] { aCallback(reply); });
  });
}

} // namespace bulrushfold
