#ifndef BULRUSHFOLD_EMULATOR_STOREEMULATOR_H
#define BULRUSHFOLD_EMULATOR_STOREEMULATOR_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Emulator/EmulatorServer.h"
#include "Emulator/RateLimit.h"
#include "Emulator/StoreContent.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** Settings of the store emulator. */
struct StoreEmulatorSettings
{
  SocketAddress mAddress;
  /** Number of past changes from which a watch can start. */
  std::size_t mMaxHistory = 10'000;
  double mWritesPerSecond = 0;
  double mReadsPerSecond = 0;
  Duration mVmLag{};
};

/** Faults of the store, set by POST /faults. */
struct StoreFaults
{
  bool mIsDown = false;
  /** Probability that the answer of an applied write is lost. */
  double mLostAnswerProbability = 0;
  Duration mVmLag{};
};

/** Emulator of the platform's object API and VM list. */
class StoreEmulator
{
public:
  StoreEmulator(EventLoop& aLoop,
                const Clock& aClock,
                Random& aRandom,
                const StoreEmulatorSettings& aSettings);

  absl::Status Listen();

private:
  using Call = std::shared_ptr<EmulatorCall>;
  struct Watch
  {
    Call mCall;
    std::string mPrefix;
  };
  struct VmList
  {
    Instant mSince;
    std::string mBody;
  };

  void Handle(const Call& aCall);
  void HandleTestCall(const Call& aCall);
  void HandleObject(const Call& aCall, const std::string& aKey);
  void HandlePut(const Call& aCall, const std::string& aKey);
  void HandleDelete(const Call& aCall, const std::string& aKey);
  void HandleGet(const Call& aCall, const std::string& aKey);
  void HandleList(const Call& aCall);
  void HandleWatch(const Call& aCall);
  void HandleVms(const Call& aCall);
  void SetVms(const Call& aCall);
  void SetFaults(const Call& aCall);
  void ReplyStats(const Call& aCall);
  /**
   * Counts the call. Refuses it and returns false during an outage or beyond
   * the rate limit.
   */
  bool Admit(const Call& aCall, const std::string& aKind, RateLimit& aLimit);
  /**
   * Answers an applied write, or closes its connection if its answer is to be
   * lost, and notifies the watches.
   */
  void FinishWrite(const Call& aCall,
                   HttpStatus aStatus,
                   const HttpHeaders& aHeaders);
  void NotifyWatches();
  void SendKeepAlive();
  void CloseWatches();

  const Clock& mClock;
  Random& mRandom;
  StoreEmulatorSettings mSettings;
  StoreFaults mFaults;
  StoreContent mContent;
  RateLimit mReads;
  RateLimit mWrites;
  std::map<std::string, std::uint64_t> mCounts;
  std::deque<VmList> mVmLists;
  std::vector<Watch> mWatches;
  EmulatorServer mServer;
  EventHandle mKeepAlive;
};

} // namespace bulrushfold

#endif
