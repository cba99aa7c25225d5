#include "Outcome/Report.h"

#include <algorithm>

#include "Outcome/TextTable.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace bulrushfold {

namespace {

std::string
FormatShare(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? "-"
                     : absl::StrFormat("%.1f%%",
                                       100.0 * static_cast<double>(aPart) /
                                         static_cast<double>(aWhole));
}

std::string
FormatName(const ReportGroup& aGroup)
{
  return aGroup.mFailureDomain.empty()
           ? aGroup.mName
           : absl::StrCat(aGroup.mName, " (", aGroup.mFailureDomain, ")");
}

/** Returns the most frequent group and its percentage of aCount. */
std::string
TopGroup(const std::vector<ReportGroup>& aGroups, std::uint64_t aCount)
{
  if (aGroups.empty()) {
    return "-";
  }
  return absl::StrCat(FormatName(aGroups.front()),
                      " ",
                      FormatShare(aGroups.front().mCount, aCount));
}

std::string
CauseTable(const Report& aReport)
{
  TextTable table({ "CAUSE",
                    "NOW",
                    "BEFORE",
                    "EXPECTED",
                    "HOP",
                    "ENDPOINT",
                    "FAILURE DOMAIN",
                    "WORKSPACE" });
  for (const auto& it : aReport.mCauses) {
    table.Add({ std::string(CauseName(it.mCause)),
                absl::StrCat(it.mCount),
                absl::StrCat(it.mPreviousCount),
                absl::StrFormat("%.0f", it.mExpectedCount),
                TopGroup(it.mHops, it.mCount),
                TopGroup(it.mEndpoints, it.mCount),
                TopGroup(it.mFailureDomains, it.mCount),
                TopGroup(it.mWorkspaces, it.mCount) });
  }
  return table.Format();
}

std::string
GroupTable(const std::string& aTitle, const std::vector<ReportGroup>& aGroups)
{
  if (aGroups.empty()) {
    return "";
  }
  TextTable table({ aTitle, "NOT SERVED", "BEFORE", "REQUESTS" });
  for (const auto& it : aGroups) {
    table.Add({ FormatName(it),
                absl::StrCat(it.mCount),
                absl::StrCat(it.mPreviousCount),
                it.mRequests > 0 ? absl::StrCat(it.mRequests) : "-" });
  }
  return "\n" + table.Format();
}

} // namespace

std::string
FormatReportTable(const Report& aReport)
{
  const auto& window = aReport.mWindow.mCurrent;
  std::string text = absl::StrCat(
    "last ", window.mLast - window.mFirst + 1, " min: ", aReport.mRequests);
  absl::StrAppend(
    &text,
    " requests, ",
    aReport.mNotServed,
    " not served in time (",
    FormatShare(aReport.mNotServed, aReport.mRequests),
    "); before: ",
    aReport.mPreviousRequests,
    " requests, ",
    aReport.mPreviousNotServed,
    " not served in time (",
    FormatShare(aReport.mPreviousNotServed, aReport.mPreviousRequests),
    ")\n");
  if (!aReport.mMissingDaemons.empty()) {
    absl::StrAppend(&text,
                    "no answer from: ",
                    ToPrintable(absl::StrJoin(aReport.mMissingDaemons, ", ")),
                    "\n");
  }
  if (aReport.mCauses.empty()) {
    return text;
  }
  absl::StrAppend(&text, "\n", CauseTable(aReport));
  const CauseInfo& first = InfoOf(aReport.mCauses.front().mCause);
  absl::StrAppend(&text,
                  "\n",
                  std::string(first.mName),
                  ": ",
                  std::string(first.mExplanation),
                  "\nsuggested action: ",
                  std::string(first.mSuggestedAction),
                  "\n");
  text += GroupTable("ENDPOINT", aReport.mEndpoints);
  text += GroupTable("FAILURE DOMAIN", aReport.mFailureDomains);
  text += GroupTable("WORKSPACE", aReport.mWorkspaces);
  return text;
}

} // namespace bulrushfold
