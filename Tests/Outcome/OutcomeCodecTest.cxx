#include "Outcome/OutcomeCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "OutcomeFixture.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {

OutcomeRecord
ServedRecord()
{
  TimelineStory story;
  return story.At(Hop::Admission, 1)
    .Attempt()
    .At(Hop::Reservation, 2)
    .At(Hop::Prefill, "prefill-1", 300)
    .At(Hop::Transfer, "decode-1", 20)
    .At(Hop::Decode, "decode-1", 10)
    .Tokens(200, 30)
    .End(Ending::Complete);
}

OutcomeRecord
LateRecord()
{
  TimelineStory story;
  story.Timeline().PartialRecord().mTraceId =
    "4bf92f3577b34da6a3ce929d0e0e4736";
  return story.At(Hop::Admission, 1)
    .At(Hop::Queue, 400)
    .Attempt()
    .At(Hop::Reservation, 2)
    .At(Hop::Prefill, "prefill-1", 300)
    .At(Hop::Transfer, "decode-1", 20)
    .Fault(FaultKind::EndpointDied)
    .Attempt()
    .At(Hop::Prefill, "prefill-2", 300)
    .At(Hop::Transfer, "decode-2", 20)
    .At(Hop::Decode, "decode-2", 10)
    .Tokens(200, 30)
    .At(Hop::Delivery, 1)
    .End(Ending::Complete);
}

OutcomeRecord
RefusedRecord()
{
  TimelineStory story;
  return story.At(Hop::Admission, 1).End(Ending::Refused, Cause::RateLimit);
}

OutcomeRecords
Repeat(const OutcomeRecord& aRecord, int aCount)
{
  Random random(5);
  OutcomeRecords records;
  records.mDaemon = "d1";
  records.mIncarnation = "i1";
  for (int i = 0; i < aCount; ++i) {
    records.mEnds.push_back(aRecord);
    auto& it = records.mEnds.back();
    const bool hasOwnTrace = it.mTraceId == TraceIdOf(it.mRequestId);
    it.mRequestId = MakeRequestId(it.mStart, random, "d1");
    if (hasOwnTrace) {
      it.mTraceId = TraceIdOf(it.mRequestId);
    }
  }
  return records;
}

double
BytesPerRecord(const OutcomeRecords& aRecords)
{
  const auto n = aRecords.mEnds.size() + aRecords.mBegins.size();
  return static_cast<double>(EncodeThrift(EncodeOutcomes(aRecords)).size()) /
         static_cast<double>(n);
}

} // namespace

TEST_CASE("Outcome records on the wire")
{
  SUBCASE("keep what explains a request that was not served in time")
  {
    const OutcomeRecord sent = LateRecord();
    OutcomeRecords records = Repeat(sent, 1);
    records.mEnds[0].mRequestId = sent.mRequestId;
    const auto bytes = EncodeThrift(EncodeOutcomes(records));
    const auto batch = DecodeThrift<wire::OutcomeBatch>(bytes);
    REQUIRE(batch.ok());
    const auto decoded = DecodeOutcomes(*batch);
    REQUIRE(decoded.ok());
    REQUIRE(decoded->mEnds.size() == 1);
    const OutcomeRecord& it = decoded->mEnds[0];
    CHECK(FormatOutcome(it) == FormatOutcome(sent));
    CHECK(it.mHopTimes == sent.mHopTimes);
    CHECK(it.mEndpoints == sent.mEndpoints);
    CHECK(it.mBlamed == sent.mBlamed);
  }

  SUBCASE("of served requests lose only their times by hop")
  {
    OutcomeRecord sent = ServedRecord();
    const auto decoded = DecodeOutcomes(EncodeOutcomes(Repeat(sent, 1)));
    REQUIRE(decoded.ok());
    OutcomeRecord it = decoded->mEnds[0];
    CHECK(it.mHopTimes == HopTimes{});
    sent.mHopTimes = {};
    sent.mRequestId = it.mRequestId;
    sent.mTraceId = TraceIdOf(it.mRequestId);
    CHECK(FormatOutcome(it) == FormatOutcome(sent));
  }

  SUBCASE("begin records are kept whole")
  {
    Random random(2);
    OutcomeRecords records;
    records.mDaemon = "d1";
    records.mIncarnation = "i1";
    const WallTime start{ std::chrono::milliseconds(1767225600123) };
    records.mBegins.push_back(
      { MakeRequestId(start, random, "d1"), "w", "m", "d1", "i1", start });
    const auto decoded = DecodeOutcomes(EncodeOutcomes(records));
    REQUIRE(decoded.ok());
    REQUIRE(decoded->mBegins.size() == 1);
    CHECK(decoded->mBegins[0].mRequestId == records.mBegins[0].mRequestId);
    CHECK(decoded->mBegins[0].mIncarnation == "i1");
    CHECK(decoded->mBegins[0].mStart == start);
  }

  // The control traffic of a daemon has a budget of 4 KB/s. Two copies of 9
  // served requests a second (30,000 by 3,500 daemons) take 1.2 KB/s at the
  // bound.
  SUBCASE("are small")
  {
    OutcomeRecords begins;
    begins.mDaemon = "d1";
    begins.mIncarnation = "i1";
    for (const auto& it : Repeat(ServedRecord(), 100).mEnds) {
      begins.mBegins.push_back(
        { it.mRequestId, it.mWorkspace, it.mTarget, "d1", "i1", it.mStart });
    }
    const double served = BytesPerRecord(Repeat(ServedRecord(), 100));
    const double late = BytesPerRecord(Repeat(LateRecord(), 100));
    const double refused = BytesPerRecord(Repeat(RefusedRecord(), 100));
    const double begin = BytesPerRecord(begins);
    MESSAGE("bytes per record: served " << served << ", late with retry "
                                        << late << ", refused " << refused
                                        << ", begin " << begin);
    CHECK(served < 64);
    CHECK(late < 128);
    CHECK(refused < 64);
    CHECK(begin < 32);
  }

  // Guards against a store whose records take up the daemon's 128 MB.
  SUBCASE("are small and whole when packed for the store")
  {
    const OutcomeRecord late = LateRecord();
    const std::string packed = PackOutcome(late);
    CHECK(packed.size() < 256);
    const auto unpacked = UnpackOutcome(packed, late.mDaemon);
    REQUIRE(unpacked);
    CHECK(FormatOutcome(*unpacked) == FormatOutcome(late));
    CHECK_FALSE(UnpackOutcome("", "d1"));
    CHECK_FALSE(UnpackOutcome("damaged", "d1"));
    CHECK(PackOutcome({}).empty());
  }

  // Guards against a peer whose batch makes the daemon read out of bounds.
  SUBCASE("with invalid indices are refused")
  {
    const auto good = EncodeOutcomes(Repeat(LateRecord(), 2));
    auto batch = good;
    SUBCASE("name")
    {
      batch.ends[0].workspace = 99;
    }
    SUBCASE("negative name")
    {
      batch.ends[0].target = -1;
    }
    SUBCASE("endpoint")
    {
      batch.ends[0].endpoints[0] = 99;
    }
    SUBCASE("endpoint's name")
    {
      batch.endpoints[0].name = 99;
    }
    SUBCASE("blamed endpoint")
    {
      batch.ends[1].blamed = 7;
    }
    SUBCASE("hop")
    {
      batch.ends[1].hop = 77;
    }
    SUBCASE("cause")
    {
      batch.ends[1].cause = 1000;
    }
    SUBCASE("hop in times")
    {
      batch.ends[1].hopTimes[0] = 50;
    }
    SUBCASE("odd times")
    {
      batch.ends[1].hopTimes.pop_back();
    }
    SUBCASE("id")
    {
      batch.ends[0].id = "short";
    }
    SUBCASE("trace id")
    {
      batch.ends[0].traceId = "short";
    }
    SUBCASE("time")
    {
      batch.ends[0].total = -5;
    }
    CHECK(DecodeOutcomes(good).ok());
    CHECK(absl::IsInvalidArgument(DecodeOutcomes(batch).status()));
  }

  SUBCASE("of any damaged bytes are decoded or refused")
  {
    const std::string good =
      EncodeThrift(EncodeOutcomes(Repeat(LateRecord(), 3)));
    CHECK(rc::check([&good] {
      std::string bytes = good;
      const auto flips = *rc::gen::inRange(1, 5);
      for (int i = 0; i < flips; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
      }
      const auto batch = DecodeThrift<wire::OutcomeBatch>(bytes);
      if (batch.ok()) {
        const auto decoded = DecodeOutcomes(*batch);
        const bool isWhole =
          !decoded.ok() || decoded->mEnds.size() == batch->ends.size();
        RC_ASSERT(isWhole);
      }
    }));
  }
}

} // namespace bulrushfold
