#include "Soak/FaultyNetwork.h"

namespace bulrushfold {

namespace {
constexpr double kFaultChance = 0.02;
constexpr std::uint64_t kMaxDelayUs = 3000;
constexpr std::uint64_t kMaxLateUs = 6'000'000;
} // namespace

FaultyNetwork::FaultyNetwork(SoakContext& aContext)
  : mContext(aContext)
{
  for (const char* name : { kDropped, kDuplicated, kLate }) {
    aContext.mFaults.Register(name);
  }
}

bool
FaultyNetwork::ShouldInject(const char* aClass)
{
  if (mFaultsEnded || !mContext.mRandom.Bernoulli(kFaultChance)) {
    return false;
  }
  mContext.mFaults.Count(aClass);
  return true;
}

void
FaultyNetwork::Send(FakeProcess& aReceiver,
                    const std::function<void()>& aDeliver)
{
  Duration delay(1 + mContext.mRandom.UniformBelow(kMaxDelayUs));
  if (ShouldInject(kDropped)) {
    return;
  }
  if (ShouldInject(kDuplicated)) {
    aReceiver.Post(delay + Duration(mContext.mRandom.UniformBelow(kMaxLateUs)),
                   aDeliver);
  }
  if (ShouldInject(kLate)) {
    delay += Duration(mContext.mRandom.UniformBelow(kMaxLateUs));
  }
  aReceiver.Post(delay, aDeliver);
}

} // namespace bulrushfold
