#ifndef BULRUSHFOLD_TESTS_PROCESSES_ROUTERPROCESS_H
#define BULRUSHFOLD_TESTS_PROCESSES_ROUTERPROCESS_H

#include <cstddef>
#include <string>

#include <sys/types.h>

#include "Settings/Settings.h"

namespace bulrushfold {

/** A bulrushfold-router process. Its settings file and its log are in a folder
 * that is removed with the object; the process is killed with it. */
class RouterProcess
{
public:
  /** aSettings: further lines of the settings file. */
  RouterProcess(std::string aName,
                const SocketAddress& aStore,
                const std::string& aSettings = "");
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;
  ~RouterProcess();

  void Start();
  /** Ends the process with SIGKILL. */
  void Kill();
  /** False after Kill, and if the process has ended by itself. */
  bool IsRunning();

  const std::string& Name() const { return mName; }
  const SocketAddress& CallerAddress() const { return mCallerAddress; }
  const SocketAddress& ReadinessAddress() const { return mReadinessAddress; }
  /** What the process has logged so far. */
  std::string Log() const;
  /** Most memory that the process has had resident so far, in bytes. */
  std::size_t PeakMemory() const;
  std::size_t OpenDescriptors() const;

private:
  void WriteSettings(const SocketAddress& aStore,
                     const std::string& aSettings) const;

  std::string mName;
  std::string mFolder;
  SocketAddress mCallerAddress;
  SocketAddress mReadinessAddress;
  SocketAddress mPeerAddress;
  pid_t mProcess = 0;
};

} // namespace bulrushfold

#endif
