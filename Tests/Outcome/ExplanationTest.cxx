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
  TimelineBuilder builder;
  Explanation ended;
  ended.mEnd = builder.At(Hop::Queue, 2000)
                 .Attempt()
                 .At(Hop::Prefill, "p1", 100)
                 .At(Hop::Decode, "e1", 10)
                 .Tokens(3, 30)
                 .End(Ending::Complete);
  Explanation inProgress;
  inProgress.mBegin =
    BeginRecord{ ended.mEnd->mRequestId, "w1", "m1", "d1", "i1",
                 ended.mEnd->mStart };

  SUBCASE("of an ended request has cause, action and spans")
  {
    Tracer tracer("d1", "suva", 100);
    tracer.Add(builder.Timeline(), *ended.mEnd, std::nullopt);
    ended.mSpans = FormatSpans(*tracer.Find(ended.mEnd->mRequestId));
    const auto json = nlohmann::json::parse(FormatExplanation(Transfer(ended)));
    CHECK(json["state"] == "ended");
    CHECK(json["cause"] == "queueing");
    CHECK(json["hop"] == "queue");
    CHECK(json["hop_ms"]["queue"] == 2000.0);
    CHECK(json["spans"].size() == 5);
    CHECK_FALSE(json["action"].get<std::string>().empty());
  }
  SUBCASE("of a request in progress has the name of its daemon")
  {
    const auto json =
      nlohmann::json::parse(FormatExplanation(Transfer(inProgress)));
    CHECK(json["state"] == "in_progress");
    CHECK(json["daemon"] == "d1");
  }
  SUBCASE("of an unknown request is empty")
  {
    CHECK_FALSE(Transfer({}).HasRecord());
  }
  SUBCASE("with malformed spans is refused")
  {
    ended.mSpans = "[";
    CHECK_FALSE(DecodeExplanation(EncodeExplanation(ended)).ok());
  }

  // Guards against using the status "lost" of a replica, which declared the
  // entry daemon dead, instead of the record of that daemon, which is still
  // alive.
  SUBCASE("with the more certain record is preferred")
  {
    Explanation lost;
    lost.mEnd = MakeLostRecord(*inProgress.mBegin);
    CHECK(PreferredExplanation(lost, ended).mEnd->mCause == Cause::Queueing);
    CHECK(PreferredExplanation(ended, lost).mEnd->mCause == Cause::Queueing);
    CHECK(PreferredExplanation(inProgress, lost).mEnd);
    CHECK(PreferredExplanation({}, inProgress).mBegin);
    CHECK(PreferredExplanation(inProgress, {}).mBegin);
  }
}

} // namespace bulrushfold
