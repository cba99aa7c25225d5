#include "Outcome/Explanation.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Outcome/Tracer.h"
#include "OutcomeFixture.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
Explanation
Transfer(const Explanation& aSent)
{
  const auto reply =
    DecodeThrift<wire::ExplainReply>(EncodeThrift(EncodeExplanation(aSent)));
  REQUIRE(reply.ok());
  const auto received = DecodeExplanation(*reply);
  REQUIRE(received.ok());
  return *received;
}
} // namespace

TEST_CASE("An explanation from another daemon")
{
  TimelineStory story;
  Explanation ended;
  ended.mEnd = story.At(Hop::Queue, 2000)
                 .Attempt()
                 .At(Hop::Prefill, "p1", 100)
                 .At(Hop::Decode, "e1", 10)
                 .Tokens(3, 30)
                 .End(Ending::Complete);
  Explanation open;
  open.mBegin = BeginRecord{ ended.mEnd->mRequestId, "w1", "m1", "d1", "i1",
                             ended.mEnd->mStart };

  SUBCASE("of an ended request names cause, action and spans")
  {
    Tracer tracer("d1", "suva", 100);
    tracer.Add(story.Timeline(), *ended.mEnd, std::nullopt);
    ended.mSpans = FormatSpans(*tracer.Find(ended.mEnd->mRequestId));
    const auto json = nlohmann::json::parse(FormatExplanation(Transfer(ended)));
    CHECK(json["state"] == "ended");
    CHECK(json["cause"] == "queueing");
    CHECK(json["hop"] == "queue");
    CHECK(json["hop_ms"]["queue"] == 2000.0);
    CHECK(json["spans"].size() == 5);
    CHECK_FALSE(json["action"].get<std::string>().empty());
  }
  SUBCASE("of a request in progress names its daemon")
  {
    const auto json = nlohmann::json::parse(FormatExplanation(Transfer(open)));
    CHECK(json["state"] == "in_progress");
    CHECK(json["daemon"] == "d1");
  }
  SUBCASE("of an unknown request is empty")
  {
    CHECK_FALSE(Transfer({}).HasRecord());
  }
  SUBCASE("with damaged spans is refused")
  {
    ended.mSpans = "[";
    CHECK_FALSE(DecodeExplanation(EncodeExplanation(ended)).ok());
  }

  // Guards against "lost" from a replica hiding the answer of the daemon that
  // still lives.
  SUBCASE("the better of two answers is taken")
  {
    Explanation lost;
    lost.mEnd = MakeLostRecord(*open.mBegin);
    CHECK(PreferredExplanation(lost, ended).mEnd->mCause == Cause::Queueing);
    CHECK(PreferredExplanation(ended, lost).mEnd->mCause == Cause::Queueing);
    CHECK(PreferredExplanation(open, lost).mEnd);
    CHECK(PreferredExplanation({}, open).mBegin);
    CHECK(PreferredExplanation(open, {}).mBegin);
  }
}

} // namespace bulrushfold
