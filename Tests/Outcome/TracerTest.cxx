#include "Outcome/Tracer.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "OutcomeFixture.h"

namespace bulrushfold {

using Json = nlohmann::json;

TEST_CASE("A traceparent header")
{
  const std::string valid =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

  SUBCASE("is parsed and formatted")
  {
    const auto context = ParseTraceparent(valid);
    REQUIRE(context);
    CHECK(context->mTraceId == "4bf92f3577b34da6a3ce929d0e0e4736");
    CHECK(context->mParentSpanId == "00f067aa0ba902b7");
    CHECK(context->mIsSampled);
    CHECK(FormatTraceparent(*context) == valid);
  }

  SUBCASE("of a later version may have more fields")
  {
    CHECK(ParseTraceparent("01" + valid.substr(2) + "-more"));
    CHECK_FALSE(ParseTraceparent(valid + "-more"));
    CHECK_FALSE(ParseTraceparent("01" + valid.substr(2) + "more"));
    CHECK_FALSE(ParseTraceparent("ff" + valid.substr(2)));
  }

  SUBCASE("that breaks the format is refused")
  {
    CHECK_FALSE(ParseTraceparent(""));
    CHECK_FALSE(ParseTraceparent(valid.substr(0, 54)));
    CHECK_FALSE(ParseTraceparent(
      "00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
    CHECK_FALSE(ParseTraceparent(
      "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"));
    CHECK_FALSE(ParseTraceparent(
      "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"));
  }

  // Guards against header bytes from outside that crash the daemon or get
  // into a trace.
  SUBCASE("of any bytes is refused or gives a valid context")
  {
    CHECK(rc::check([&valid](const std::string& aBytes) {
      std::string text = valid;
      const auto at = *rc::gen::inRange<std::size_t>(0, valid.size());
      text.replace(at, std::min(aBytes.size(), valid.size() - at), aBytes);
      for (const auto& it : { text, aBytes }) {
        const auto context = ParseTraceparent(it);
        const bool isSound =
          !context ||
          (context->mTraceId.size() == 32 &&
           ParseTraceparent(FormatTraceparent(*context))->mTraceId ==
             context->mTraceId);
        RC_ASSERT(isSound);
      }
    }));
  }
}

TEST_CASE("The tracer")
{
  TimelineStory story;
  const auto record = story.At(Hop::Admission, 1)
                        .Attempt()
                        .At(Hop::Prefill, "p1", 300)
                        .Fault(FaultKind::EndpointDied)
                        .Attempt()
                        .At(Hop::Prefill, "p2", 300)
                        .At(Hop::Decode, "e1", 10)
                        .Tokens(3, 30)
                        .End(Ending::Complete);
  Tracer tracer("d1", "suva", 100);

  SUBCASE("keeps one span for each hop, with endpoint and fault")
  {
    tracer.Add(story.Timeline(), record, std::nullopt);
    const auto* trace = tracer.Find(record.mRequestId);
    REQUIRE(trace != nullptr);
    REQUIRE(trace->mSpans.size() == 6);
    CHECK(trace->mSpans[0].mName == "request");
    CHECK(trace->mSpans[3].mName == "prefill");
    CHECK(trace->mSpans[3].mFault == "endpoint_died");
    CHECK(trace->mSpans[3].mEndpoint->mName == "p1");
    CHECK(trace->mSpans[3].mLength == Ms(300));
    CHECK(trace->mSpans[4].mAttempt == 2);
    CHECK(tracer.Find("unknown") == nullptr);
    CHECK(Json::parse(FormatSpans(*trace)).size() == 6);
  }

  SUBCASE("exports OTLP JSON once")
  {
    const TraceContext parent{ record.mTraceId, "00f067aa0ba902b7", true };
    tracer.Add(story.Timeline(), record, parent);
    const auto body = tracer.CollectExport(100);
    REQUIRE(body);
    CHECK_FALSE(tracer.CollectExport(100));
    const Json json = Json::parse(*body);
    const Json& spans = json["resourceSpans"][0]["scopeSpans"][0]["spans"];
    REQUIRE(spans.size() == 6);
    CHECK(spans[0]["parentSpanId"] == "00f067aa0ba902b7");
    for (std::size_t i = 1; i < spans.size(); ++i) {
      CHECK(spans[i]["parentSpanId"] == spans[0]["spanId"]);
      CHECK(spans[i]["traceId"] == record.mTraceId);
      CHECK(spans[i]["spanId"] == SpanIdOf(record.mRequestId, i));
      CHECK(std::stoull(spans[i]["endTimeUnixNano"].get<std::string>()) >=
            std::stoull(spans[i]["startTimeUnixNano"].get<std::string>()));
    }
  }

  SUBCASE("does not export what the caller does not sample")
  {
    tracer.Add(story.Timeline(),
               record,
               TraceContext{ record.mTraceId, "00f067aa0ba902b7", false });
    CHECK_FALSE(tracer.CollectExport(100));
    CHECK(tracer.Find(record.mRequestId) != nullptr);
  }

  // Guards against memory that grows while no collector answers.
  SUBCASE("is bounded and counts what it could not export")
  {
    for (int i = 0; i < 50; ++i) {
      tracer.Add(story.Timeline(), record, std::nullopt);
    }
    CHECK(tracer.SpanCount() <= 100);
    CHECK(tracer.SpanCount() + tracer.Unexported() == 50 * 6);
  }

  // Guards against an export that fails for text that is not UTF-8.
  SUBCASE("exports any names")
  {
    CHECK(rc::check([&](const std::string& aText) {
      Tracer it("d1", aText, 100);
      OutcomeRecord named = record;
      named.mWorkspace = aText;
      named.mTarget = aText;
      it.Add(story.Timeline(), named, std::nullopt);
      RC_ASSERT(Json::accept(it.CollectExport(100).value_or("")));
      RC_ASSERT(Json::accept(FormatOutcome(named)));
    }));
  }
}

} // namespace bulrushfold
