#include "Soak/FaultyStore.h"

namespace bulrushfold {

namespace {
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kMaxDelayUs = 4000;
// How long after its caller gave up a delayed write may still arrive.
constexpr std::uint64_t kMaxLateUs = 2'000'000;
constexpr double kLostChance = 0.02;
constexpr double kLateChance = 0.01;
constexpr double kRateChance = 0.005;
} // namespace

FaultyStore::FaultyStore(SoakContext& aContext)
  : mContext(aContext)
  , mDownUntil(aContext.mClock.Now())
{
  for (const char* name : { kOutage, kAnswerLost, kWriteLate, kRateLimit }) {
    aContext.mFaults.Register(name);
  }
}

bool
FaultyStore::Strikes(const char* aClass, double aChance)
{
  if (mHealed || !mContext.mRandom.Bernoulli(aChance)) {
    return false;
  }
  mContext.mFaults.Strike(aClass);
  return true;
}

Duration
FaultyStore::Delay()
{
  return Duration(1 + mContext.mRandom.UniformBelow(kMaxDelayUs));
}

void
FaultyStore::BeginOutage(Duration aSpan)
{
  mContext.mFaults.Strike(kOutage);
  mDownUntil = mContext.mClock.Now() + aSpan;
}

bool
FaultyStore::IsDown() const
{
  return mContext.mClock.Now() < mDownUntil;
}

void
FaultyStore::Heal()
{
  mHealed = true;
  mDownUntil = mContext.mClock.Now();
}

void
FaultyStore::Get(const std::string& aKey, const GetHook& aHook)
{
  mContext.mEvents.After(Delay(), [this, aKey, aHook] {
    if (IsDown() || Strikes(kAnswerLost, kLostChance)) {
      mContext.mEvents.After(kCallTimeout,
                             [aHook] { aHook(absl::UnknownError("read")); });
      return;
    }
    const auto answer = mData.Get(aKey);
    mContext.mEvents.After(Delay(), [aHook, answer] { aHook(answer); });
  });
}

void
FaultyStore::Put(const std::string& aKey,
                 const std::string& aBody,
                 std::optional<std::uint64_t> aExpected,
                 const PutHook& aHook)
{
  mContext.mEvents.After(Delay(), [this, aKey, aBody, aExpected, aHook] {
    if (IsDown()) {
      mContext.mEvents.After(kCallTimeout,
                             [aHook] { aHook(absl::UnknownError("outage")); });
    } else if (Strikes(kWriteLate, kLateChance)) {
      LateWrite(aKey, aBody, aExpected, aHook);
    } else if (Strikes(kRateLimit, kRateChance)) {
      aHook(absl::ResourceExhaustedError("rate"));
    } else {
      PutNow(aKey, aBody, aExpected, aHook);
    }
  });
}

void
FaultyStore::PutNow(const std::string& aKey,
                    const std::string& aBody,
                    std::optional<std::uint64_t> aExpected,
                    const PutHook& aHook)
{
  const auto answer = mData.Put(aKey, aBody, aExpected);
  if (Strikes(kAnswerLost, kLostChance)) {
    mContext.mEvents.After(kCallTimeout,
                           [aHook] { aHook(absl::UnknownError("lost")); });
    return;
  }
  mContext.mEvents.After(Delay(), [aHook, answer] { aHook(answer); });
}

void
FaultyStore::LateWrite(const std::string& aKey,
                       const std::string& aBody,
                       std::optional<std::uint64_t> aExpected,
                       const PutHook& aHook)
{
  mContext.mEvents.After(kCallTimeout,
                         [aHook] { aHook(absl::UnknownError("late")); });
  const Duration late(mContext.mRandom.UniformBelow(kMaxLateUs));
  mContext.mEvents.After(kCallTimeout + late, [this, aKey, aBody, aExpected] {
    if (!IsDown()) {
      // Nobody waits for this answer any more.
      (void)mData.Put(aKey, aBody, aExpected);
    }
  });
}

void
FaultyStore::Delete(const std::string& aKey, const DeleteHook& aHook)
{
  mContext.mEvents.After(Delay(), [this, aKey, aHook] {
    const absl::Status answer =
      IsDown() ? absl::UnknownError("outage") : mData.Delete(aKey);
    mContext.mEvents.After(Delay(), [aHook, answer] { aHook(answer); });
  });
}

} // namespace bulrushfold
