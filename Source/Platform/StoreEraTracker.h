#ifndef BULRUSHFOLD_PLATFORM_STOREERATRACKER_H
#define BULRUSHFOLD_PLATFORM_STOREERATRACKER_H

#include <optional>
#include <set>
#include <string_view>

#include "Platform/StoreRevision.h"

namespace bulrushfold {

/** The era that an answer of a store states. */
struct StatedEra
{
  /** Empty: the answer states none, or none that can be read. */
  std::optional<StoreEra> mEra;
  bool mIsUnreadable = false;
};

/**
 * The newest era of a store, as its answers show it. Eras only rise. An answer
 * without a readable era counts as one of the newest era, and so does an answer
 * whose era is lower than the newest one was when its call began: the store
 * itself would have gone back to a former era, which can't be told from a fault
 * of the header. Each of these is logged once.
 */
class StoreEraTracker
{
public:
  StoreEra Newest() const { return mNewest; }
  /** aEra was learned from a revision that another daemon passed on. */
  void Learn(StoreEra aEra);
  /**
   * Returns the era of an answer; empty if the answer was made before the store
   * came back from a copy, so that its content does not hold any more.
   * aNewestAtStart: Newest() when the call began.
   */
  std::optional<StoreEra> OnAnswer(const StatedEra& aStated,
                                   StoreEra aNewestAtStart);

private:
  /** Logs aReason, a literal, once. */
  void LogIgnored(std::string_view aReason);

  StoreEra mNewest = 0;
  std::set<std::string_view> mLoggedReasons;
};

} // namespace bulrushfold

#endif
