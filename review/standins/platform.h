#ifndef REVIEW_STANDINS_PLATFORM_H
#define REVIEW_STANDINS_PLATFORM_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "http.h"

namespace review {

using Json = nlohmann::json;

/** The platform's store. Keys are KIND/NAME. */
class Store
{
public:
  explicit Store(const std::string& aHost);
  ~Store();

  const std::string& Address() const { return mServer.Address(); }
  /** Writes an object as the platform does, without a condition. */
  void Write(const std::string& aKey, const Json& aSpec);
  void Remove(const std::string& aKey);

private:
  struct Object
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mCreateRevision = 0;
    Json mSpec;
  };
  struct Event
  {
    std::uint64_t mRevision;
    std::string mKey;
    bool mIsDeleted;
    Json mObject;
  };

  bool Handle(Channel& aChannel, const Message& aRequest);
  bool HandleList(Channel& aChannel,
                  const Message& aRequest,
                  const std::string& aKind);
  bool HandleWatch(Channel& aChannel,
                   const Message& aRequest,
                   const std::string& aKind);
  bool HandleWrite(Channel& aChannel,
                   const Message& aRequest,
                   const std::string& aKey);
  void Put(const std::string& aKey, const Json& aSpec);
  Json ObjectJson(const std::string& aKey) const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  std::uint64_t mRevision = 100;
  std::map<std::string, Object> mObjects;
  std::vector<Event> mEvents;
  Server mServer;
};

/** One machine of the system: a process of the deploy file's command. */
class RouterProcess
{
public:
  /** aHost: a loopback address of its own. */
  RouterProcess(const std::string& aName,
                const std::string& aZone,
                const std::string& aHost,
                const std::string& aStoreAddress,
                const std::string& aFolder);
  ~RouterProcess();

  void Start();
  void Signal(int aSignal);
  /** SIGKILL, and waits for the end. */
  void Kill();
  /** True if the process ended by itself. */
  bool HasEnded();
  /** Waits until the process says that it is ready. */
  bool WaitUntilReady(double aTimeoutMs) const;
  const std::string& Front() const { return mFront; }
  const std::string& Name() const { return mName; }
  /** Resident memory of the process, in bytes. */
  std::size_t Memory() const;
  /** Peak of the resident memory, in bytes. */
  std::size_t PeakMemory() const;

private:
  std::size_t StatusField(const std::string& aName) const;

  std::string mName;
  std::string mFolder;
  std::string mSettingsPath;
  std::string mFront;
  std::string mReady;
  pid_t mProcess = -1;
};

/** A new temporary folder, removed at the end. */
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

/** A loopback host that other programs are unlikely to use. */
std::string LoopbackHost(int aNumber);

/** Memory of one machine in the settings of a small deployment. */
constexpr std::size_t kMemoryMb = 110;

} // namespace review

#endif
