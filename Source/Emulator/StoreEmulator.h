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
  /** Changes that a watch can go back. */
  std::size_t mMaxHistory = 10'000;
  double mWritesPerSecond = 0;
  double mReadsPerSecond = 0;
  Duration mVmLag{};
};

/** Faults of the store that tests set. */
struct StoreFaults
{
  bool mIsDown = false;
  /** Probability that a write takes effect and its answer is lost. */
  double mLoseAnswers = 0;
  Duration mVmLag{};
};

/** The platform's object API and VM list, for tests. */
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
  /** Counts the call; false after it was refused as too many or as outage. */
  bool Admit(const Call& aCall, const std::string& aKind, RateLimit& aLimit);
  /** Tells the watches and answers a write, or loses its answer. */
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
