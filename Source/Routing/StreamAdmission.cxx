#include "Routing/StreamAdmission.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Time over which the rate of placements is measured. */
constexpr Duration kRateWindow = std::chrono::milliseconds(1500);
/** Time after the start of the process in which all streams may wait. They may
 * be retries of streams of an earlier process, whose first attempts are unknown
 * to this one, and callers retry only once. */
constexpr Duration kWarmupTime = std::chrono::seconds(4);
/** Expected wait up to which a stream may wait, relative to the time left. */
constexpr double kMaxWaitRatio = 1.5;
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
StreamAdmission::Admits(std::size_t aWaiting, Duration aTimeLeft, Instant aNow)
{
  return aNow - mStart < kWarmupTime || aWaiting == 0 ||
         ToSeconds(ExpectedWait(aWaiting + 1, aNow)) <=
           kMaxWaitRatio * ToSeconds(aTimeLeft);
}

} // namespace bulrushfold
