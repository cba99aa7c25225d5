#include "Outcome/Report.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {

constexpr Minute kLast = 29'453'760;

OutcomeKey
MakeKey(Cause aCause,
        const std::string& aEndpoint,
        const std::string& aDomain,
        const std::string& aWorkspace)
{
  OutcomeKey key;
  key.mCause = aCause;
  key.mStatus = InfoOf(aCause).mUsualStatus;
  key.mHop = InfoOf(aCause).mUsualHop;
  key.mEndpoint = aEndpoint;
  key.mFailureDomain = aDomain;
  key.mWorkspace = aWorkspace;
  key.mTarget = "m1";
  return key;
}

/** An ordinary hour with the usual refusals and delays. */
ReportPart
OrdinaryPart(const std::string& aDaemon)
{
  ReportPart part;
  part.mDaemon = aDaemon;
  part.mIncarnation = "i";
  part.mIsOwn = true;
  for (auto* counts : { &part.mCurrent, &part.mBefore }) {
    (*counts)[MakeKey(Cause::ServedInTime, "", "", "w1")] = 10'000;
    (*counts)[MakeKey(Cause::RateLimit, "", "", "w2")] = 500;
    (*counts)[MakeKey(Cause::CallerDisconnected, "", "", "w1")] = 90;
    (*counts)[MakeKey(Cause::SlowDecode, "e1", "suva", "w1")] = 40;
  }
  part.mMinutes = { { kLast, Cause::ServedInTime, 10'000 },
                    { kLast - 3, Cause::RateLimit, 500 } };
  return part;
}

Report
BuildReport(const std::vector<ReportPart>& aParts)
{
  ReportBuilder builder(MakeReportWindow(kLast, 60));
  for (const auto& it : aParts) {
    builder.Add(it);
  }
  return builder.Build();
}

} // namespace

TEST_CASE("A report of an hour with a planted fault")
{
  ReportPart bad = OrdinaryPart("d1");
  ReportPart other = OrdinaryPart("d2");

  // Guards against the fault drowning in causes that are always there.
  SUBCASE("names the fault first, with endpoint, domain and workspace")
  {
    bad.mCurrent[MakeKey(Cause::EndpointTimedOut, "e7", "nadi", "w1")] = 60;
    other.mCurrent[MakeKey(Cause::EndpointTimedOut, "e7", "nadi", "w3")] = 20;
    other.mCurrent[MakeKey(Cause::EndpointTimedOut, "e8", "nadi", "w3")] = 1;
    const Report report = BuildReport({ bad, other });
    REQUIRE_FALSE(report.mCauses.empty());
    const ReportCause& first = report.mCauses[0];
    CHECK(first.mCause == Cause::EndpointTimedOut);
    CHECK(first.mCount == 81);
    CHECK(first.mBefore == 0);
    CHECK(first.mEndpoints[0].mName == "e7");
    CHECK(first.mEndpoints[0].mCount == 80);
    CHECK(first.mFailureDomains[0].mName == "nadi");
    CHECK(first.mWorkspaces[0].mName == "w1");
    CHECK(report.mRequests == 2 * (10'000 + 500 + 90 + 40) + 81);
    CHECK(report.mNotServed == 2 * (500 + 90 + 40) + 81);
  }
  SUBCASE("for each cause")
  {
    for (const auto& it : CauseInfos()) {
      if (it.mCause == Cause::ServedInTime) {
        continue;
      }
      ReportPart part = OrdinaryPart("d1");
      part.mCurrent[MakeKey(it.mCause, "e7", "nadi", "w1")] += 100;
      CAPTURE(it.mName);
      CHECK(BuildReport({ part }).mCauses[0].mCause == it.mCause);
    }
  }
  // Guards against naming the growth of the load as a fault.
  SUBCASE("compares with the hour before at the same load")
  {
    for (auto& [key, count] : bad.mCurrent) {
      count *= 3;
    }
    bad.mCurrent[MakeKey(Cause::StalledTransfer, "e7", "nadi", "w1")] = 30;
    CHECK(BuildReport({ bad }).mCauses[0].mCause == Cause::StalledTransfer);
  }
}

TEST_CASE("Parts of several daemons")
{
  // Guards against counting a dead daemon's requests once for each copy.
  SUBCASE("a dead incarnation counts once, with its largest copy")
  {
    ReportPart small = OrdinaryPart("d9");
    small.mIsOwn = false;
    small.mCurrent.clear();
    ReportPart large = OrdinaryPart("d9");
    large.mIsOwn = false;
    const auto requests = BuildReport({ large }).mRequests;
    CHECK(BuildReport({ small, large }).mRequests == requests);
    CHECK(BuildReport({ large, small, large }).mRequests == requests);
  }
  SUBCASE("a daemon's own part goes before copies")
  {
    ReportPart own = OrdinaryPart("d9");
    ReportPart copy = own;
    copy.mIsOwn = false;
    copy.mCurrent[MakeKey(Cause::DaemonDied, "", "", "w1")] = 1'000;
    CHECK(BuildReport({ copy, own }).mRequests ==
          BuildReport({ own }).mRequests);
  }
  SUBCASE("arrive as they were sent")
  {
    const std::vector<ReportPart> parts{ OrdinaryPart("d1"),
                                         OrdinaryPart("d2") };
    const auto reply =
      DecodeThrift<wire::ReportReply>(EncodeThrift(EncodeReportParts(parts)));
    REQUIRE(reply.ok());
    const auto decoded = DecodeReportParts(*reply);
    REQUIRE(decoded.ok());
    CHECK(FormatReportJson(BuildReport(*decoded)) ==
          FormatReportJson(BuildReport(parts)));
  }
  SUBCASE("with invalid numbers are refused")
  {
    const auto good = EncodeReportParts({ OrdinaryPart("d1") });
    auto reply = good;
    SUBCASE("name")
    {
      reply.parts[0].counts[0].workspace = 99;
    }
    SUBCASE("window")
    {
      reply.parts[0].counts[0].window = 2;
    }
    SUBCASE("count")
    {
      reply.parts[0].counts[0].count = -1;
    }
    SUBCASE("cause")
    {
      reply.parts[0].minutes[0].cause = -1;
    }
    CHECK(DecodeReportParts(good).ok());
    CHECK(absl::IsInvalidArgument(DecodeReportParts(reply).status()));
  }
}

TEST_CASE("Forms of a report")
{
  ReportPart part = OrdinaryPart("d1");
  const std::string hostile =
    "<script src=\"http://x/\">&'</script>\x1b[2J\xc2\x9b\n\xff";
  part.mCurrent[MakeKey(Cause::EndpointDied, hostile, hostile, hostile)] = 700;
  ReportBuilder builder(MakeReportWindow(kLast, 60));
  builder.Add(part);
  builder.AddMissingDaemon(hostile);
  const Report report = builder.Build();

  SUBCASE("JSON gives the same report back")
  {
    const std::string json = FormatReportJson(report);
    const auto parsed = ParseReportJson(json);
    REQUIRE(parsed.ok());
    CHECK(FormatReportJson(*parsed) == json);
    CHECK(FormatReportHtml(*parsed).size() > 1000);
  }
  SUBCASE("other texts are no reports")
  {
    CHECK(absl::IsInvalidArgument(ParseReportJson("").status()));
    CHECK(absl::IsInvalidArgument(ParseReportJson("{}").status()));
    CHECK(absl::IsInvalidArgument(ParseReportJson("[1]").status()));
    CHECK(rc::check([](const std::string& aText) {
      RC_ASSERT(!ParseReportJson(aText).ok());
    }));
  }

  // Guards against a name that runs as a script in the operator's browser,
  // and against a page that loads something from elsewhere.
  SUBCASE("HTML escapes all text and refers to nothing outside")
  {
    const std::string html = FormatReportHtml(report);
    CHECK(html.find("<script") == std::string::npos);
    CHECK(html.find("&lt;script") != std::string::npos);
    CHECK(html.find("<svg") != std::string::npos);
    CHECK(html.find('\x1b') == std::string::npos);
    for (const char* it : { "src=", "href=", "url(", "@import", "http:" }) {
      CAPTURE(it);
      std::string text = html;
      // The hostile name itself is text; only its escaped form may occur.
      const std::string escaped =
        "&lt;script src=&quot;http://x/&quot;&gt;&amp;&#39;&lt;/script&gt;";
      for (auto at = text.find(escaped); at != std::string::npos;
           at = text.find(escaped)) {
        text.erase(at, escaped.size());
      }
      CHECK(text.find(it) == std::string::npos);
    }
  }
  SUBCASE("any name leaves the HTML with the same tags")
  {
    const auto tagsOf = [](const std::string& aName) {
      ReportPart it;
      it.mDaemon = "d1";
      it.mCurrent[MakeKey(Cause::EndpointDied, aName, aName, aName)] = 1;
      std::string tags;
      bool inTag = false;
      for (const char c : FormatReportHtml(BuildReport({ it }))) {
        inTag = inTag || c == '<';
        tags += inTag ? std::string(1, c) : "";
        inTag = inTag && c != '>';
      }
      return tags;
    };
    const std::string expected = tagsOf("e");
    CHECK(rc::check([&](const std::string& aName) {
      RC_PRE(!aName.empty());
      RC_ASSERT(tagsOf(aName) == expected);
    }));
  }

  // Guards against a name that sends commands to the operator's terminal.
  SUBCASE("the table has no control characters")
  {
    const std::string table = FormatReportTable(report);
    CHECK(table.find('\x1b') == std::string::npos);
    CHECK(table.find('\x9b') == std::string::npos);
    CHECK(table.find("endpoint_died") != std::string::npos);
    CHECK(table.find("suggested action") != std::string::npos);
  }
  SUBCASE("an empty report has all forms too")
  {
    const Report empty = ReportBuilder(MakeReportWindow(kLast, 0)).Build();
    CHECK(ParseReportJson(FormatReportJson(empty)).ok());
    CHECK(FormatReportTable(empty).find("0 requests") != std::string::npos);
    CHECK(FormatReportHtml(empty).find("</html>") != std::string::npos);
  }
}

} // namespace bulrushfold
