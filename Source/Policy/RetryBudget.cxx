#include "Policy/RetryBudget.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Maximum of the accumulated retries: enough to retry the requests that one
// failed endpoint was running without waiting for the shares of new requests.
constexpr double kMaxBalance = 20;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t kMaxDoublings = 6;
} // namespace

RetryBudget::RetryBudget(double aShare, Random& aRandom)
  : mShare(aShare)
  , mRandom(aRandom)
  , mAvailable(aShare > 0 ? kMaxBalance : 0)
{
}

void
RetryBudget::OnRequest()
{
  mAvailable = std::min(kMaxBalance, mAvailable + mShare);
}

bool
RetryBudget::TryConsume()
{
  if (mAvailable < 1) {
    return false;
  }
  mAvailable -= 1;
  return true;
}

Duration
RetryBudget::Backoff(std::uint32_t aRetry)
{
  const std::uint32_t n = aRetry > 0 ? aRetry - 1 : 0;
  const Duration maximum = kFirstBackoff * (1LL << std::min(n, kMaxDoublings));
  return FromSeconds(ToSeconds(maximum) * mRandom.UniformReal());
}

} // namespace bulrushfold
