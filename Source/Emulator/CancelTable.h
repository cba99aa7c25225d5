#ifndef BULRUSHFOLD_EMULATOR_CANCELTABLE_H
#define BULRUSHFOLD_EMULATOR_CANCELTABLE_H

#include <deque>
#include <set>

#include "Emulator/EngineMessages.h"

namespace bulrushfold {

/**
 * Recently cancelled work. The engine refuses work whose cancel request arrived
 * first.
 */
class CancelTable
{
public:
  /** Records a cancel; attempt 0 means all attempts of the request. */
  void Add(const WorkId& aWork);
  bool Contains(const WorkId& aWork) const;

private:
  std::set<WorkId> mWorks;
  /** Contents of mWorks, oldest first, to limit its size. */
  std::deque<WorkId> mOrder;
};

} // namespace bulrushfold

#endif
