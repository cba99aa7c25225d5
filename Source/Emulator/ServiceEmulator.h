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
  /** Duration of one run. */
  Duration mRunTime{};
  /**
   * File to which each run appends its key as one line. A restarted process
   * reads the earlier runs from it. Empty: no file.
   */
  std::string mRunsFile;
};

/** Faults of a plain service, set by POST /faults. */
struct ServiceFaults
{
  /** The next call ends the process before it runs. */
  bool mCrashBeforeRun = false;
  /** The next call ends the process after it ran, before its answer. */
  bool mCrashAfterRun = false;
  /** Calls run and are not answered; their connections stay open. */
  bool mIsSilentAfterRun = false;
  /** Probability that the connection is closed after the run, unanswered. */
  double mLostAnswerProbability = 0;
};

/** Emulator of a plain service that counts the runs of each key. */
class ServiceEmulator
{
public:
  /** aCrash ends the process; in-process tests pass a function that returns. */
  ServiceEmulator(EventLoop& aLoop,
                  Random& aRandom,
                  const ServiceEmulatorSettings& aSettings,
                  std::function<void()> aCrash);

  absl::Status Listen();

private:
  using Call = std::shared_ptr<EmulatorCall>;
  void Handle(const Call& aCall);
  void HandleRun(const Call& aCall);
  /** Refuses the call and returns false if its fencing number is too low. */
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
