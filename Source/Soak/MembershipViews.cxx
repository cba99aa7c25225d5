#include "Soak/MembershipViews.h"

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
constexpr double kBelievedLive = 0.5;
} // namespace

MembershipViews::MembershipViews(SoakContext& aContext)
  : mContext(aContext)
{
}

void
MembershipViews::Add(FakeProcess& aProcess)
{
  mProcesses.push_back(&aProcess);
  mViews.push_back({ {}, mContext.mClock.Now() });
  for (auto& it : mViews) {
    it.mLive.resize(mProcesses.size(), true);
  }
}

void
MembershipViews::Update()
{
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mContext.mClock.Now() < mViews[i].mSplitUntil) {
      continue;
    }
    for (std::size_t n = 0; n < mProcesses.size(); ++n) {
      mViews[i].mLive[n] =
        n == i || (mProcesses[n]->IsAlive() && !mProcesses[n]->IsPaused());
    }
  }
}

void
MembershipViews::Split(std::size_t aIndex, Duration aSpan)
{
  View& view = mViews[aIndex];
  view.mSplitUntil = mContext.mClock.Now() + aSpan;
  for (std::size_t n = 0; n < view.mLive.size(); ++n) {
    view.mLive[n] = n == aIndex || mContext.mRandom.Bernoulli(kBelievedLive);
  }
}

void
MembershipViews::Heal(std::size_t aIndex)
{
  mViews[aIndex].mSplitUntil = mContext.mClock.Now();
}

std::size_t
MembershipViews::Owner(std::size_t aAsker, std::uint64_t aItem) const
{
  std::size_t best = aAsker;
  std::uint64_t bestScore = 0;
  for (std::size_t n = 0; n < mProcesses.size(); ++n) {
    const std::uint64_t score = Hash64(mProcesses[n]->Name(), aItem);
    if (mViews[aAsker].mLive[n] && score > bestScore) {
      best = n;
      bestScore = score;
    }
  }
  return best;
}

} // namespace bulrushfold
