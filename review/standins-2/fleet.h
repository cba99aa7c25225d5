#ifndef REVIEW_STANDINS_2_FLEET_H
#define REVIEW_STANDINS_2_FLEET_H

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "standins-2/http.h"
#include "standins-2/store.h"

namespace standins {

/** The file record.txt of a case, also shown on the standard output. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

/** An order that reached a runner. */
struct Order
{
  double mAt = 0;
  std::string mHolder;
  std::uint64_t mFence = 0;
  std::string mStage;
  int mStatus = 0;
};

/** A runner of a plain service, or a model runner. */
class Runner
{
public:
  /** aStage: empty for a plain service. */
  Runner(Store& aStore,
         Record& aRecord,
         const std::string& aHost,
         std::string aId,
         std::string aService,
         std::string aZone,
         std::string aStage);
  ~Runner();

  const std::string& Id() const { return mId; }
  /** Writes its entry, as with each check-in; a store that is away refuses. */
  void CheckIn();
  std::vector<Order> Orders();
  /** Length of an answer, and the time between its events. */
  void SetEvents(int aCount, double aIntervalMs);

private:
  void Handle(const Request& aRequest, Answer& aAnswer);
  void HandleOrder(const Request& aRequest, Answer& aAnswer);
  void Stream(const Request& aRequest, Answer& aAnswer);
  /** With mMutex held: ends a change of the stage that is due. */
  void Settle();

  Store& mStore;
  Record& mRecord;
  std::string mId;
  std::string mService;
  std::string mZone;
  std::mutex mMutex;
  std::string mStage;
  std::string mNextStage;
  double mSwitchedAt = 0;
  std::uint64_t mSequence = 0;
  int mRunning = 0;
  int mEventCount = 10;
  double mEventIntervalMs = 20;
  std::vector<Order> mOrders;
  std::uint64_t mHandles = 0;
  std::atomic<bool> mIsEnding{ false };
  Server mServer;
  std::thread mCheckIns;
};

/** A machine with one router process, by the command of the deploy file. */
class Machine
{
public:
  Machine(Record& aRecord,
          std::string aName,
          std::string aZone,
          std::string aHost,
          const std::string& aStoreAddress,
          std::string aFolder);
  ~Machine();

  const std::string& Name() const { return mName; }
  const std::string& Host() const { return mHost; }
  int Port() const { return mPort; }
  /** To be called by the main thread: the process ends with its thread. */
  void Start();
  /** SIGTERM. */
  void BeginStop();
  /** True once the process has ended; SIGKILL after the grace time. */
  bool HasStopped();
  /** Both in one. */
  void Stop();
  /** SIGKILL. */
  void Kill();
  void Signal(int aSignal);
  bool IsReady() const;
  /** Value of a metric without labels; -1 if it is missing. */
  double Metric(const std::string& aName) const;
  /** The process has ended without a signal of the case. */
  bool HasCrashed();

private:
  void Wait(bool aMayBlock);

  Record& mRecord;
  std::string mName;
  std::string mZone;
  std::string mHost;
  std::string mStoreAddress;
  std::string mFolder;
  int mPort = 0;
  int mReadyPort = 0;
  int mPeerPort = 0;
  pid_t mProcess = 0;
  double mStopBegunAt = 0;
  bool mIsStopping = false;
  bool mHasCrashed = false;
};

/** A loopback prefix such as 127.37.121. whose addresses no one else uses. */
std::string PickPrefix();

/** Folder for settings and logs; the case removes it. */
std::string MakeFolder();
void RemoveFolder(const std::string& aFolder);

/** False if the variable TROUBLE is 0. */
bool HasTrouble();

} // namespace standins

#endif
