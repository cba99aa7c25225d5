#include "Outcome/Metrics.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <string_view>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "OutcomeFixture.h"

namespace bulrushfold {

namespace {

const MetricInfo kRequests{ "bulrushfold_requests_total",
                            "Requests.",
                            { "workspace", "cause" } };

/** Removes the longest prefix of aText that consists of aAllowed. */
bool
ConsumeAll(std::string_view& aText, std::string_view aAllowed)
{
  const auto n = std::min(aText.find_first_not_of(aAllowed), aText.size());
  aText.remove_prefix(n);
  return n > 0;
}

bool
ConsumePrefix(std::string_view& aText, std::string_view aPrefix)
{
  const bool hasPrefix = aText.substr(0, aPrefix.size()) == aPrefix;
  aText.remove_prefix(hasPrefix ? aPrefix.size() : 0);
  return hasPrefix;
}

constexpr std::string_view kNameLetters = "abcdefghijklmnopqrstuvwxyz_";

/** Removes a quoted value, in which only \\, \" and \n are escapes. */
bool
ConsumeQuoted(std::string_view& aText)
{
  if (!ConsumePrefix(aText, "\"")) {
    return false;
  }
  while (!aText.empty() && aText.front() != '"') {
    if (ConsumePrefix(aText, "\\")) {
      if (aText.empty() || std::string_view("\\\"n").find(aText.front()) ==
                             std::string_view::npos) {
        return false;
      }
    }
    aText.remove_prefix(1);
  }
  return ConsumePrefix(aText, "\"");
}

bool
ConsumeLabels(std::string_view& aText)
{
  if (!ConsumePrefix(aText, "{")) {
    return true;
  }
  do {
    if (!ConsumeAll(aText, kNameLetters) || !ConsumePrefix(aText, "=") ||
        !ConsumeQuoted(aText)) {
      return false;
    }
  } while (ConsumePrefix(aText, ","));
  return ConsumePrefix(aText, "}");
}

bool
IsSample(std::string_view aLine)
{
  if (!ConsumeAll(aLine, kNameLetters) || !ConsumeLabels(aLine) ||
      !ConsumePrefix(aLine, " ")) {
    return false;
  }
  return aLine == "NaN" || aLine == "+Inf" || aLine == "-Inf" ||
         (ConsumeAll(aLine, "-+0123456789.e") && aLine.empty());
}

bool
IsComment(std::string_view aLine)
{
  if (ConsumePrefix(aLine, "# HELP ")) {
    return ConsumeAll(aLine, kNameLetters) && ConsumePrefix(aLine, " ");
  }
  return ConsumePrefix(aLine, "# TYPE ") && ConsumeAll(aLine, kNameLetters) &&
         (aLine == " counter" || aLine == " gauge" || aLine == " summary");
}

/** True when aText conforms to the Prometheus text format 0.0.4. */
bool
IsWellFormed(const std::string& aText)
{
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    if (!IsComment(line) && !IsSample(line)) {
      return false;
    }
  }
  return aText.empty() || aText.back() == '\n';
}

std::size_t
CountLines(const std::string& aText, const std::string& aPrefix)
{
  std::istringstream lines(aText);
  std::size_t n = 0;
  for (std::string line; std::getline(lines, line);) {
    n += line.rfind(aPrefix, 0) == 0 ? 1 : 0;
  }
  return n;
}

} // namespace

TEST_CASE("Metrics in the Prometheus text format")
{
  ManualClock clock;

  SUBCASE("counters, gauges and summaries")
  {
    Metrics metrics;
    metrics.GetCounter(kRequests, { "w1", "queueing" }).Add(3);
    metrics.GetGauge({ "bulrushfold_open", "Open\nrequests.", {} }).Set(-2.5);
    auto& summary = metrics.GetSummary(
      { "bulrushfold_seconds", "Time.", { "hop" } }, { "prefill" });
    for (int i = 1; i <= 1000; ++i) {
      summary.Record(Ms(i), clock.Now());
    }
    const std::string text = metrics.Format(clock.Now());
    CHECK(IsWellFormed(text));
    CHECK(text.find("bulrushfold_requests_total{workspace=\"w1\",cause="
                    "\"queueing\"} 3\n") != std::string::npos);
    CHECK(text.find("bulrushfold_open -2.5\n") != std::string::npos);
    CHECK(text.find("Open\\nrequests.") != std::string::npos);
    CHECK(text.find("bulrushfold_seconds_count{hop=\"prefill\"} 1000\n") !=
          std::string::npos);
    CHECK(text.find("bulrushfold_seconds_sum{hop=\"prefill\"} 500.5\n") !=
          std::string::npos);
    CHECK(summary.QuantileSeconds(0, clock.Now()) ==
          doctest::Approx(0.5).epsilon(0.05));
    CHECK(summary.QuantileSeconds(1, clock.Now()) ==
          doctest::Approx(0.95).epsilon(0.05));
  }

  // Guards against a format check of this test that accepts any text.
  SUBCASE("the format check rejects text that the format forbids")
  {
    for (const char* it : { "a{b=\"c\"} 1\n", "a 1\n", "a NaN\n" }) {
      CHECK(IsWellFormed(it));
    }
    for (const char* it : { "a 1",
                            "a{b=\"c\nd\"} 1\n",
                            "a{b=\"\\x\"} 1\n",
                            "a{b=\"c} 1\n",
                            "a{b=\"c\"d\"} 1\n",
                            "a{} 1\n",
                            "a b\n",
                            "# TYPE a other\n" }) {
      CAPTURE(it);
      CHECK_FALSE(IsWellFormed(it));
    }
  }

  // Guards against text from a caller that makes the metrics page malformed.
  SUBCASE("any label value yields a well-formed page")
  {
    CHECK(rc::check(
      [&clock](const std::string& aFirst, const std::string& aSecond) {
        Metrics metrics;
        metrics.GetCounter(kRequests, { aFirst, aSecond }).Add();
        metrics.GetGauge({ "bulrushfold_gauge", aFirst, {} }).Set(1);
        const std::string text = metrics.Format(clock.Now());
        RC_ASSERT(IsWellFormed(text));
        RC_ASSERT(CountLines(text, "bulrushfold_requests_total{") == 1U);
      }));
  }

  // Guards against memory that grows with the number of label values.
  SUBCASE("the number of label sets is limited and no count is lost")
  {
    Metrics metrics(10);
    for (int i = 0; i < 1000; ++i) {
      metrics.GetCounter(kRequests, { std::to_string(i), "x" }).Add();
    }
    const std::string text = metrics.Format(clock.Now());
    CHECK(CountLines(text, "bulrushfold_requests_total{") == 10);
    CHECK(text.find("{workspace=\"other\",cause=\"other\"} 991") !=
          std::string::npos);
  }

  SUBCASE("the first use of a name determines the kind of the metric")
  {
    Metrics metrics;
    metrics.GetCounter(kRequests, { "a", "b" }).Add();
    metrics.GetGauge(kRequests, { "a", "b" }).Set(7);
    const std::string text = metrics.Format(clock.Now());
    CHECK(CountLines(text, "# TYPE") == 1);
    CHECK(text.find(" 7") == std::string::npos);
  }

  SUBCASE("missing label values are empty")
  {
    Metrics metrics;
    metrics.GetCounter(kRequests, {}).Add();
    CHECK(metrics.Format(clock.Now()).find("{workspace=\"\",cause=\"\"} 1") !=
          std::string::npos);
  }
}

TEST_CASE("A latency histogram")
{
  Metrics metrics;
  const MetricInfo info{ "bulrushfold_x_seconds", "X.", { "route" } };
  LatencyHistogram& histogram = metrics.GetHistogram(info, { "r" });
  using std::chrono::milliseconds;
  for (const int it : { 1, 5, 6, 50, 51, 70'000 }) {
    histogram.Record(milliseconds(it));
  }
  CHECK(histogram.Count() == 6);
  CHECK(histogram.SumSeconds() == doctest::Approx(70.113));
  // A value that equals an upper bound belongs to the bucket of that bound.
  CHECK(histogram.CountUpTo(0) == 2);
  CHECK(histogram.CountUpTo(3) == 4);
  CHECK(histogram.CountUpTo(kHistogramBounds.size() - 1) == 5);
  const std::string text = metrics.Format(Instant());
  CHECK(text.find("# TYPE bulrushfold_x_seconds histogram") !=
        std::string::npos);
  CHECK(text.find("bulrushfold_x_seconds_bucket{route=\"r\",le=\"0.005\"} 2") !=
        std::string::npos);
  CHECK(text.find("bulrushfold_x_seconds_bucket{route=\"r\",le=\"+Inf\"} 6") !=
        std::string::npos);
  CHECK(text.find("bulrushfold_x_seconds_count{route=\"r\"} 6") !=
        std::string::npos);
}

TEST_CASE("A latency summary")
{
  ManualClock clock;
  LatencySummary summary(std::chrono::minutes(1));

  SUBCASE("has no quantiles before the first value")
  {
    CHECK(std::isnan(summary.QuantileSeconds(0, clock.Now())));
  }

  // Guards against quantiles that still include values from hours ago.
  SUBCASE("follows a change and ignores old windows")
  {
    for (int i = 0; i < 100; ++i) {
      summary.Record(Ms(10), clock.Now());
    }
    clock.Advance(std::chrono::seconds(61));
    for (int i = 0; i < 100; ++i) {
      summary.Record(Ms(500), clock.Now());
    }
    clock.Advance(std::chrono::seconds(61));
    summary.Record(Ms(500), clock.Now());
    CHECK(summary.QuantileSeconds(0, clock.Now()) == doctest::Approx(0.5));
    clock.Advance(std::chrono::minutes(10));
    CHECK(std::isnan(summary.QuantileSeconds(0, clock.Now())));
    CHECK(summary.Count() == 201);
  }
}

} // namespace bulrushfold
