#include "Policy/LinkSchedule.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Weight of one transfer in the average slowdown.
constexpr double kSmoothingFactor = 0.1;
constexpr double kMaxSlowdown = 50;
// Minimum slowdown of a link after a stalled transfer.
constexpr double kStallSlowdown = 20;
// Part of a transfer's time that does not depend on its size: round trips and
// processing in the engines. Without it, short transfers would make a link look
// slow.
constexpr double kTransferOverheadSeconds = 0.02;
} // namespace

void
LinkSchedule::SetRate(const std::string& aLink, double aBytesPerSecond)
{
  mLinks[aLink].mBytesPerSecond = aBytesPerSecond;
}

Instant
LinkSchedule::EstimateEnd(const std::string& aFrom,
                          const std::string& aTo,
                          double aBytes,
                          Instant aReady) const
{
  Instant start = aReady;
  double seconds = 0;
  for (const auto* name : { &aFrom, &aTo }) {
    const auto it = mLinks.find(*name);
    if (it == mLinks.end() || it->second.mBytesPerSecond <= 0) {
      continue;
    }
    const Link& link = it->second;
    start = std::max(start, link.mBusyUntil);
    seconds = std::max(seconds, aBytes / link.mBytesPerSecond * link.mSlowdown);
  }
  return start + FromSeconds(seconds);
}

Duration
LinkSchedule::Estimate(const std::string& aFrom,
                       const std::string& aTo,
                       double aBytes,
                       Instant aReady) const
{
  return EstimateEnd(aFrom, aTo, aBytes, aReady) - aReady;
}

Instant
LinkSchedule::Schedule(const std::string& aFrom,
                       const std::string& aTo,
                       double aBytes,
                       Instant aReady)
{
  const Instant end = EstimateEnd(aFrom, aTo, aBytes, aReady);
  for (const auto* name : { &aFrom, &aTo }) {
    if (const auto it = mLinks.find(*name);
        it != mLinks.end() && it->second.mBytesPerSecond > 0) {
      it->second.mBusyUntil = end;
    }
  }
  return end;
}

void
LinkSchedule::ObserveTransfer(const std::string& aFrom,
                              const std::string& aTo,
                              double aBytes,
                              Duration aElapsed)
{
  for (const auto* name : { &aFrom, &aTo }) {
    const auto it = mLinks.find(*name);
    if (it == mLinks.end() || it->second.mBytesPerSecond <= 0 || aBytes <= 0) {
      continue;
    }
    const double nominal = aBytes / it->second.mBytesPerSecond;
    const double observed =
      std::clamp(ToSeconds(aElapsed) / (nominal + kTransferOverheadSeconds),
                 1.0,
                 kMaxSlowdown);
    it->second.mSlowdown +=
      kSmoothingFactor * (observed - it->second.mSlowdown);
  }
}

void
LinkSchedule::OnTransferStalled(const std::string& aFrom,
                                const std::string& aTo)
{
  for (const auto* name : { &aFrom, &aTo }) {
    if (const auto it = mLinks.find(*name); it != mLinks.end()) {
      it->second.mSlowdown = std::max(it->second.mSlowdown, kStallSlowdown);
    }
  }
}

} // namespace bulrushfold
