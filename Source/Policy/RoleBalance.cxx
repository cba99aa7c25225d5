#include "Policy/RoleBalance.h"

namespace bulrushfold {

RoleBalance::RoleBalance(const RoleBalanceOptions& aOptions)
  : mOptions(aOptions)
{
}

double
RoleBalance::Pool::Use() const
{
  return mEngines == 0 ? 0 : mWork / static_cast<double>(mEngines);
}

RoleBalance::Pool
RoleBalance::PoolOf(const std::vector<EngineUse>& aEngines, EngineRole aRole)
{
  Pool pool;
  for (const auto& it : aEngines) {
    if (it.mRole == aRole) {
      ++pool.mEngines;
      pool.mWork += it.mUse;
    }
  }
  return pool;
}

bool
RoleBalance::CanGive(const Pool& aPool) const
{
  if (aPool.mEngines <= mOptions.mMinEngines || aPool.mEngines < 2) {
    return false;
  }
  // The engines that stay must carry the pool's work without becoming the pool
  // that needs one.
  const double later = aPool.mWork / static_cast<double>(aPool.mEngines - 1);
  return aPool.Use() < mOptions.mLowUse && later < mOptions.mHighUse;
}

std::optional<ChangeRoleAction>
RoleBalance::Decide(const std::vector<EngineUse>& aEngines, Instant aNow)
{
  const Pool prefill = PoolOf(aEngines, EngineRole::Prefill);
  const Pool decode = PoolOf(aEngines, EngineRole::Decode);
  std::optional<EngineRole> needy;
  if (prefill.Use() > mOptions.mHighUse && CanGive(decode)) {
    needy = EngineRole::Prefill;
  } else if (decode.Use() > mOptions.mHighUse && CanGive(prefill)) {
    needy = EngineRole::Decode;
  }
  if (needy != mNeedy) {
    mNeedy = needy;
    mSince = aNow;
  }
  const bool isLasting = mNeedy && aNow - mSince >= mOptions.mPersistence;
  const bool isAllowed =
    !mLastChange || aNow - *mLastChange >= mOptions.mChangeInterval;
  if (!isLasting || !isAllowed) {
    return std::nullopt;
  }
  for (const auto& it : aEngines) {
    if (it.mRole != *mNeedy && it.mRole != EngineRole::Both && it.mLive == 0) {
      const ChangeRoleAction action{ it.mEndpoint, *mNeedy };
      mLastChange = aNow;
      mNeedy.reset();
      return action;
    }
  }
  return std::nullopt;
}

} // namespace bulrushfold
