#include "platform.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {
const std::string kObjects = "/api/objects/";
const std::pair<std::string, std::string> kJsonType{ "Content-Type",
                                                     "application/json" };

std::string
KindOf(const std::string& aKey)
{
  return aKey.substr(0, aKey.find('/'));
}

/** Words of the command in deploy/system.toml. */
std::vector<std::string>
DeployCommand()
{
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("run = \"", 0) == 0) {
      std::istringstream words(line.substr(7, line.rfind('"') - 7));
      std::vector<std::string> command;
      std::string word;
      while (words >> word) {
        command.push_back(word);
      }
      return command;
    }
  }
  std::fprintf(stderr, "deploy/system.toml: no command\n");
  std::exit(2);
}
} // namespace

Store::Store(const std::string& aHost)
  : mServer(aHost, [this](Channel& aChannel, const Message& aRequest) {
    return Handle(aChannel, aRequest);
  })
{
}

Store::~Store()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsStopping = true;
  mChanged.notify_all();
}

Json
Store::ObjectJson(const std::string& aKey) const
{
  const Object& object = mObjects.at(aKey);
  return { { "metadata",
             { { "name", aKey.substr(aKey.find('/') + 1) },
               { "revision", object.mRevision },
               { "create_revision", object.mCreateRevision },
               { "finalizers", Json::array() },
               { "deleting", false } } },
           { "spec", object.mSpec },
           { "status", nullptr } };
}

void
Store::Put(const std::string& aKey, const Json& aSpec)
{
  const auto it = mObjects.find(aKey);
  if (it != mObjects.end() && it->second.mSpec == aSpec) {
    return;
  }
  ++mRevision;
  Object& object = mObjects[aKey];
  object.mCreateRevision =
    object.mCreateRevision == 0 ? mRevision : object.mCreateRevision;
  object.mRevision = mRevision;
  object.mSpec = aSpec;
  mEvents.push_back({ mRevision, aKey, false, ObjectJson(aKey) });
  mChanged.notify_all();
}

void
Store::Write(const std::string& aKey, const Json& aSpec)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Put(aKey, aSpec);
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mObjects.count(aKey) == 0) {
    return;
  }
  ++mRevision;
  mObjects[aKey].mRevision = mRevision;
  mEvents.push_back({ mRevision, aKey, true, ObjectJson(aKey) });
  mObjects.erase(aKey);
  mChanged.notify_all();
}

bool
Store::Handle(Channel& aChannel, const Message& aRequest)
{
  const std::string path = aRequest.Path();
  if (path.rfind(kObjects, 0) != 0) {
    return aChannel.Answer(404, {}, "");
  }
  const std::string key = path.substr(kObjects.size());
  const bool isKind = key.find('/') == std::string::npos;
  if (aRequest.mMethod != "GET") {
    return HandleWrite(aChannel, aRequest, key);
  }
  if (isKind) {
    return aRequest.Parameter("watch").empty()
             ? HandleList(aChannel, aRequest, key)
             : HandleWatch(aChannel, aRequest, key);
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  return mObjects.count(key) == 0
           ? aChannel.Answer(404, {}, "")
           : aChannel.Answer(200, { kJsonType }, ObjectJson(key).dump());
}

bool
Store::HandleList(Channel& aChannel,
                  const Message& aRequest,
                  const std::string& aKind)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const std::string after = aKind + "/" + aRequest.Parameter("after");
  Json items = Json::array();
  for (const auto& [key, object] : mObjects) {
    if (KindOf(key) == aKind && key > after) {
      items.push_back(ObjectJson(key));
    }
  }
  return aChannel.Answer(
    200,
    { kJsonType },
    Json{ { "items", items }, { "more", false }, { "current_rev", mRevision } }
      .dump());
}

bool
Store::HandleWatch(Channel& aChannel,
                   const Message& aRequest,
                   const std::string& aKind)
{
  const std::uint64_t from = std::stoull(aRequest.Parameter("watch"));
  const std::string wait = aRequest.Parameter("wait_ms");
  const auto until =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait));
  std::unique_lock<std::mutex> lock(mMutex);
  Json events = Json::array();
  while (true) {
    for (const auto& it : mEvents) {
      if (it.mRevision > from && KindOf(it.mKey) == aKind) {
        events.push_back(
          { { "deleted", it.mIsDeleted }, { "object", it.mObject } });
      }
    }
    if (!events.empty() || mIsStopping ||
        mChanged.wait_until(lock, until) == std::cv_status::timeout) {
      break;
    }
  }
  const std::string body =
    Json{ { "events", events }, { "current_rev", mRevision } }.dump();
  lock.unlock();
  return aChannel.Answer(200, { kJsonType }, body);
}

bool
Store::HandleWrite(Channel& aChannel,
                   const Message& aRequest,
                   const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  const Json metadata =
    body.is_object() ? body.value("metadata", Json::object()) : Json::object();
  if (aRequest.mMethod == "POST") {
    const std::string key = aKey + "/" + metadata.at("name").get<std::string>();
    if (mObjects.count(key) > 0) {
      return aChannel.Answer(409, { kJsonType }, ObjectJson(key).dump());
    }
    Put(key, body.at("spec"));
    return aChannel.Answer(200, { kJsonType }, ObjectJson(key).dump());
  }
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end()) {
    return aChannel.Answer(404, {}, "");
  }
  const std::string parameter = aRequest.Parameter("revision");
  const std::uint64_t expected = metadata.value(
    "revision",
    parameter.empty() ? std::uint64_t{ 0 } : std::stoull(parameter));
  if (expected != 0 && expected != it->second.mRevision) {
    return aChannel.Answer(409, { kJsonType }, ObjectJson(aKey).dump());
  }
  if (aRequest.mMethod == "PUT") {
    Put(aKey, body.at("spec"));
    return aChannel.Answer(200, { kJsonType }, ObjectJson(aKey).dump());
  }
  ++mRevision;
  it->second.mRevision = mRevision;
  mEvents.push_back({ mRevision, aKey, true, ObjectJson(aKey) });
  mObjects.erase(it);
  mChanged.notify_all();
  return aChannel.Answer(200, { kJsonType }, "{}");
}

RouterProcess::RouterProcess(const std::string& aName,
                             const std::string& aZone,
                             const std::string& aHost,
                             const std::string& aStoreAddress,
                             const std::string& aFolder)
  : mName(aName)
  , mFolder(aFolder)
  , mSettingsPath(aFolder + "/" + aName + ".conf")
  , mFront(aHost + ":" + std::to_string(FreePort(aHost)))
  , mReady(aHost + ":" + std::to_string(FreePort(aHost)))
{
  const int internal = FreePort(aHost);
  std::ofstream file(mSettingsPath);
  file << "node_name=" << aName << "\nrole=router\nmachine_class=front\n"
       << "serves=front\nip=" << aHost << "\nzone=" << aZone
       << "\nregion=suedbayern\nzones.ingolstadt=suedbayern\n"
       << "zones.passau=suedbayern\nzones.rosenheim=suedbayern\n"
       << "listen_addrs.front=" << mFront << "\nlisten_addrs.ready=" << mReady
       << "\ninternal_ports=" << internal << "," << internal
       << "\nseeds=\nbootstrap=true\nloss_counts=false\n"
       << "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb="
       << kMemoryMb
       << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
          "limits.disk_mb=0\ndiscovery=platform\nentry=vip\n"
          "heartbeat_ms=1200\n"
          "contracts=base,drain,config,cost,retry,recover,split,stream,"
          "engine,platform\n"
          "fault_tolerance.machines=2\nfault_tolerance.zones=0\n"
          "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
          "bounds.reuse_after_s=2\nbounds.contact_ms=3000\n"
          "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
          "bounds.grace_s=8\nbounds.loss_slack_ms=200\n"
          "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
          "bounds.max_stretch_ms=5000\nbounds.retry_budget_ratio=0.2\n"
          "bounds.budget_window_s=10\nbounds.retry_budget_slack=52\n"
          "bounds.recovery_s=12\nbounds.transit_ms=120\n"
          "bounds.reuse_window_s=3\nbounds.require_fencing=false\n"
          "bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n"
       << "platform.address=" << aStoreAddress
       << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
          "platform.reads_per_s=2000\nplatform.history_s=20\n"
          "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
}

RouterProcess::~RouterProcess()
{
  Kill();
}

void
RouterProcess::Start()
{
  std::vector<std::string> command = DeployCommand();
  std::vector<char*> arguments;
  for (auto& it : command) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  const std::string log = mFolder + "/" + mName + ".log";
  const pid_t parent = getpid();
  mProcess = fork();
  if (mProcess == 0) {
    // The process also ends if the script is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("BULRUSHFOLD_SETTINGS", mSettingsPath.c_str(), 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

void
RouterProcess::Signal(int aSignal)
{
  if (mProcess > 0) {
    kill(mProcess, aSignal);
  }
}

void
RouterProcess::Kill()
{
  if (mProcess > 0) {
    kill(mProcess, SIGKILL);
    waitpid(std::exchange(mProcess, -1), nullptr, 0);
  }
}

bool
RouterProcess::HasEnded()
{
  if (mProcess > 0 && waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
    mProcess = -1;
  }
  return mProcess < 0;
}

bool
RouterProcess::WaitUntilReady(double aTimeoutMs) const
{
  const double deadline = Now() + aTimeoutMs;
  while (Now() < deadline) {
    if (const auto channel = Channel::Connect(mReady, 200); channel) {
      Message answer;
      channel->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      if (channel->ReadAnswer(answer, Now() + 500) && answer.mStatus == 200) {
        return true;
      }
    }
    SleepMs(20);
  }
  return false;
}

std::size_t
RouterProcess::StatusField(const std::string& aName) const
{
  std::ifstream file("/proc/" + std::to_string(mProcess) + "/status");
  std::string line;
  // Until the program is loaded, the figures are those of this process.
  if (!std::getline(file, line) ||
      line.find("bulrushfold") == std::string::npos) {
    return 0;
  }
  while (std::getline(file, line)) {
    if (line.rfind(aName + ":", 0) == 0) {
      return std::stoul(line.substr(aName.size() + 1)) * 1024;
    }
  }
  return 0;
}

std::size_t
RouterProcess::Memory() const
{
  return StatusField("VmRSS");
}

std::size_t
RouterProcess::PeakMemory() const
{
  return StatusField("VmHWM");
}

TemporaryFolder::TemporaryFolder()
{
  const char* base = std::getenv("TMPDIR");
  std::string path =
    std::string(base == nullptr ? "/tmp" : base) + "/bulrushfold-review-XXXXXX";
  mPath = mkdtemp(path.data()) == nullptr ? "" : path;
  if (mPath.empty()) {
    std::perror("mkdtemp");
    std::exit(2);
  }
}

TemporaryFolder::~TemporaryFolder()
{
  if (std::getenv("KEEP") == nullptr) {
    const std::string command = "rm -rf '" + mPath + "'";
    static_cast<void>(std::system(command.c_str()));
  } else {
    std::fprintf(stderr, "logs: %s\n", mPath.c_str());
  }
}

std::string
LoopbackHost(int aNumber)
{
  const int process = getpid();
  return "127." + std::to_string(1 + process % 250) + "." +
         std::to_string(process / 250 % 250) + "." +
         std::to_string(10 + aNumber);
}

} // namespace review
