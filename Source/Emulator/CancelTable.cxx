#include "Emulator/CancelTable.h"

namespace bulrushfold {

void
CancelTable::Add(const WorkId& aWork)
{
  constexpr std::size_t kMaxWorks = 100'000;
  if (!mWorks.insert(aWork).second) {
    return;
  }
  mOrder.push_back(aWork);
  if (mOrder.size() > kMaxWorks) {
    mWorks.erase(mOrder.front());
    mOrder.pop_front();
  }
}

bool
CancelTable::Contains(const WorkId& aWork) const
{
  return mWorks.count(aWork) > 0 || mWorks.count({ aWork.mRequest, 0 }) > 0;
}

} // namespace bulrushfold
