#ifndef BULRUSHFOLD_EMULATOR_SERVICEEMULATOR_H
#define BULRUSHFOLD_EMULATOR_SERVICEEMULATOR_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Base/Random.h"
#include "Emulator/EmulatorServer.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** Settings of the plain-service emulator. */
struct ServiceEmulatorSettings
{
  SocketAddress mAddress;
  bool mChecksFencing = false;
  /** Time that one run takes. */
  Duration mRunTime{};
  /**
   * File that receives one line with the key for each run, so that a restarted
   * process still knows them. Empty: none.
   */
  std::string mRunsFile;
};

/** Faults of a plain service that tests set. */
struct ServiceFaults
{
  /** The next call ends the process before it runs. */
  bool mCrashBeforeRun = false;
  /** The next call ends the process after it ran, before its answer. */
  bool mCrashAfterRun = false;
  /** Calls run, but are never answered. */
  bool mIsSilentAfterRun = false;
  /** Probability that a call runs and its connection is closed unanswered. */
  double mLoseAnswers = 0;
};

/** A plain service that counts the runs of each key, for tests. */
class ServiceEmulator
{
public:
  /** aCrash ends the process; tests pass a hook that only records the call. */
  ServiceEmulator(EventLoop& aLoop,
                  Random& aRandom,
                  const ServiceEmulatorSettings& aSettings,
                  std::function<void()> aCrash);

  absl::Status Listen();

private:
  using Call = std::shared_ptr<EmulatorCall>;
  void Handle(const Call& aCall);
  void HandleRun(const Call& aCall);
  /** False after the call was refused for its old fencing number. */
  bool CheckFencing(const Call& aCall, const std::string& aKey);
  void Run(const Call& aCall, const std::string& aKey);
  void Answer(const Call& aCall, const std::string& aKey, std::uint64_t aRun);
  void SetFaults(const Call& aCall);
  void ReadRunsFile();
  void RecordRun(const std::string& aKey);

  EventLoop& mLoop;
  Random& mRandom;
  ServiceEmulatorSettings mSettings;
  std::function<void()> mCrash;
  ServiceFaults mFaults;
  std::map<std::string, std::uint64_t> mRuns;
  std::map<std::string, std::uint64_t> mHighestFencing;
  std::map<std::string, std::uint64_t> mCounts;
  std::map<std::uint64_t, EventHandle> mRunning;
  std::uint64_t mNextRun = 1;
  EmulatorServer mServer;
};

} // namespace bulrushfold

#endif
