#ifndef BULRUSHFOLD_SOAK_BOOKINGDAEMON_H
#define BULRUSHFOLD_SOAK_BOOKINGDAEMON_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Booking/BookingRegistry.h"
#include "Booking/BookingShard.h"
#include "Soak/FakeProcess.h"
#include "Soak/FaultyNetwork.h"
#include "Soak/FaultyStore.h"
#include "Soak/SkewedClock.h"

namespace bulrushfold {

/** A simulated daemon: real state machines, connected to fakes. */
class BookingDaemon
{
public:
  /** Configuration of the state machines. */
  struct Options
  {
    BookingSettings mBookings;
    BookingTableLimits mTableLimits;
    Duration mClockGapLimit{};
  };

  /** Callbacks to the scenario. */
  struct Callbacks
  {
    /** Owner of a shard in the membership view of the given daemon. */
    std::function<BookingDaemon*(const BookingDaemon&, std::uint64_t)> mOwner;
    std::function<void(BookingDaemon&, const DispatchCall&)> mDispatch;
    std::function<void(BookingDaemon&, const AnswerCaller&)> mAnswer;
  };

  BookingDaemon(SoakContext& aContext,
                std::string aName,
                const Options& aOptions,
                FaultyStore& aStore,
                FaultyNetwork& aNetwork,
                const Callbacks& aCallbacks);

  FakeProcess& Process() { return mProcess; }
  SkewedClock& ProcessClock() { return mClock; }
  const std::string& Name() const { return mProcess.Name(); }
  /** Replaces the process by a new incarnation without state. */
  void Restart();
  /** Acquires and resigns shards according to the membership view. */
  void UpdateOwnership();

  void Begin(const std::string& aRequest,
             const std::string& aKey,
             const std::string& aDigest,
             Duration aDeadline);
  void OnAnswer(const std::string& aRequest,
                const wire::BookingAnswer& aAnswer);
  void OnNotSent(const std::string& aRequest);
  void OnInterrupted(const std::string& aRequest);

  const std::vector<std::unique_ptr<BookingShard>>& Shards() const
  {
    return mShards;
  }

private:
  using BeginCallback = std::function<void(const wire::BookingBeginReply&)>;
  using ResultCallback = std::function<void(const wire::BookingResultReply&)>;

  void Build();
  void ScheduleTimer();
  void ExecuteActions(const RegistryActions& aActions);
  void Execute(const SendBegin& aAction);
  void Execute(const SendResult& aAction);
  void Execute(const DispatchCall& aAction);
  void Execute(const AnswerCaller& aAction);
  void ExecuteActions(std::uint64_t aShard, const BookingActions& aActions);
  void ExecuteShardAction(std::uint64_t aShard, const BookingAction& aAction);
  void Write(std::uint64_t aShard, const WriteObject& aAction);
  void WriteWithEarlyConfirmation(std::uint64_t aShard,
                                  const WriteObject& aAction);
  void ReceiveBegin(std::uint64_t aShard,
                    const wire::BookingBegin& aBegin,
                    const BeginCallback& aCallback);
  void ReceiveResult(std::uint64_t aShard,
                     const wire::BookingResult& aResult,
                     const ResultCallback& aCallback);

  SoakContext& mContext;
  FakeProcess mProcess;
  SkewedClock mClock;
  Options mOptions;
  FaultyStore& mStore;
  FaultyNetwork& mNetwork;
  const Callbacks& mCallbacks;
  std::unique_ptr<BookingRegistry> mRegistry;
  std::vector<std::unique_ptr<BookingShard>> mShards;
  ReplyToken mLastToken = 0;
  std::map<ReplyToken, BeginCallback> mBegins;
  std::map<ReplyToken, ResultCallback> mResults;
};

} // namespace bulrushfold

#endif
