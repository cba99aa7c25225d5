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
FaultyNetwork::Strikes(const char* aClass)
{
  if (mHealed || !mContext.mRandom.Bernoulli(kFaultChance)) {
    return false;
  }
  mContext.mFaults.Strike(aClass);
  return true;
}

void
FaultyNetwork::Send(FakeProcess& aReceiver,
                    const std::function<void()>& aArrive)
{
  Duration delay(1 + mContext.mRandom.UniformBelow(kMaxDelayUs));
  if (Strikes(kDropped)) {
    return;
  }
  if (Strikes(kDuplicated)) {
    aReceiver.Post(delay + Duration(mContext.mRandom.UniformBelow(kMaxLateUs)),
                   aArrive);
  }
  if (Strikes(kLate)) {
    delay += Duration(mContext.mRandom.UniformBelow(kMaxLateUs));
  }
  aReceiver.Post(delay, aArrive);
}

} // namespace bulrushfold
