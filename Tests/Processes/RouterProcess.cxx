#include "RouterProcess.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Net/LoopFixture.h"

namespace bulrushfold {

namespace {
/** Folder of the programs under test, set by CTest. */
std::string
ProgramFolder()
{
  const char* folder = std::getenv("CLUSTER_BIN");
  return folder == nullptr ? "build/release/bin" : folder;
}

std::string
MakeFolder()
{
  std::string name = std::filesystem::temp_directory_path() / "router-XXXXXX";
  REQUIRE(mkdtemp(name.data()) != nullptr);
  return name;
}
} // namespace

RouterProcess::RouterProcess(std::string aName,
                             const SocketAddress& aStore,
                             const std::string& aSettings)
  : mName(std::move(aName))
  , mFolder(MakeFolder())
  , mCallerAddress(FreeAddress())
  , mReadinessAddress(FreeAddress())
  , mPeerAddress(FreeAddress())
{
  WriteSettings(aStore, aSettings);
}

RouterProcess::~RouterProcess()
{
  Kill();
  std::filesystem::remove_all(mFolder);
}

void
RouterProcess::WriteSettings(const SocketAddress& aStore,
                             const std::string& aSettings) const
{
  std::ofstream file(mFolder + "/settings");
  file << "node_name=" << mName << "\nzone=z\nip=" << mPeerAddress.mHost
       << "\nlisten_addrs.front=" << FormatAddress(mCallerAddress)
       << "\nlisten_addrs.ready=" << FormatAddress(mReadinessAddress)
       << "\ninternal_ports=" << mPeerAddress.mPort << "," << mPeerAddress.mPort
       << "\nplatform.address=" << FormatAddress(aStore)
       << "\nbounds.retry_budget_slack=50\n"
       << aSettings;
}

void
RouterProcess::Start()
{
  const std::string program = ProgramFolder() + "/bulrushfold-router";
  const std::string settings = mFolder + "/settings";
  const std::string log = mFolder + "/log";
  const pid_t parent = getpid();
  mProcess = fork();
  REQUIRE(mProcess >= 0);
  if (mProcess == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    const int fd =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(program.c_str(),
          program.c_str(),
          "--settings",
          settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(1);
  }
}

void
RouterProcess::Kill()
{
  if (IsRunning()) {
    kill(mProcess, SIGKILL);
    waitpid(mProcess, nullptr, 0);
  }
  mProcess = 0;
}

bool
RouterProcess::IsRunning()
{
  if (mProcess > 0 && waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
    mProcess = 0;
  }
  return mProcess > 0;
}

std::string
RouterProcess::Log() const
{
  std::ostringstream text;
  text << std::ifstream(mFolder + "/log").rdbuf();
  return text.str();
}

std::size_t
RouterProcess::PeakMemory() const
{
  std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
  std::string word;
  while (status >> word) {
    if (std::size_t kilobytes = 0; word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * 1024;
    }
  }
  return 0;
}

std::size_t
RouterProcess::OpenDescriptors() const
{
  const std::filesystem::directory_iterator folder(
    "/proc/" + std::to_string(mProcess) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

} // namespace bulrushfold
