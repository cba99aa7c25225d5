#include "Routing/OwnerSelector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
constexpr Duration kFirstPause = std::chrono::milliseconds(500);
constexpr Duration kMaxPause = std::chrono::seconds(8);
/** Time in which a daemon that stops is replaced by its next process. */
constexpr Duration kStopPause = std::chrono::seconds(12);
} // namespace

void
OwnerSelector::SetMembers(std::vector<FleetMember> aMembers)
{
  mMembers = std::move(aMembers);
  const auto rank = [](const FleetMember& aMember) {
    return std::make_tuple(
      -aMember.mCapacity, Hash64(aMember.mName), std::cref(aMember.mName));
  };
  std::sort(mMembers.begin(),
            mMembers.end(),
            [&](const FleetMember& aLeft, const FleetMember& aRight) {
              return rank(aLeft) < rank(aRight);
            });
}

bool
OwnerSelector::IsLeftOut(const std::string& aName, Instant aNow) const
{
  const auto it = mFailures.find(aName);
  return it != mFailures.end() && aNow < it->second.mUntil;
}

bool
OwnerSelector::IsCandidate(const std::string& aName) const
{
  const auto end = mMembers.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(kCandidates, mMembers.size()));
  return std::any_of(mMembers.begin(), end, [&](const FleetMember& aMember) {
    return aMember.mName == aName;
  });
}

std::vector<const FleetMember*>
OwnerSelector::FirstCandidates(std::size_t aCount, Instant aNow) const
{
  std::vector<const FleetMember*> candidates;
  for (std::size_t i = 0; HasOwner() && i < kCandidates && aCount > 0; ++i) {
    candidates.push_back(&mMembers[i]);
    aCount -= IsLeftOut(mMembers[i].mName, aNow) ? 0 : 1;
  }
  return candidates;
}

const FleetMember*
OwnerSelector::Choose(Instant aNow) const
{
  if (!HasOwner()) {
    return nullptr;
  }
  for (std::size_t i = 0; i < kCandidates; ++i) {
    if (!IsLeftOut(mMembers[i].mName, aNow)) {
      return &mMembers[i];
    }
  }
  return nullptr;
}

const FleetMember*
OwnerSelector::FindReturning(const std::string& aName, Instant aNow) const
{
  const FleetMember* first = Choose(aNow);
  return first == nullptr || first->mName == aName ? nullptr : first;
}

void
OwnerSelector::OnFailed(const std::string& aName, Instant aNow)
{
  Failure& failure = mFailures[aName];
  if (aNow < failure.mUntil) {
    return;
  }
  failure.mSpan = failure.mSpan == Duration::zero()
                    ? kFirstPause
                    : std::min(failure.mSpan * 2, kMaxPause);
  failure.mUntil = aNow + failure.mSpan;
}

void
OwnerSelector::OnStopping(const std::string& aName, Instant aNow)
{
  mFailures[aName] = { aNow + kStopPause, kFirstPause };
}

} // namespace bulrushfold
