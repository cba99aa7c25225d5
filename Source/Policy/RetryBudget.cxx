#include "Policy/RetryBudget.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Enough for the requests that one failed endpoint was running, so that they
// need not wait for new requests to earn their retries.
constexpr double kMaxSaved = 20;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t kMaxDoublings = 6;
} // namespace

RetryBudget::RetryBudget(double aShare, Random& aRandom)
  : mShare(aShare)
  , mRandom(aRandom)
  , mAvailable(aShare > 0 ? kMaxSaved : 0)
{
}

void
RetryBudget::OnRequest()
{
  mAvailable = std::min(kMaxSaved, mAvailable + mShare);
}

bool
RetryBudget::Take()
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
  const Duration bound = kFirstBackoff * (1LL << std::min(n, kMaxDoublings));
  return FromSeconds(ToSeconds(bound) * mRandom.UniformReal());
}

} // namespace bulrushfold
