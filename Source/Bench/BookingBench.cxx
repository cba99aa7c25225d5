#include <ctime>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "Booking/BookingShard.h"
#include "Soak/InMemoryStore.h"
#include "Soak/VirtualTimeQueue.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {
namespace {

// Latency of a store call; a write to the platform's store takes milliseconds.
constexpr Duration kStoreLatency = std::chrono::milliseconds(3);
constexpr Duration kServiceTime = std::chrono::milliseconds(50);
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr std::size_t kAnswerBytes = 200;
constexpr double kNanosecondsPerSecond = 1e9;

double
ProcessorSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNanosecondsPerSecond;
}

/** One shard owner with a constant mean rate of bookings, in virtual time. */
class BookingBench
{
public:
  BookingBench(double aRate, double aSeconds, std::uint64_t aSeed)
    : mRate(aRate)
    , mEvents(mClock)
    , mRandom(aSeed)
    , mShard(MakeOptions(), mClock)
    , mEnd(mClock.Now() + FromSeconds(aSeconds))
  {
  }

  void Run()
  {
    Measure([this] { return mShard.Acquire(); });
    Tick();
    Arrive();
    while (mClock.Now() < mEnd && mEvents.RunNext()) {
    }
  }

  std::uint64_t Finished() const { return mFinished; }
  double ProcessorTime() const { return mProcessorTime; }
  const BookingShard& Shard() const { return mShard; }

private:
  static BookingShardOptions MakeOptions()
  {
    BookingShardOptions options;
    options.mWriter = "bench/0190a5d4-0000-7000-8000-000000000000";
    options.mBookings.mShards = 1;
    options.mBookings.mCommitInterval = std::chrono::milliseconds(10);
    options.mBookings.mRetention = std::chrono::hours(24);
    options.mBookings.mMaxPending = 100'000;
    options.mBookings.mMaxAnswerBytes = 16384;
    return options;
  }

  /** Measures one event of the decision class and executes its actions. */
  template<typename Event>
  void Measure(const Event& aEvent)
  {
    const double start = ProcessorSeconds();
    const BookingActions actions = aEvent();
    mProcessorTime += ProcessorSeconds() - start;
    for (const auto& it : actions) {
      Execute(it);
    }
  }

  void Tick()
  {
    Measure([this] { return mShard.OnTimer(); });
    mEvents.After(kTickInterval, [this] { Tick(); });
  }

  void Arrive()
  {
    wire::BookingBegin begin;
    begin.key = MakeRecordKey("workspace", MakeUuidV7(mClock.Wall(), mRandom));
    begin.digest = std::string(32, 'd');
    begin.holder = "vatu-suva-1/0190a5d4-0000-7000-8000-000000000000";
    begin.request = MakeUuidV7(mClock.Wall(), mRandom);
    begin.remainingMs = 10'000;
    const ReplyToken token = ++mLastToken;
    mBegins[token] = begin;
    Measure([&] { return mShard.Begin(token, begin); });
    mEvents.After(FromSeconds(mRandom.Exponential(1 / mRate)),
                  [this] { Arrive(); });
  }

  void Finish(const wire::BookingBegin& aBegin)
  {
    wire::BookingResult result;
    result.key = aBegin.key;
    result.request = aBegin.request;
    result.ran = true;
    wire::BookingAnswer answer;
    answer.status = 200;
    answer.contentType = "application/json";
    answer.body = std::string(kAnswerBytes, 'a');
    answer.truncated = false;
    result.__set_answer(answer);
    Measure([&] { return mShard.Result(++mLastToken, result); });
  }

  void Execute(const BookingAction& aAction)
  {
    if (const auto* begin = std::get_if<ReplyToBegin>(&aAction)) {
      const auto node = mBegins.extract(begin->mToken);
      if (begin->mReply.verdict == wire::BookingVerdict::PERMIT) {
        mEvents.After(kServiceTime, [this, it = node.mapped()] { Finish(it); });
      }
    } else if (const auto* result = std::get_if<ReplyToResult>(&aAction)) {
      mFinished +=
        result->mReply.verdict == wire::BookingResultVerdict::RECORDED ? 1 : 0;
    } else {
      mEvents.After(kStoreLatency,
                    [this, aAction] { ExecuteStoreCall(aAction); });
    }
  }

  void ExecuteStoreCall(const BookingAction& aAction)
  {
    if (const auto* read = std::get_if<ReadObject>(&aAction)) {
      const auto answer = mStore.Get(read->mKey);
      Measure([&] { return mShard.OnRead(read->mOperation, answer); });
    } else if (const auto* write = std::get_if<WriteObject>(&aAction)) {
      const auto answer =
        mStore.Put(write->mKey, write->mBody, write->mExpected);
      Measure([&] { return mShard.OnWritten(write->mOperation, answer); });
    } else if (const auto* erase = std::get_if<DeleteObject>(&aAction)) {
      const auto answer = mStore.Delete(erase->mKey);
      Measure([&] { return mShard.OnDeleted(erase->mOperation, answer); });
    }
  }

  double mRate;
  ManualClock mClock;
  VirtualTimeQueue mEvents;
  Random mRandom;
  InMemoryStore mStore;
  BookingShard mShard;
  Instant mEnd;
  ReplyToken mLastToken = 0;
  std::map<ReplyToken, wire::BookingBegin> mBegins;
  std::uint64_t mFinished = 0;
  double mProcessorTime = 0;
};

void
PrintLine(const std::string& aCase,
          const std::string& aMetric,
          double aValue,
          double aBaseline,
          const std::string& aUnit)
{
  std::cout << "bench=booking case=" << aCase << " metric=" << aMetric
            << " value=" << aValue << " baseline=" << aBaseline
            << " ratio=" << (aBaseline > 0 ? aValue / aBaseline : 0)
            << " unit=" << aUnit << "\n";
}

/** Size of a finished record in a head object: the difference between a head
 * with records and an empty one, per record. */
double
RecordSize()
{
  wire::BookingHead head;
  head.writer = "bench";
  const auto empty = static_cast<double>(EncodeHead(head).size());
  wire::BookingRecord record;
  Random random(1);
  record.key =
    MakeRecordKey("workspace", MakeUuidV7(ManualClock().Wall(), random));
  record.digest = std::string(32, 'd');
  record.state = wire::BookingState::DONE;
  record.attempt = 1;
  record.holder = "vatu-suva-1/0190a5d4-0000-7000-8000-000000000000";
  record.request = std::string(36, 'r');
  wire::BookingAnswer answer;
  answer.status = 200;
  answer.contentType = "application/json";
  answer.body = std::string(kAnswerBytes, 'a');
  record.__set_answer(answer);
  constexpr int kRecords = 100;
  head.records.assign(kRecords, record);
  return (static_cast<double>(EncodeHead(head).size()) - empty) / kRecords;
}

void
RunCase(double aRate, double aSeconds, std::uint64_t aSeed)
{
  const std::string name = absl::StrCat("rate-", aRate);
  BookingBench bench(aRate, aSeconds, aSeed);
  bench.Run();
  const auto& counters = bench.Shard().Counters();
  const auto finished = static_cast<double>(bench.Finished());
  const auto heads = static_cast<double>(counters.mHeadWrites);
  const auto writes = heads + static_cast<double>(counters.mSegmentWrites);
  PrintLine(name, "bookings", finished / aSeconds, aRate, "1/s");
  PrintLine(name, "store_writes", writes / aSeconds, aRate, "1/s");
  PrintLine(name, "writes_per_booking", writes / finished, 1, "1");
  PrintLine(name,
            "processor_time",
            bench.ProcessorTime() / finished * 1e6,
            0,
            "us/booking");
  PrintLine(name,
            "head_bytes",
            static_cast<double>(counters.mHeadBytes) / heads,
            0,
            "bytes/write");
}

} // namespace
} // namespace bulrushfold

int
main(int aCount, char** aValues)
{
  using namespace bulrushfold;
  std::uint64_t seed = 1;
  double seconds = 20;
  CLI::App app{ "Cost of a booking at one shard; baseline: one write each" };
  app.add_option("--seed", seed, "Seed of the arrivals");
  app.add_option("--seconds", seconds, "Virtual seconds of each case");
  CLI11_PARSE(app, aCount, aValues);
  ConfigureLog(LogLevel::Error);
  PrintLine("record", "record_bytes", RecordSize(), 0, "bytes");
  for (const double rate : { 1.0, 10.0, 100.0, 1000.0, 3000.0 }) {
    RunCase(rate, seconds, seed);
  }
  return 0;
}
