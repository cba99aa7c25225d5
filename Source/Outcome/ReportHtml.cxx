#include "Outcome/Report.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"

namespace bulrushfold {

namespace {

constexpr int kPlotWidth = 860;
constexpr int kPlotHeight = 220;
constexpr int kPlotMargin = 40;
constexpr std::size_t kMaxPlottedCauses = 6;
constexpr std::array<const char*, kMaxPlottedCauses + 1> kColours{
  "#c0392b", "#d68910", "#2471a3", "#7d3c98", "#148f77", "#5d6d7e", "#b2babb",
};

constexpr const char* kStyle =
  "body{font:14px sans-serif;margin:2em;max-width:64em}"
  "table{border-collapse:collapse;margin:1em 0}"
  "th,td{padding:.25em .8em;text-align:left;border-bottom:1px solid #ddd}"
  "td.n{text-align:right}.note{color:#555}"
  "svg{background:#fafafa;border:1px solid #ddd}";

/** Text as HTML content or attribute; control characters are left out. */
std::string
Escape(std::string_view aText)
{
  std::string text(aText);
  text.erase(std::remove_if(text.begin(),
                            text.end(),
                            [](unsigned char aIt) {
                              return (aIt < ' ' && aIt != '\n') || aIt == 0x7f;
                            }),
             text.end());
  return absl::StrReplaceAll(text,
                             { { "&", "&amp;" },
                               { "<", "&lt;" },
                               { ">", "&gt;" },
                               { "\"", "&quot;" },
                               { "'", "&#39;" } });
}

std::string
TextCell(std::string_view aText)
{
  return absl::StrCat("<td>", Escape(aText), "</td>");
}

std::string
NumberCell(std::uint64_t aNumber)
{
  return absl::StrCat("<td class=\"n\">", aNumber, "</td>");
}

std::string
HeaderRow(const std::vector<std::string>& aTitles)
{
  std::string html = "<tr>";
  for (const auto& it : aTitles) {
    absl::StrAppend(&html, "<th>", Escape(it), "</th>");
  }
  return html + "</tr>\n";
}

std::string
NameOf(const ReportPlace& aPlace)
{
  return aPlace.mFailureDomain.empty()
           ? aPlace.mName
           : absl::StrCat(aPlace.mName, " (", aPlace.mFailureDomain, ")");
}

std::string
TopPlaces(const std::vector<ReportPlace>& aPlaces)
{
  constexpr std::size_t kShown = 3;
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < std::min(kShown, aPlaces.size()); ++i) {
    texts.push_back(absl::StrCat(NameOf(aPlaces[i]), ": ", aPlaces[i].mCount));
  }
  return absl::StrJoin(texts, ", ");
}

std::string
CauseRows(const Report& aReport)
{
  std::string html;
  for (const auto& it : aReport.mCauses) {
    const CauseInfo& info = InfoOf(it.mCause);
    absl::StrAppend(&html,
                    "<tr>",
                    TextCell(info.mName),
                    NumberCell(it.mCount),
                    NumberCell(it.mBefore),
                    TextCell(TopPlaces(it.mHops)),
                    TextCell(TopPlaces(it.mEndpoints)),
                    TextCell(TopPlaces(it.mFailureDomains)),
                    TextCell(TopPlaces(it.mWorkspaces)));
    absl::StrAppend(&html,
                    TextCell(info.mExplanation),
                    TextCell(info.mSuggestedAction),
                    "</tr>\n");
  }
  return html;
}

std::string
PlaceSection(const std::string& aTitle, const std::vector<ReportPlace>& aPlaces)
{
  if (aPlaces.empty()) {
    return "";
  }
  std::string html = absl::StrCat("<h2>", Escape(aTitle), "</h2>\n<table>\n");
  html += HeaderRow({ "name", "not served in time", "before", "requests" });
  for (const auto& it : aPlaces) {
    absl::StrAppend(&html,
                    "<tr>",
                    TextCell(NameOf(it)),
                    NumberCell(it.mCount),
                    NumberCell(it.mBefore));
    absl::StrAppend(&html,
                    it.mRequests > 0 ? NumberCell(it.mRequests) : TextCell("-"),
                    "</tr>\n");
  }
  return html + "</table>\n";
}

/** Requests of the aSeries-th plotted cause in a minute; the last: all others.
 */
std::uint64_t
CountAt(const ReportPoint& aPoint,
        const std::vector<Cause>& aPlotted,
        std::size_t aSeries)
{
  std::uint64_t sum = 0;
  for (const auto& it : aPoint.mCauses) {
    const auto place = std::find(aPlotted.begin(), aPlotted.end(), it.mCause);
    if (static_cast<std::size_t>(place - aPlotted.begin()) == aSeries) {
      sum += it.mCount;
    }
  }
  return sum;
}

std::vector<Cause>
PlottedCauses(const Report& aReport)
{
  std::vector<Cause> causes;
  for (const auto& it : aReport.mCauses) {
    if (it.mCount > 0 && causes.size() < kMaxPlottedCauses) {
      causes.push_back(it.mCause);
    }
  }
  return causes;
}

std::uint64_t
HighestMinute(const Report& aReport)
{
  std::uint64_t highest = 1;
  for (const auto& point : aReport.mPoints) {
    std::uint64_t sum = 0;
    for (const auto& it : point.mCauses) {
      sum += it.mCount;
    }
    highest = std::max(highest, sum);
  }
  return highest;
}

std::string
Bar(double aX, double aY, double aWidth, double aHeight, const char* aColour)
{
  return absl::StrFormat(
    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
    "fill=\"%s\"/>\n",
    aX,
    aY,
    aWidth,
    aHeight,
    aColour);
}

std::string
AxisLabels(const Report& aReport, std::uint64_t aHighest)
{
  const auto& window = aReport.mWindow.mCurrent;
  return absl::StrFormat(
    "<text x=\"4\" y=\"%d\" font-size=\"11\">%d</text>\n"
    "<text x=\"4\" y=\"%d\" font-size=\"11\">0</text>\n"
    "<text x=\"%d\" y=\"%d\" font-size=\"11\">%d min ago</text>\n"
    "<text x=\"%d\" y=\"%d\" font-size=\"11\">now</text>\n",
    kPlotMargin,
    aHighest,
    kPlotHeight - kPlotMargin,
    kPlotMargin,
    kPlotHeight - kPlotMargin / 2,
    window.mLast - window.mFirst + 1,
    kPlotWidth - kPlotMargin,
    kPlotHeight - kPlotMargin / 2);
}

/** Stacked bars: requests a minute that were not served in time, by cause. */
std::string
CausePlot(const Report& aReport)
{
  const auto plotted = PlottedCauses(aReport);
  const std::uint64_t highest = HighestMinute(aReport);
  const double width =
    static_cast<double>(kPlotWidth - 2 * kPlotMargin) /
    static_cast<double>(std::max<std::size_t>(aReport.mPoints.size(), 1));
  const double scale = static_cast<double>(kPlotHeight - 2 * kPlotMargin) /
                       static_cast<double>(highest);
  std::string svg = absl::StrFormat(
    "<svg width=\"%d\" height=\"%d\" role=\"img\">\n", kPlotWidth, kPlotHeight);
  for (std::size_t i = 0; i < aReport.mPoints.size(); ++i) {
    double y = kPlotHeight - kPlotMargin;
    for (std::size_t series = 0; series <= plotted.size(); ++series) {
      const auto n = CountAt(aReport.mPoints[i], plotted, series);
      const double height = static_cast<double>(n) * scale;
      y -= height;
      if (n > 0) {
        const double x = kPlotMargin + static_cast<double>(i) * width;
        const auto colour =
          series == plotted.size() ? kMaxPlottedCauses : series;
        svg += Bar(x, y, width * 0.9, height, kColours[colour]);
      }
    }
  }
  return svg + AxisLabels(aReport, highest) + "</svg>\n";
}

std::string
Legend(const Report& aReport)
{
  const auto plotted = PlottedCauses(aReport);
  std::string html = "<p>";
  for (std::size_t i = 0; i < plotted.size(); ++i) {
    absl::StrAppend(&html,
                    "<span style=\"color:",
                    kColours[i],
                    "\">&#9632;</span> ",
                    Escape(CauseName(plotted[i])),
                    " &nbsp; ");
  }
  return html + "</p>\n";
}

std::string
Summary(const Report& aReport)
{
  const auto& window = aReport.mWindow.mCurrent;
  std::string html =
    absl::StrFormat("<p>Last %d minutes: %d requests, %d not served in time. "
                    "Before: %d requests, %d not served in time.</p>\n",
                    window.mLast - window.mFirst + 1,
                    aReport.mRequests,
                    aReport.mNotServed,
                    aReport.mRequestsBefore,
                    aReport.mNotServedBefore);
  if (!aReport.mMissingDaemons.empty()) {
    absl::StrAppend(&html,
                    "<p class=\"note\">No answer from: ",
                    Escape(absl::StrJoin(aReport.mMissingDaemons, ", ")),
                    "</p>\n");
  }
  return html;
}

} // namespace

std::string
FormatReportHtml(const Report& aReport)
{
  std::string html = absl::StrCat(
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>bulrushfold report</title><style>",
    kStyle,
    "</style></head><body>\n<h1>Causes</h1>\n",
    Summary(aReport),
    "<h2>Not served in time, requests a minute</h2>\n",
    CausePlot(aReport),
    Legend(aReport));
  html += "<table>\n" + HeaderRow({ "cause",
                                    "now",
                                    "before",
                                    "hops",
                                    "endpoints",
                                    "failure domains",
                                    "workspaces",
                                    "meaning",
                                    "suggested action" });
  html += CauseRows(aReport) + "</table>\n";
  html += PlaceSection("Endpoints", aReport.mEndpoints);
  html += PlaceSection("Failure domains", aReport.mFailureDomains);
  html += PlaceSection("Workspaces", aReport.mWorkspaces);
  return html + "</body></html>\n";
}

} // namespace bulrushfold
