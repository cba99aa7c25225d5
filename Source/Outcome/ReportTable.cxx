#include "Outcome/Report.h"

#include <algorithm>

#include "Outcome/TextTable.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace bulrushfold {

namespace {

std::string
ShareOf(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? "-"
                     : absl::StrFormat("%.1f%%",
                                       100.0 * static_cast<double>(aPart) /
                                         static_cast<double>(aWhole));
}

std::string
PlaceName(const ReportPlace& aPlace)
{
  return aPlace.mFailureDomain.empty()
           ? aPlace.mName
           : absl::StrCat(aPlace.mName, " (", aPlace.mFailureDomain, ")");
}

/** The most frequent place and its share. */
std::string
TopPlace(const std::vector<ReportPlace>& aPlaces, std::uint64_t aCount)
{
  if (aPlaces.empty()) {
    return "-";
  }
  return absl::StrCat(
    PlaceName(aPlaces.front()), " ", ShareOf(aPlaces.front().mCount, aCount));
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
                absl::StrCat(it.mBefore),
                absl::StrFormat("%.0f", it.mExpected),
                TopPlace(it.mHops, it.mCount),
                TopPlace(it.mEndpoints, it.mCount),
                TopPlace(it.mFailureDomains, it.mCount),
                TopPlace(it.mWorkspaces, it.mCount) });
  }
  return table.Format();
}

std::string
PlaceTable(const std::string& aTitle, const std::vector<ReportPlace>& aPlaces)
{
  if (aPlaces.empty()) {
    return "";
  }
  TextTable table({ aTitle, "NOT SERVED", "BEFORE", "REQUESTS" });
  for (const auto& it : aPlaces) {
    table.Add({ PlaceName(it),
                absl::StrCat(it.mCount),
                absl::StrCat(it.mBefore),
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
  absl::StrAppend(&text,
                  " requests, ",
                  aReport.mNotServed,
                  " not served in time (",
                  ShareOf(aReport.mNotServed, aReport.mRequests),
                  "); before: ",
                  aReport.mRequestsBefore,
                  " requests, ",
                  aReport.mNotServedBefore,
                  " not served in time (",
                  ShareOf(aReport.mNotServedBefore, aReport.mRequestsBefore),
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
  text += PlaceTable("ENDPOINT", aReport.mEndpoints);
  text += PlaceTable("FAILURE DOMAIN", aReport.mFailureDomains);
  text += PlaceTable("WORKSPACE", aReport.mWorkspaces);
  return text;
}

} // namespace bulrushfold
