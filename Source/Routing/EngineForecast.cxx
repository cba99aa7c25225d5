#include "Routing/EngineForecast.h"

#include <algorithm>
#include <cstddef>

namespace bulrushfold {

EngineForecast::Share::Share(const MemoryForecast& aForecast,
                             const StreamRun& aRun,
                             Instant aNow)
  : mRun(&aRun)
  , mPromptTokens(aRun.mPromptTokens)
  , mAnswerTokens(aRun.mAnswerTokens)
  , mMaxAnswerTokens(aRun.mMaxAnswerTokens)
  , mStartedAt(aRun.mStartedAt)
  , mProfile(aForecast.ProfileOf(aRun, aNow))
{
}

bool
EngineForecast::Share::IsOf(const StreamRun& aRun) const
{
  return mRun == &aRun && mPromptTokens == aRun.mPromptTokens &&
         mAnswerTokens == aRun.mAnswerTokens &&
         mMaxAnswerTokens == aRun.mMaxAnswerTokens &&
         mStartedAt == aRun.mStartedAt;
}

MemoryProfile
EngineForecast::At(const MemoryForecast& aForecast,
                   const std::vector<const StreamRun*>& aRuns,
                   std::uint64_t aVersion,
                   Instant aNow)
{
  const bool isOld = aNow - mCalculatedAt > MemoryProfile::kStep;
  if (isOld) {
    mShares.clear();
    mStarted = {};
    mNotStarted = {};
    mCalculatedAt = aNow;
  }
  if (isOld || mVersion != aVersion) {
    Update(aForecast, aRuns);
    mVersion = aVersion;
  }
  MemoryProfile profile = mStarted.After(aNow - mCalculatedAt);
  profile += mNotStarted;
  return profile;
}

void
EngineForecast::Update(const MemoryForecast& aForecast,
                       const std::vector<const StreamRun*>& aRuns)
{
  // The runs keep their order and new ones are added at the end, so that the
  // remaining shares belong to the first runs.
  auto run = aRuns.begin();
  const auto hasEnded = [&](const Share& aShare) {
    if (run != aRuns.end() && *run == aShare.mRun) {
      ++run;
      return false;
    }
    SumOf(aShare) -= aShare.mProfile;
    return true;
  };
  mShares.erase(std::remove_if(mShares.begin(), mShares.end(), hasEnded),
                mShares.end());
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    if (i < mShares.size() && mShares[i].IsOf(*aRuns[i])) {
      continue;
    }
    const Share share(aForecast, *aRuns[i], mCalculatedAt);
    if (i < mShares.size()) {
      SumOf(mShares[i]) -= mShares[i].mProfile;
      mShares[i] = share;
    } else {
      mShares.push_back(share);
    }
    SumOf(share) += share.mProfile;
  }
}

} // namespace bulrushfold
