#include "Routing/StreamAdmission.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Time over which the rate of placements is taken. */
constexpr Duration kRateWindow = std::chrono::milliseconds(1500);
/** After a start callers come back whom an earlier process served; they are
 * not known, and do not come a third time. */
constexpr Duration kSettlingTime = std::chrono::seconds(4);
/** Part of the time left that the expected wait may take. */
constexpr double kUsablePart = 1.5;
} // namespace

void
StreamAdmission::Expire(Instant aNow)
{
  while (!mPlacements.empty() && aNow - mPlacements.front() > kRateWindow) {
    mPlacements.pop_front();
  }
}

void
StreamAdmission::OnPlaced(Instant aNow)
{
  mPlacements.push_back(aNow);
  Expire(aNow);
}

Duration
StreamAdmission::ExpectedWait(std::size_t aWaiting, Instant aNow)
{
  Expire(aNow);
  const std::size_t placed = std::max<std::size_t>(mPlacements.size(), 1);
  return kRateWindow * static_cast<int>(aWaiting) / static_cast<int>(placed);
}

bool
StreamAdmission::Admits(std::size_t aWaiting, Duration aLeft, Instant aNow)
{
  return aNow - mStart < kSettlingTime || aWaiting == 0 ||
         ToSeconds(ExpectedWait(aWaiting + 1, aNow)) <=
           kUsablePart * ToSeconds(aLeft);
}

} // namespace bulrushfold
