#include "standins-2/fleet.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {

namespace {
using Json = nlohmann::json;

constexpr double kHeartbeatMs = 1200;
constexpr double kGraceMs = 8000;
/** Time in which a runner changes its stage. */
constexpr double kSwitchoverMs = 1500;
/** Prompt tokens that an engine reads in a millisecond (the sheets). */
constexpr double kPrefillRate = 55.5556;
constexpr int kMetricsPort = 9464;
constexpr std::int64_t kBorn = 1790000000000;
} // namespace

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    std::exit(2);
  }
}

Record::~Record()
{
  std::fclose(mFile);
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (std::FILE* it : { mFile, stdout }) {
    std::fprintf(it, "%8.3f %s\n", NowMs() / 1000, aText.c_str());
    std::fflush(it);
  }
}

Runner::Runner(Store& aStore,
               Record& aRecord,
               const std::string& aHost,
               std::string aId,
               std::string aService,
               std::string aZone,
               std::string aStage)
  : mStore(aStore)
  , mRecord(aRecord)
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mStage(std::move(aStage))
  , mServer(aHost, [this](const Request& aRequest, Answer& aAnswer) {
    Handle(aRequest, aAnswer);
  })
{
  mCheckIns = std::thread([this] {
    double next = 0;
    bool wasAway = false;
    while (!mIsEnding) {
      const bool isAway = mStore.IsAway();
      // What the runners wrote is written again when the store is back.
      const bool hasReturned = wasAway && !isAway;
      bool isChanged = false;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        const std::string before = mStage;
        Settle();
        isChanged = before != mStage;
      }
      if (!isAway && (NowMs() >= next || hasReturned || isChanged)) {
        CheckIn();
        next = NowMs() + kHeartbeatMs;
      }
      wasAway = isAway;
      SleepMs(20);
    }
  });
}

Runner::~Runner()
{
  mIsEnding = true;
  mCheckIns.join();
}

void
Runner::CheckIn()
{
  Json entry = { { "service", mService }, { "address", mServer.Address() },
                 { "zone", mZone },       { "version", "v1" },
                 { "slots", 64 },         { "state", "ready" },
                 { "cold_left_ms", 0 },   { "sequence", 1 },
                 { "born", kBorn } };
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mStage.empty()) {
      entry["stage"] = mStage;
      entry["models"] = Json::array({ { { "name", "m" },
                                        { "version", 1 },
                                        { "adapters", Json::array() } } });
    }
  }
  if (!mStore.IsAway()) {
    mStore.Write("servers/" + mId, entry);
  }
}

std::vector<Order>
Runner::Orders()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mOrders;
}

void
Runner::SetEvents(int aCount, double aIntervalMs)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mEventCount = aCount;
  mEventIntervalMs = aIntervalMs;
}

void
Runner::Settle()
{
  if (!mNextStage.empty() && NowMs() >= mSwitchedAt && mRunning == 0) {
    mStage = std::exchange(mNextStage, "");
  }
}

void
Runner::Handle(const Request& aRequest, Answer& aAnswer)
{
  const std::string id = aRequest.Header("X-Request-Id");
  const std::string expected = aRequest.Header("X-Expect-Instance");
  if (!expected.empty() && expected != mId) {
    aAnswer.Reply(421, { { "X-Instance-Id", mId } }, "");
    return;
  }
  if (aRequest.mPath == "/api/order") {
    HandleOrder(aRequest, aAnswer);
    return;
  }
  if (aRequest.mPath == "/api/report") {
    const std::lock_guard<std::mutex> lock(mMutex);
    Settle();
    aAnswer.Reply(200,
                  { { "Content-Type", "application/json" } },
                  Json{ { "stage", mStage },
                        { "models", Json::array() },
                        { "busy", !mNextStage.empty() },
                        { "sequence", mSequence },
                        { "queued_requests", 0 },
                        { "active_requests", mRunning },
                        { "kv_used", 0 },
                        { "kv_total", 107085 },
                        { "handles", 0 } }
                    .dump());
    return;
  }
  if (aRequest.mPath == "/api/kv-list") {
    aAnswer.Reply(
      200,
      {},
      Json{ { "epoch", 1 }, { "next", 1 }, { "held", Json::array() } }.dump());
    return;
  }
  if (aRequest.mPath.compare(0, 5, "/api/") == 0) {
    aAnswer.Reply(200, {}, "{}");
    return;
  }
  std::string stage;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Settle();
    if (!mNextStage.empty()) {
      aAnswer.Reply(503, { { "X-Not-Run", "1" }, { "X-Request-Id", id } }, "");
      return;
    }
    stage = mStage;
  }
  const bool isPrefill = aRequest.Header("X-Serving-Stage") == "prefill";
  if (stage.empty()) {
    aAnswer.Reply(200,
                  { { "X-Request-Id", id }, { "X-Server-Stamp", mId } },
                  mService + " ran " + id);
  } else if (isPrefill != (stage == "prefill")) {
    aAnswer.Reply(421, { { "X-Instance-Id", mId } }, "");
  } else if (isPrefill) {
    const std::string count = aRequest.Header("X-Token-Count");
    SleepMs(std::atof(count.c_str()) / kPrefillRate);
    std::uint64_t handle = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      handle = ++mHandles;
    }
    aAnswer.Reply(
      200,
      { { "X-Request-Id", id }, { "Content-Type", "application/json" } },
      Json{ { "handle", mId + "-" + std::to_string(handle) },
            { "tokens", std::atoi(count.c_str()) },
            { "version", 1 } }
        .dump());
  } else {
    Stream(aRequest, aAnswer);
  }
}

void
Runner::Stream(const Request& aRequest, Answer& aAnswer)
{
  int count = 0;
  double interval = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mRunning;
    count = mEventCount;
    interval = mEventIntervalMs;
  }
  bool isOpen =
    aAnswer.Begin(200,
                  { { "X-Request-Id", aRequest.Header("X-Request-Id") },
                    { "X-Server-Stamp", mId },
                    { "X-Weight-Versions", "1" },
                    { "Content-Type", "text/event-stream" } });
  const int first = std::atoi(aRequest.Header("Last-Event-Id").c_str()) + 1;
  for (int i = first; i <= count && isOpen; ++i) {
    isOpen = aAnswer.Chunk("id: " + std::to_string(i) +
                           "\ndata: " + std::to_string(i) + "\n\n") &&
             !aAnswer.IsClosed();
    SleepMs(interval);
  }
  if (isOpen) {
    aAnswer.End();
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  --mRunning;
  Settle();
}

void
Runner::HandleOrder(const Request& aRequest, Answer& aAnswer)
{
  const Json body = Json::parse(aRequest.mBody);
  Order order;
  order.mAt = NowMs();
  order.mHolder = body.value("holder", "");
  order.mFence = body.value("fence", std::uint64_t{ 0 });
  order.mStage = body.value("stage", "");
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Settle();
    if (order.mHolder.empty() || !body.contains("fence")) {
      order.mStatus = 400;
    } else if (!mNextStage.empty() ||
               body.value("expect", mSequence) != mSequence) {
      order.mStatus = 409;
    } else if (order.mStage == mStage) {
      order.mStatus = 200;
    } else {
      order.mStatus = 202;
      ++mSequence;
      mNextStage = order.mStage;
      mSwitchedAt = NowMs() + kSwitchoverMs;
    }
    mOrders.push_back(order);
  }
  mRecord.Line("runner " + mId + " gets an order: stage " + order.mStage +
               ", holder " + order.mHolder + ", fence " +
               std::to_string(order.mFence) + "; it answers " +
               std::to_string(order.mStatus));
  aAnswer.Reply(order.mStatus, {}, "{}");
}

Machine::Machine(Record& aRecord,
                 std::string aName,
                 std::string aZone,
                 std::string aHost,
                 const std::string& aStoreAddress,
                 std::string aFolder)
  : mRecord(aRecord)
  , mName(std::move(aName))
  , mZone(std::move(aZone))
  , mHost(std::move(aHost))
  , mStoreAddress(aStoreAddress)
  , mFolder(std::move(aFolder))
  , mPort(FreePort(mHost))
  , mReadyPort(FreePort(mHost))
  , mPeerPort(FreePort(mHost))
{
  std::ofstream file(mFolder + "/" + mName + ".conf");
  file << "node_name=" << mName << "\nrole=router\nmachine_class=front\n"
       << "serves=front\nip=" << mHost << "\nzone=" << mZone
       << "\nregion=suedbayern\nlisten_addrs.front=" << mHost << ":" << mPort
       << "\nlisten_addrs.ready=" << mHost << ":" << mReadyPort
       << "\ninternal_ports=" << mPeerPort << "," << mPeerPort
       << "\nbootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\n"
       << "limits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=1000\n"
       << "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
       << "contracts=base,drain,config,cost,retry,recover,split,stream,engine,"
       << "platform\nbounds.config_apply_ms=3000\nbounds.contact_ms=4000\n"
       << "bounds.max_stretch_ms=6000\nbounds.grace_s=8\n"
       << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
       << "bounds.retry_budget_slack=52\nbounds.require_fencing=false\n"
       << "bounds.lease_ms=3000\nplatform.address=" << mStoreAddress
       << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
       << "platform.reads_per_s=2000\nplatform.history_s=20\n"
       << "platform.value_bytes=1048576\n";
}

Machine::~Machine()
{
  if (mProcess > 0) {
    kill(mProcess, SIGKILL);
    mIsStopping = true;
    Wait(true);
  }
}

void
Machine::Start()
{
  const std::string settings =
    "BULRUSHFOLD_SETTINGS=" + mFolder + "/" + mName + ".conf";
  const std::string log = mFolder + "/" + mName + ".log";
  mIsStopping = false;
  const pid_t parent = getpid();
  mProcess = fork();
  if (mProcess == 0) {
    // The routers end with the case, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(2);
    }
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, 1);
    dup2(file, 2);
    const std::string port = std::to_string(kMetricsPort);
    const char* arguments[] = {
      "target/bin/bulrushfold-router", "--metrics-port", port.c_str(), nullptr
    };
    const char* environment[] = { settings.c_str(), nullptr };
    execve(arguments[0],
           const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(2);
  }
  mRecord.Line("machine " + mName + " starts");
}

void
Machine::BeginStop()
{
  mRecord.Line("machine " + mName + " gets SIGTERM");
  mIsStopping = true;
  mStopBegunAt = NowMs();
  kill(mProcess, SIGTERM);
}

bool
Machine::HasStopped()
{
  if (mProcess == 0) {
    return true;
  }
  const bool isOverdue = NowMs() >= mStopBegunAt + kGraceMs;
  if (isOverdue) {
    kill(mProcess, SIGKILL);
  }
  Wait(isOverdue);
  if (mProcess == 0) {
    mRecord.Line("machine " + mName + " has ended");
  }
  return mProcess == 0;
}

void
Machine::Stop()
{
  BeginStop();
  while (!HasStopped()) {
    SleepMs(10);
  }
}

void
Machine::Kill()
{
  mRecord.Line("machine " + mName + " gets SIGKILL");
  mIsStopping = true;
  kill(mProcess, SIGKILL);
  Wait(true);
}

void
Machine::Signal(int aSignal)
{
  kill(mProcess, aSignal);
}

void
Machine::Wait(bool aMayBlock)
{
  int status = 0;
  if (mProcess > 0 &&
      waitpid(mProcess, &status, aMayBlock ? 0 : WNOHANG) == mProcess) {
    mProcess = 0;
    mHasCrashed = mHasCrashed || !mIsStopping;
  }
}

bool
Machine::HasCrashed()
{
  Wait(false);
  return mHasCrashed;
}

bool
Machine::IsReady() const
{
  return Call(
           mHost, mReadyPort, "GET", "/api/ready", { { "Host", "x" } }, "", 500)
           .mStatus == 200;
}

double
Machine::Metric(const std::string& aName) const
{
  const Reply reply =
    Call(mHost, kMetricsPort, "GET", "/metrics", { { "Host", "x" } }, "", 500);
  std::istringstream lines(reply.mBody);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.compare(0, aName.size() + 1, aName + " ") == 0) {
      return std::atof(line.c_str() + aName.size() + 1);
    }
  }
  return -1;
}

std::string
PickPrefix()
{
  std::random_device random;
  for (int i = 0; i < 100; ++i) {
    const std::string prefix = "127." + std::to_string(2 + random() % 250) +
                               "." + std::to_string(2 + random() % 250) + ".";
    bool isFree = true;
    for (int host = 1; host <= 40; ++host) {
      isFree =
        isFree && IsPortFree(prefix + std::to_string(host), kMetricsPort);
    }
    if (isFree) {
      return prefix;
    }
  }
  std::exit(2);
}

std::string
MakeFolder()
{
  std::string name =
    std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    std::exit(2);
  }
  return name;
}

void
RemoveFolder(const std::string& aFolder)
{
  std::error_code error;
  std::filesystem::remove_all(aFolder, error);
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

} // namespace standins
