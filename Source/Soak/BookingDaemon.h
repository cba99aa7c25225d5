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

/** A simulated daemon: the real decision classes, wired to fakes. */
class BookingDaemon
{
public:
  /** Sizes and times of the scenario. */
  struct Options
  {
    BookingSettings mBookings;
    BookingTableLimits mTable;
    Duration mClockGapLimit{};
  };

  /** Parts of the world that the daemon reaches. */
  struct Hooks
  {
    /** The daemon that aDaemon believes to be the owner of a shard. */
    std::function<BookingDaemon*(const BookingDaemon&, std::uint64_t)> mOwner;
    std::function<void(BookingDaemon&, const DispatchCall&)> mDispatch;
    std::function<void(BookingDaemon&, const AnswerCaller&)> mAnswer;
  };

  BookingDaemon(SoakContext& aContext,
                std::string aName,
                const Options& aOptions,
                FaultyStore& aStore,
                FaultyNetwork& aNetwork,
                const Hooks& aHooks);

  FakeProcess& Process() { return mProcess; }
  SkewedClock& Calendar() { return mClock; }
  const std::string& Name() const { return mProcess.Name(); }
  /** Replaces the process by a new incarnation with empty memory. */
  void Restart();
  /** Lets the membership view decide which shards this daemon owns. */
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
  using BeginHook = std::function<void(const wire::BookingBeginReply&)>;
  using ResultHook = std::function<void(const wire::BookingResultReply&)>;

  void Build();
  void ScheduleTurn();
  void Run(const RegistryActions& aActions);
  void RunOne(const SendBegin& aAction);
  void RunOne(const SendResult& aAction);
  void RunOne(const DispatchCall& aAction);
  void RunOne(const AnswerCaller& aAction);
  void Run(std::uint64_t aShard, const BookingActions& aActions);
  void RunShard(std::uint64_t aShard, const BookingAction& aAction);
  void Write(std::uint64_t aShard, const WriteObject& aAction);
  void WriteEarlyAck(std::uint64_t aShard, const WriteObject& aAction);
  void ReceiveBegin(std::uint64_t aShard,
                    const wire::BookingBegin& aBegin,
                    const BeginHook& aHook);
  void ReceiveResult(std::uint64_t aShard,
                     const wire::BookingResult& aResult,
                     const ResultHook& aHook);

  SoakContext& mContext;
  FakeProcess mProcess;
  SkewedClock mClock;
  Options mOptions;
  FaultyStore& mStore;
  FaultyNetwork& mNetwork;
  const Hooks& mHooks;
  std::unique_ptr<BookingRegistry> mRegistry;
  std::vector<std::unique_ptr<BookingShard>> mShards;
  ReplyToken mLastToken = 0;
  std::map<ReplyToken, BeginHook> mBegins;
  std::map<ReplyToken, ResultHook> mResults;
};

} // namespace bulrushfold

#endif
