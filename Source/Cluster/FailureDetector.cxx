#include "Cluster/FailureDetector.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Refutation time when only one daemon suspects another, as a multiple of
 * mSuspectAfter. */
constexpr int kSingleObserverFactor = 3;
/** With at most this number of daemons, there may be no second observer. */
constexpr std::size_t kSmallCluster = 3;

/** Returns true when a second observer suspects aName too, or the cluster is
 * too small to have one. */
bool
IsConfirmed(const MemberTable& aTable, const std::string& aName)
{
  const Member* member = aTable.Find(aName);
  return aTable.Rings().Size() <= kSmallCluster ||
         (member != nullptr && member->mObservers.size() >= 2);
}
} // namespace

FailureDetector::FailureDetector(MembershipTiming aTiming)
  : mTiming(aTiming)
{
}

FailureFindings
FailureDetector::Check(const MemberTable& aTable,
                       const std::string& aSelf,
                       Instant aNow)
{
  UpdateObservations(aTable.Rings().Predecessors(aSelf), aNow);
  FailureFindings findings;
  for (auto& [name, observation] : mObservations) {
    CheckOne(aTable, name, observation, aNow, findings);
  }
  return findings;
}

void
FailureDetector::UpdateObservations(const std::vector<std::string>& aNames,
                                    Instant aNow)
{
  std::map<std::string, Observation> observations;
  for (const auto& it : aNames) {
    const auto old = mObservations.find(it);
    observations[it] = old != mObservations.end()
                         ? old->second
                         : Observation{ aNow, false, aNow, std::nullopt };
  }
  mObservations = std::move(observations);
}

void
FailureDetector::CheckOne(const MemberTable& aTable,
                          const std::string& aName,
                          Observation& aObservation,
                          Instant aNow,
                          FailureFindings& aFindings) const
{
  const Duration sinceHeartbeat = aNow - aObservation.mLastHeartbeat;
  if (sinceHeartbeat > mTiming.mSuspectAfter / 2) {
    aFindings.mProbe.push_back(aName);
  }
  if (sinceHeartbeat > mTiming.mSuspectAfter && !aObservation.mIsSuspected) {
    aObservation.mIsSuspected = true;
    aObservation.mSuspectedAt = aNow;
    aFindings.mSuspected.push_back(aName);
  }
  if (!IsConfirmed(aTable, aName)) {
    aObservation.mConfirmedAt.reset();
  } else if (!aObservation.mConfirmedAt) {
    aObservation.mConfirmedAt = aNow;
  }
  if (aObservation.mIsSuspected && IsRefutationTimeOver(aObservation, aNow)) {
    aFindings.mDead.push_back(aName);
  }
}

bool
FailureDetector::IsRefutationTimeOver(const Observation& aObservation,
                                      Instant aNow) const
{
  // An observer that missed some messages suspects a daemon earlier than the
  // others do. Its early suspicion must not shorten the refutation time, which
  // starts when the last of the two suspicions is known.
  const bool isConfirmedTimeOver =
    aObservation.mConfirmedAt &&
    aNow - std::max(*aObservation.mConfirmedAt, aObservation.mSuspectedAt) >=
      mTiming.mSuspectAfter;
  return isConfirmedTimeOver || aNow - aObservation.mSuspectedAt >=
                                  mTiming.mSuspectAfter * kSingleObserverFactor;
}

void
FailureDetector::OnHeartbeat(const std::string& aName, Instant aNow)
{
  const auto it = mObservations.find(aName);
  if (it != mObservations.end()) {
    it->second.mLastHeartbeat = aNow;
    it->second.mIsSuspected = false;
  }
}

void
FailureDetector::Reset(Instant aNow)
{
  for (auto& [name, observation] : mObservations) {
    observation = Observation{ aNow, false, aNow, std::nullopt };
  }
}

} // namespace bulrushfold
