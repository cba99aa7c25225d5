#include "Outcome/Metrics.h"

#include <cmath>
#include <regex>
#include <sstream>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "OutcomeFixture.h"

namespace bulrushfold {

namespace {

const MetricInfo kRequests{ "bulrushfold_requests_total",
                            "Requests.",
                            { "workspace", "cause" } };

/** True when aText has the form of the Prometheus text format 0.0.4. */
bool
IsWellFormed(const std::string& aText)
{
  static const std::regex kComment(
    "# (HELP [a-z_]+ [^\\n]*|TYPE [a-z_]+ (counter|gauge|summary))");
  static const std::regex kSample(
    "[a-z_]+(\\{[a-z_]+=\"([^\"\\\\\\n]|\\\\[\\\\\"n])*\""
    "(,[a-z_]+=\"([^\"\\\\\\n]|\\\\[\\\\\"n])*\")*\\})? "
    "(NaN|[+-]Inf|[-+0-9.e]+)");
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    if (!std::regex_match(line, kComment) && !std::regex_match(line, kSample)) {
      return false;
    }
  }
  return aText.empty() || aText.back() == '\n';
}

std::size_t
CountLines(const std::string& aText, const std::string& aStart)
{
  std::istringstream lines(aText);
  std::size_t n = 0;
  for (std::string line; std::getline(lines, line);) {
    n += line.rfind(aStart, 0) == 0 ? 1 : 0;
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

  // Guards against a caller whose text breaks the page of metrics.
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
  SUBCASE("label sets are bounded and no count is lost")
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

  SUBCASE("a name keeps its first kind")
  {
    Metrics metrics;
    metrics.GetCounter(kRequests, { "a", "b" }).Add();
    metrics.GetGauge(kRequests, { "a", "b" }).Set(7);
    const std::string text = metrics.Format(clock.Now());
    CHECK(CountLines(text, "# TYPE") == 1);
    CHECK(text.find(" 7") == std::string::npos);
  }

  SUBCASE("labels that are missing count as empty")
  {
    Metrics metrics;
    metrics.GetCounter(kRequests, {}).Add();
    CHECK(metrics.Format(clock.Now()).find("{workspace=\"\",cause=\"\"} 1") !=
          std::string::npos);
  }
}

TEST_CASE("A latency summary")
{
  ManualClock clock;
  LatencySummary summary(std::chrono::minutes(1));

  SUBCASE("has no quantiles before the first value")
  {
    CHECK(std::isnan(summary.QuantileSeconds(0, clock.Now())));
  }

  // Guards against a quantile that still shows the morning in the evening.
  SUBCASE("follows a change and forgets old windows")
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
