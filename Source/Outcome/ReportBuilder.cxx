#include "Outcome/Report.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace bulrushfold {

namespace {

/** Longest list of groups in a report, so that it stays readable. */
constexpr std::size_t kMaxGroups = 20;

using GroupName = std::pair<std::string, std::string>;
using Groups = std::map<GroupName, ReportGroup>;
using GroupNameOf = std::function<GroupName(const OutcomeKey&)>;

GroupName
HopOf(const OutcomeKey& aKey)
{
  return { std::string(HopName(aKey.mHop)), "" };
}

GroupName
EndpointOf(const OutcomeKey& aKey)
{
  return { aKey.mEndpoint, aKey.mFailureDomain };
}

GroupName
FailureDomainOf(const OutcomeKey& aKey)
{
  return { aKey.mFailureDomain, "" };
}

GroupName
WorkspaceOf(const OutcomeKey& aKey)
{
  return { aKey.mWorkspace, "" };
}

GroupName
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

/** Adds the counts that aFilter accepts to member aField of their groups. */
void
CountGroups(Groups& aGroups,
            const OutcomeCounts& aCounts,
            const GroupNameOf& aGroupNameOf,
            std::uint64_t ReportGroup::*aField,
            const std::function<bool(const OutcomeKey&)>& aFilter)
{
  for (const auto& [key, count] : aCounts) {
    const GroupName name = aGroupNameOf(key);
    if (!name.first.empty() && aFilter(key)) {
      ReportGroup& group = aGroups[name];
      group.mName = name.first;
      group.mFailureDomain = name.second;
      group.*aField += count;
    }
  }
}

std::vector<ReportGroup>
RankGroups(const Groups& aGroups)
{
  std::vector<ReportGroup> ranked;
  for (const auto& [name, group] : aGroups) {
    ranked.push_back(group);
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const ReportGroup& aLeft, const ReportGroup& aRight) {
                     return std::tie(aLeft.mCount, aLeft.mRequests) >
                            std::tie(aRight.mCount, aRight.mRequests);
                   });
  ranked.resize(std::min(ranked.size(), kMaxGroups));
  return ranked;
}

/** Sums over all parts. */
struct Totals
{
  OutcomeCounts mCurrent;
  OutcomeCounts mPrevious;
};

std::vector<ReportGroup>
GroupBy(const Totals& aTotals,
        const GroupNameOf& aGroupNameOf,
        const std::function<bool(const OutcomeKey&)>& aFilter)
{
  Groups groups;
  CountGroups(
    groups, aTotals.mCurrent, aGroupNameOf, &ReportGroup::mCount, aFilter);
  CountGroups(groups,
              aTotals.mPrevious,
              aGroupNameOf,
              &ReportGroup::mPreviousCount,
              aFilter);
  return RankGroups(groups);
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
  cause.mHops = GroupBy(aTotals, HopOf, filter);
  cause.mEndpoints = GroupBy(aTotals, EndpointOf, filter);
  cause.mFailureDomains = GroupBy(aTotals, FailureDomainOf, filter);
  cause.mWorkspaces = GroupBy(aTotals, WorkspaceOf, filter);
  cause.mTargets = GroupBy(aTotals, TargetOf, filter);
  for (const auto& it : cause.mHops) {
    cause.mCount += it.mCount;
    cause.mPreviousCount += it.mPreviousCount;
  }
  cause.mExpectedCount = static_cast<double>(cause.mPreviousCount) * aScale;
  return cause;
}

std::vector<ReportCause>
MakeCauses(const Totals& aTotals, double aScale)
{
  std::vector<ReportCause> causes;
  for (const auto& it : CauseInfos()) {
    ReportCause cause = MakeCause(it.mCause, aTotals, aScale);
    if (cause.mCount > 0 || cause.mPreviousCount > 0) {
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

std::vector<ReportGroup>
MakeWorkspaces(const Totals& aTotals)
{
  Groups groups;
  const auto all = [](const OutcomeKey&) { return true; };
  CountGroups(
    groups, aTotals.mCurrent, WorkspaceOf, &ReportGroup::mCount, IsNotServed);
  CountGroups(groups,
              aTotals.mPrevious,
              WorkspaceOf,
              &ReportGroup::mPreviousCount,
              IsNotServed);
  CountGroups(
    groups, aTotals.mCurrent, WorkspaceOf, &ReportGroup::mRequests, all);
  return RankGroups(groups);
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
  const auto priority = [](const ReportPart& aIt) {
    return std::make_pair(aIt.mIsOwn, Sum(aIt.mCurrent) + Sum(aIt.mPrevious));
  };
  if (priority(aPart) > priority(it->second)) {
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
    Merge(totals.mPrevious, part.mPrevious);
    for (const auto& it : part.mMinutes) {
      minutes[{ it.mMinute, it.mCause }] += it.mCount;
    }
  }
  Report report;
  report.mWindow = mWindow;
  report.mMissingDaemons = mMissing;
  report.mRequests = Sum(totals.mCurrent);
  report.mPreviousRequests = Sum(totals.mPrevious);
  report.mNotServed = SumNotServed(totals.mCurrent);
  report.mPreviousNotServed = SumNotServed(totals.mPrevious);
  const double scale = report.mPreviousRequests == 0
                         ? 0.0
                         : static_cast<double>(report.mRequests) /
                             static_cast<double>(report.mPreviousRequests);
  report.mCauses = MakeCauses(totals, scale);
  report.mEndpoints = GroupBy(totals, EndpointOf, IsNotServed);
  report.mFailureDomains = GroupBy(totals, FailureDomainOf, IsNotServed);
  report.mWorkspaces = MakeWorkspaces(totals);
  report.mPoints = MakePoints(mWindow.mCurrent, minutes);
  return report;
}

} // namespace bulrushfold
