#include "Outcome/Metrics.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;
using Label = std::pair<std::string, std::string>;

/** Returns aText with bytes that are not valid UTF-8 replaced by U+FFFD. */
std::string
ToValidUtf8(const std::string& aText)
{
  // ASCII is the usual case and needs no conversion by the JSON library.
  const auto isAscii = [](char aIt) { return (aIt & '\x80') == 0; };
  if (std::all_of(aText.begin(), aText.end(), isAscii)) {
    return aText;
  }
  return Json::parse(
           Json(aText).dump(-1, ' ', false, Json::error_handler_t::replace))
    .get<std::string>();
}

std::string
EscapeHelp(const std::string& aText)
{
  return absl::StrReplaceAll(ToValidUtf8(aText),
                             { { "\\", "\\\\" }, { "\n", "\\n" } });
}

std::string
EscapeLabel(const std::string& aText)
{
  return absl::StrReplaceAll(
    aText, { { "\\", "\\\\" }, { "\n", "\\n" }, { "\"", "\\\"" } });
}

std::string
FormatNumber(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  if (std::isinf(aValue)) {
    return aValue > 0 ? "+Inf" : "-Inf";
  }
  constexpr int kSignificantDigits = 15;
  char buf[40];
  std::snprintf(buf, sizeof(buf), "%.*g", kSignificantDigits, aValue);
  return buf;
}

std::vector<Label>
PairLabels(const MetricInfo& aInfo, const LabelValues& aValues)
{
  std::vector<Label> labels;
  for (std::size_t i = 0; i < aInfo.mLabelNames.size(); ++i) {
    labels.emplace_back(aInfo.mLabelNames[i], aValues[i]);
  }
  return labels;
}

void
AppendSample(std::string& aText,
             const std::string& aName,
             const std::vector<Label>& aLabels,
             const std::string& aValue)
{
  aText += aName;
  char separator = '{';
  for (const auto& [name, value] : aLabels) {
    absl::StrAppend(
      &aText, std::string(1, separator), name, "=\"", EscapeLabel(value), "\"");
    separator = ',';
  }
  absl::StrAppend(&aText, aLabels.empty() ? " " : "} ", aValue, "\n");
}

void
AppendSeries(std::string& aText,
             const MetricInfo& aInfo,
             const LabelValues& aValues,
             const Counter& aCounter,
             Instant /*aNow*/)
{
  AppendSample(aText,
               aInfo.mName,
               PairLabels(aInfo, aValues),
               absl::StrCat(aCounter.Value()));
}

void
AppendSeries(std::string& aText,
             const MetricInfo& aInfo,
             const LabelValues& aValues,
             const Gauge& aGauge,
             Instant /*aNow*/)
{
  AppendSample(aText,
               aInfo.mName,
               PairLabels(aInfo, aValues),
               FormatNumber(aGauge.Value()));
}

void
AppendSeries(std::string& aText,
             const MetricInfo& aInfo,
             const LabelValues& aValues,
             const LatencySummary& aSummary,
             Instant aNow)
{
  const auto labels = PairLabels(aInfo, aValues);
  for (std::size_t i = 0; i < kSummaryQuantiles.size(); ++i) {
    auto quantile = labels;
    quantile.emplace_back("quantile", FormatNumber(kSummaryQuantiles[i]));
    AppendSample(aText,
                 aInfo.mName,
                 quantile,
                 FormatNumber(aSummary.QuantileSeconds(i, aNow)));
  }
  AppendSample(
    aText, aInfo.mName + "_sum", labels, FormatNumber(aSummary.SumSeconds()));
  AppendSample(
    aText, aInfo.mName + "_count", labels, absl::StrCat(aSummary.Count()));
}

void
AppendSeries(std::string& aText,
             const MetricInfo& aInfo,
             const LabelValues& aValues,
             const LatencyHistogram& aHistogram,
             Instant /*aNow*/)
{
  const auto labels = PairLabels(aInfo, aValues);
  const auto append = [&](const std::string& aBound, std::uint64_t aCount) {
    auto bucket = labels;
    bucket.emplace_back("le", aBound);
    AppendSample(aText, aInfo.mName + "_bucket", bucket, absl::StrCat(aCount));
  };
  for (std::size_t i = 0; i < kHistogramBounds.size(); ++i) {
    append(FormatNumber(kHistogramBounds[i]), aHistogram.CountUpTo(i));
  }
  append("+Inf", aHistogram.Count());
  AppendSample(
    aText, aInfo.mName + "_sum", labels, FormatNumber(aHistogram.SumSeconds()));
  AppendSample(
    aText, aInfo.mName + "_count", labels, absl::StrCat(aHistogram.Count()));
}

template<typename Families>
void
AppendFamilies(std::string& aText,
               const Families& aFamilies,
               const char* aType,
               Instant aNow)
{
  for (const auto& [name, family] : aFamilies) {
    absl::StrAppend(
      &aText, "# HELP ", name, " ", EscapeHelp(family.mInfo.mHelp), "\n");
    absl::StrAppend(&aText, "# TYPE ", name, " ", aType, "\n");
    for (const auto& [values, series] : family.mSeries) {
      AppendSeries(aText, family.mInfo, values, *series, aNow);
    }
  }
}

} // namespace

Metrics::Metrics(std::size_t aMaxSeries)
  : mMaxSeries(std::max<std::size_t>(aMaxSeries, 1))
{
}

Metrics::~Metrics() = default;

template<typename Series>
Series&
Metrics::GetSeries(Families<Series>& aFamilies,
                   const MetricInfo& aInfo,
                   const LabelValues& aLabels)
{
  Family<Series>& family = aFamilies[aInfo.mName];
  if (family.mInfo.mName.empty()) {
    family.mInfo = aInfo;
  }
  LabelValues values = aLabels;
  values.resize(family.mInfo.mLabelNames.size());
  std::transform(values.begin(), values.end(), values.begin(), ToValidUtf8);
  // One series is reserved for all label sets over the limit.
  if (family.mSeries.count(values) == 0 &&
      family.mSeries.size() + 1 >= mMaxSeries) {
    std::fill(values.begin(), values.end(), std::string(kOtherLabel));
  }
  auto& series = family.mSeries[values];
  if (!series) {
    series = std::make_unique<Series>();
  }
  return *series;
}

Counter&
Metrics::GetCounter(const MetricInfo& aInfo, const LabelValues& aLabels)
{
  const auto kind = mKindOfName.emplace(aInfo.mName, &mCounters).first;
  return kind->second == &mCounters ? GetSeries(mCounters, aInfo, aLabels)
                                    : mDiscardedCounter;
}

Gauge&
Metrics::GetGauge(const MetricInfo& aInfo, const LabelValues& aLabels)
{
  const auto kind = mKindOfName.emplace(aInfo.mName, &mGauges).first;
  return kind->second == &mGauges ? GetSeries(mGauges, aInfo, aLabels)
                                  : mDiscardedGauge;
}

LatencyHistogram&
Metrics::GetHistogram(const MetricInfo& aInfo, const LabelValues& aLabels)
{
  const auto kind = mKindOfName.emplace(aInfo.mName, &mHistograms).first;
  return kind->second == &mHistograms ? GetSeries(mHistograms, aInfo, aLabels)
                                      : mDiscardedHistogram;
}

LatencySummary&
Metrics::GetSummary(const MetricInfo& aInfo, const LabelValues& aLabels)
{
  const auto kind = mKindOfName.emplace(aInfo.mName, &mSummaries).first;
  return kind->second == &mSummaries ? GetSeries(mSummaries, aInfo, aLabels)
                                     : mDiscardedSummary;
}

std::string
Metrics::Format(Instant aNow) const
{
  std::string text;
  AppendFamilies(text, mCounters, "counter", aNow);
  AppendFamilies(text, mGauges, "gauge", aNow);
  AppendFamilies(text, mHistograms, "histogram", aNow);
  AppendFamilies(text, mSummaries, "summary", aNow);
  return text;
}

} // namespace bulrushfold
