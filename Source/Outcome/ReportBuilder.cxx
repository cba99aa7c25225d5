#include "Outcome/Report.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace bulrushfold {

namespace {

/** Longest list of places in a report; beyond it nobody reads on. */
constexpr std::size_t kMaxPlaces = 20;

using PlaceName = std::pair<std::string, std::string>;
using Places = std::map<PlaceName, ReportPlace>;
using NameOf = std::function<PlaceName(const OutcomeKey&)>;

PlaceName
HopOf(const OutcomeKey& aKey)
{
  return { std::string(HopName(aKey.mHop)), "" };
}

PlaceName
EndpointOf(const OutcomeKey& aKey)
{
  return { aKey.mEndpoint, aKey.mFailureDomain };
}

PlaceName
FailureDomainOf(const OutcomeKey& aKey)
{
  return { aKey.mFailureDomain, "" };
}

PlaceName
WorkspaceOf(const OutcomeKey& aKey)
{
  return { aKey.mWorkspace, "" };
}

PlaceName
TargetOf(const OutcomeKey& aKey)
{
  return { aKey.mTarget, "" };
}

bool
IsServed(const OutcomeKey& aKey)
{
  return aKey.mStatus == OutcomeStatus::Served;
}

std::uint64_t
Sum(const OutcomeCounts& aCounts)
{
  return std::accumulate(
    aCounts.begin(),
    aCounts.end(),
    std::uint64_t{ 0 },
    [](std::uint64_t aSum, const auto& aIt) { return aSum + aIt.second; });
}

std::uint64_t
SumNotServed(const OutcomeCounts& aCounts)
{
  std::uint64_t sum = 0;
  for (const auto& [key, count] : aCounts) {
    sum += IsServed(key) ? 0 : count;
  }
  return sum;
}

void
Merge(OutcomeCounts& aInto, const OutcomeCounts& aFrom)
{
  for (const auto& [key, count] : aFrom) {
    aInto[key] += count;
  }
}

/** Counts aCounts by name into the member that aField names. */
void
CountPlaces(Places& aPlaces,
            const OutcomeCounts& aCounts,
            const NameOf& aNameOf,
            std::uint64_t ReportPlace::*aField,
            const std::function<bool(const OutcomeKey&)>& aFilter)
{
  for (const auto& [key, count] : aCounts) {
    const PlaceName name = aNameOf(key);
    if (!name.first.empty() && aFilter(key)) {
      ReportPlace& place = aPlaces[name];
      place.mName = name.first;
      place.mFailureDomain = name.second;
      place.*aField += count;
    }
  }
}

std::vector<ReportPlace>
Ranked(const Places& aPlaces)
{
  std::vector<ReportPlace> ranked;
  for (const auto& [name, place] : aPlaces) {
    ranked.push_back(place);
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const ReportPlace& aLeft, const ReportPlace& aRight) {
                     return std::tie(aLeft.mCount, aLeft.mRequests) >
                            std::tie(aRight.mCount, aRight.mRequests);
                   });
  ranked.resize(std::min(ranked.size(), kMaxPlaces));
  return ranked;
}

/** Sums of all parts. */
struct Totals
{
  OutcomeCounts mCurrent;
  OutcomeCounts mBefore;
};

std::vector<ReportPlace>
PlacesOf(const Totals& aTotals,
         const NameOf& aNameOf,
         const std::function<bool(const OutcomeKey&)>& aFilter)
{
  Places places;
  CountPlaces(places, aTotals.mCurrent, aNameOf, &ReportPlace::mCount, aFilter);
  CountPlaces(places, aTotals.mBefore, aNameOf, &ReportPlace::mBefore, aFilter);
  return Ranked(places);
}

bool
IsNotServed(const OutcomeKey& aKey)
{
  return !IsServed(aKey);
}

ReportCause
MakeCause(Cause aCause, const Totals& aTotals, double aScale)
{
  const auto filter = [aCause](const OutcomeKey& aKey) {
    return aKey.mCause == aCause && !IsServed(aKey);
  };
  ReportCause cause;
  cause.mCause = aCause;
  cause.mHops = PlacesOf(aTotals, HopOf, filter);
  cause.mEndpoints = PlacesOf(aTotals, EndpointOf, filter);
  cause.mFailureDomains = PlacesOf(aTotals, FailureDomainOf, filter);
  cause.mWorkspaces = PlacesOf(aTotals, WorkspaceOf, filter);
  cause.mTargets = PlacesOf(aTotals, TargetOf, filter);
  for (const auto& it : cause.mHops) {
    cause.mCount += it.mCount;
    cause.mBefore += it.mBefore;
  }
  cause.mExpected = static_cast<double>(cause.mBefore) * aScale;
  return cause;
}

std::vector<ReportCause>
MakeCauses(const Totals& aTotals, double aScale)
{
  std::vector<ReportCause> causes;
  for (const auto& it : CauseInfos()) {
    ReportCause cause = MakeCause(it.mCause, aTotals, aScale);
    if (cause.mCount > 0 || cause.mBefore > 0) {
      causes.push_back(std::move(cause));
    }
  }
  std::stable_sort(causes.begin(),
                   causes.end(),
                   [](const ReportCause& aLeft, const ReportCause& aRight) {
                     return std::make_pair(aLeft.Increase(), aLeft.mCount) >
                            std::make_pair(aRight.Increase(), aRight.mCount);
                   });
  return causes;
}

std::vector<ReportPlace>
MakeWorkspaces(const Totals& aTotals)
{
  Places places;
  const auto all = [](const OutcomeKey&) { return true; };
  CountPlaces(
    places, aTotals.mCurrent, WorkspaceOf, &ReportPlace::mCount, IsNotServed);
  CountPlaces(
    places, aTotals.mBefore, WorkspaceOf, &ReportPlace::mBefore, IsNotServed);
  CountPlaces(
    places, aTotals.mCurrent, WorkspaceOf, &ReportPlace::mRequests, all);
  return Ranked(places);
}

std::vector<ReportPoint>
MakePoints(const MinuteRange& aRange,
           const std::map<std::pair<Minute, Cause>, std::uint64_t>& aCounts)
{
  std::vector<ReportPoint> points;
  for (Minute m = aRange.mFirst; m <= aRange.mLast; ++m) {
    ReportPoint point;
    point.mMinute = m;
    for (const auto& it : CauseInfos()) {
      const auto count = aCounts.find({ m, it.mCause });
      if (count == aCounts.end()) {
        continue;
      }
      if (it.mCause == Cause::ServedInTime) {
        point.mServed = count->second;
      } else {
        point.mCauses.push_back({ m, it.mCause, count->second });
      }
    }
    points.push_back(std::move(point));
  }
  return points;
}

} // namespace

void
ReportBuilder::Add(const ReportPart& aPart)
{
  const auto key = std::make_pair(aPart.mDaemon, aPart.mIncarnation);
  const auto [it, isNew] = mParts.emplace(key, aPart);
  if (isNew) {
    return;
  }
  const auto weight = [](const ReportPart& aIt) {
    return std::make_pair(aIt.mIsOwn, Sum(aIt.mCurrent) + Sum(aIt.mBefore));
  };
  if (weight(aPart) > weight(it->second)) {
    it->second = aPart;
  }
}

void
ReportBuilder::AddMissingDaemon(std::string aDaemon)
{
  mMissing.push_back(std::move(aDaemon));
}

Report
ReportBuilder::Build() const
{
  Totals totals;
  std::map<std::pair<Minute, Cause>, std::uint64_t> minutes;
  for (const auto& [origin, part] : mParts) {
    Merge(totals.mCurrent, part.mCurrent);
    Merge(totals.mBefore, part.mBefore);
    for (const auto& it : part.mMinutes) {
      minutes[{ it.mMinute, it.mCause }] += it.mCount;
    }
  }
  Report report;
  report.mWindow = mWindow;
  report.mMissingDaemons = mMissing;
  report.mRequests = Sum(totals.mCurrent);
  report.mRequestsBefore = Sum(totals.mBefore);
  report.mNotServed = SumNotServed(totals.mCurrent);
  report.mNotServedBefore = SumNotServed(totals.mBefore);
  const double scale = report.mRequestsBefore == 0
                         ? 0.0
                         : static_cast<double>(report.mRequests) /
                             static_cast<double>(report.mRequestsBefore);
  report.mCauses = MakeCauses(totals, scale);
  report.mEndpoints = PlacesOf(totals, EndpointOf, IsNotServed);
  report.mFailureDomains = PlacesOf(totals, FailureDomainOf, IsNotServed);
  report.mWorkspaces = MakeWorkspaces(totals);
  report.mPoints = MakePoints(mWindow.mCurrent, minutes);
  return report;
}

} // namespace bulrushfold
