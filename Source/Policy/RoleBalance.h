#ifndef BULRUSHFOLD_POLICY_ROLEBALANCE_H
#define BULRUSHFOLD_POLICY_ROLEBALANCE_H

#include <optional>
#include <string>
#include <vector>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** Constants of RoleBalance. */
struct RoleBalanceOptions
{
  /** A pool above this use needs an engine, one below the lower can give. */
  double mHighUse = 0.85;
  double mLowUse = 0.55;
  /** The imbalance must last this long. */
  Duration mPersistence = std::chrono::seconds(30);
  /** Least time between two changes: loading weights from the store is rate
   * limited, and a change must show its effect before the next one. */
  Duration mChangeInterval = std::chrono::seconds(120);
  std::size_t mMinEngines = 1;
};

/** Load of one engine, as seen by the holder of its orders. */
struct EngineUse
{
  std::string mEndpoint;
  EngineRole mRole = EngineRole::Both;
  /** Use of what its role offers, 0 to 1. */
  double mUse = 0;
  /** Requests that hold memory or a slot there. */
  std::size_t mLive = 0;
};

/**
 * Decides when an engine moves between the prefill and the decode pool. Only a
 * lasting imbalance leads to a change, and a pool keeps what its work needs.
 */
class RoleBalance
{
public:
  explicit RoleBalance(const RoleBalanceOptions& aOptions);

  /** A change to order now, if any. The engine must have no live work. */
  std::optional<ChangeRoleAction> Decide(const std::vector<EngineUse>& aEngines,
                                         Instant aNow);

private:
  struct Pool
  {
    std::size_t mEngines = 0;
    double mWork = 0;
    double Use() const;
  };
  static Pool PoolOf(const std::vector<EngineUse>& aEngines, EngineRole aRole);
  bool CanGive(const Pool& aPool) const;

  RoleBalanceOptions mOptions;
  /** Pool that has needed an engine since mSince. */
  std::optional<EngineRole> mNeedy;
  Instant mSince;
  std::optional<Instant> mLastChange;
};

} // namespace bulrushfold

#endif
