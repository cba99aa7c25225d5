#include "runner.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace review {

namespace {
constexpr double kCheckInMs = 1200;
/** Tokens that one event of a stream stands for. */
constexpr int kStride = 72;
} // namespace

void
Fleet::AddRun(const std::string& aRequest, const std::string& aRunner)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRuns[aRequest].push_back(aRunner);
  }
  Log(aRunner + " runs " + aRequest);
}

std::vector<std::string>
Fleet::Runs(const std::string& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRuns[aRequest];
}

bool
Fleet::TakeAnswer(int aEvery)
{
  int answers = mAnswers;
  while (answers >= aEvery) {
    if (mAnswers.compare_exchange_weak(answers, answers - aEvery)) {
      return true;
    }
  }
  return false;
}

void
Fleet::Add(Runner* aRunner)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRunners[aRunner->Address()] = aRunner;
}

Runner*
Fleet::Find(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mRunners.find(aAddress);
  return it == mRunners.end() ? nullptr : it->second;
}

Runner::Runner(Fleet& aFleet,
               Store& aStore,
               std::string aId,
               const std::string& aHost,
               RunnerOptions aOptions)
  : mFleet(aFleet)
  , mStore(aStore)
  , mId(std::move(aId))
  , mOptions(std::move(aOptions))
  , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
  , mServer(aHost, [this](Channel& aChannel, const Message& aRequest) {
    return Serve(aChannel, aRequest);
  })
{
  mFleet.Add(this);
  mCheckIns = std::thread([this] {
    double next = 0;
    while (!mIsEnding) {
      if (mIsCheckingIn && Now() >= next) {
        next = Now() + kCheckInMs;
        Json entry;
        {
          const std::lock_guard<std::mutex> lock(mMutex);
          ++mSequence;
          entry = Entry();
        }
        mStore.Write("servers/" + mId, entry);
      }
      SleepMs(20);
    }
  });
}

Runner::~Runner()
{
  mIsEnding = true;
  mCheckIns.join();
  mServer.Kill();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (auto& [id, run] : mRuns) {
      run->mMustStop = true;
    }
    mChanged.notify_all();
  }
}

Json
Runner::Entry() const
{
  Json entry = { { "service", mOptions.mService },
                 { "address", mServer.Address() },
                 { "zone", mOptions.mZone },
                 { "version", "v1" },
                 { "slots", mOptions.mSlots },
                 { "state", mState },
                 { "cold_left_ms", 0 },
                 { "sequence", mSequence },
                 { "born", mBorn } };
  if (!mOptions.mStage.empty()) {
    entry["stage"] = mOptions.mStage;
    entry["models"] = Json::array(
      { { { "name", "m" }, { "version", 1 }, { "adapters", Json::array() } } });
  }
  return entry;
}

void
Runner::CheckIn()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mSequence;
    mStore.Write("servers/" + mId, Entry());
  }
  mIsCheckingIn = true;
}

void
Runner::StopCheckIn()
{
  mIsCheckingIn = false;
}

void
Runner::SetState(const std::string& aState)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mState = aState;
  ++mSequence;
  mStore.Write("servers/" + mId, Entry());
  mFleet.Log("the store accepts: " + mId + " is " + aState);
}

int
Runner::UnframedRuns(double aMs)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return static_cast<int>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const auto& aIt) {
      return aIt.second->mIsUnframed && Now() - aIt.second->mStartedAt < aMs;
    }));
}

void
Runner::Exit()
{
  mIsCheckingIn = false;
  mFleet.Log(mId + " exits");
  mServer.Kill();
}

Runner::Headers
Runner::WithCommon(Headers aHeaders) const
{
  if (mIsLeaving) {
    aHeaders.emplace_back("Server-Leaving", "1");
  }
  return aHeaders;
}

Runner::Headers
Runner::AnswerHeaders(const Message& aRequest) const
{
  return WithCommon(
    { { "X-Request-Id", aRequest.Header("X-Request-Id") },
      { "X-Server-Stamp", "stamp." + mId },
      { "X-Server-Load",
        std::to_string(mActive) + ",0," + std::to_string(mOptions.mSlots) } });
}

bool
Runner::Refuse(Channel& aChannel, const std::string& aWhy)
{
  mFleet.Log(mId + " answers 503 with X-Not-Run: " + aWhy);
  return aChannel.Answer(503, WithCommon({ { "X-Not-Run", "1" } }), "");
}

bool
Runner::Serve(Channel& aChannel, const Message& aRequest)
{
  const std::string expected = aRequest.Header("X-Expect-Instance");
  if (!expected.empty() && expected != mId) {
    return aChannel.Answer(421, { { "X-Instance-Id", mId } }, "");
  }
  if (mUnframedEvery > 0) {
    mFleet.CountAnswer();
  }
  if (aRequest.Path().rfind("/api/", 0) == 0) {
    return HandleCall(aChannel, aRequest);
  }
  if (mOptions.mStage.empty()) {
    return HandlePlain(aChannel, aRequest);
  }
  if (aRequest.Header("X-Serving-Stage") == "prefill") {
    return mOptions.mStage == "prefill" ? HandlePrefill(aChannel, aRequest)
                                        : aChannel.Answer(421, {}, "");
  }
  return mOptions.mStage == "decode" ? HandleDecode(aChannel, aRequest)
                                     : aChannel.Answer(421, {}, "");
}

bool
Runner::HandleCall(Channel& aChannel, const Message& aRequest)
{
  const std::string path = aRequest.Path();
  std::unique_lock<std::mutex> lock(mMutex);
  const std::string name = path.substr(path.rfind('/') + 1);
  if (path == "/api/hold-take") {
    if (static_cast<int>(mHolds.size()) + mActive >= mOptions.mSlots) {
      lock.unlock();
      return Refuse(aChannel, "no room for a hold");
    }
    const std::string hold = "hold-" + std::to_string(++mNextName);
    mHolds.insert(hold);
    lock.unlock();
    return aChannel.Answer(
      200, WithCommon({}), Json{ { "hold", hold } }.dump());
  }
  if (path.rfind("/api/hold-drop/", 0) == 0) {
    mHolds.erase(name);
  } else if (path.rfind("/api/kv-handle/", 0) == 0) {
    mFleet.Log(mId + " frees handle " + name);
    mHandles.erase(name);
  } else if (path == "/api/kv-move") {
    lock.unlock();
    return HandleMove(aChannel, aRequest);
  } else if (path == "/api/kv-list") {
    lock.unlock();
    return aChannel.Answer(
      200,
      WithCommon({}),
      Json{ { "epoch", 1 }, { "next", 1 }, { "held", Json::array() } }.dump());
  } else if (path == "/api/report") {
    const int active = mActive;
    lock.unlock();
    return aChannel.Answer(200,
                           WithCommon({}),
                           Json{ { "stage", mOptions.mStage },
                                 { "busy", false },
                                 { "sequence", 0 },
                                 { "queued_requests", 0 },
                                 { "active_requests", active } }
                             .dump());
  } else if (path == "/api/order") {
    // Another order is in progress.
    lock.unlock();
    return aChannel.Answer(409, WithCommon({}), "{}");
  } else {
    lock.unlock();
    return aChannel.Answer(404, WithCommon({}), "{}");
  }
  lock.unlock();
  return aChannel.Answer(200, WithCommon({}), "{}");
}

bool
Runner::HandleMove(Channel& aChannel, const Message& aRequest)
{
  ++mMoveCalls;
  const Json body = Json::parse(aRequest.mBody);
  const std::string request = body.at("id").get<std::string>();
  const std::string target = body.at("target").get<std::string>();
  std::string handle;
  Handle entry;
  {
    std::unique_lock<std::mutex> lock(mMutex);
    const auto it = mRuns.find(request);
    if (it == mRuns.end()) {
      lock.unlock();
      return aChannel.Answer(404, WithCommon({}), "{}");
    }
    // The run stops first, and its stream is closed without its end.
    const std::shared_ptr<Run> run = it->second;
    run->mMustStop = true;
    mChanged.notify_all();
    mChanged.wait(lock, [&] { return run->mHasStopped; });
    handle = "move-" + mId + "-" + std::to_string(++mNextName);
    entry = { request, true, run->mEvents, 0, target };
  }
  mFleet.Log(mId + " stops " + request + " after event " +
             std::to_string(entry.mEvents) + " and copies its memory to " +
             target + ", handle " + handle);
  if (mOnMoveCall) {
    mOnMoveCall();
  }
  SleepMs(mOptions.mCopyMs);
  entry.mExpiresAt = Now() + mOptions.mHandleTtlMs;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mHandles[handle] = entry;
  }
  return aChannel.Answer(
    200,
    WithCommon({}),
    Json{ { "handle", handle }, { "create_revision", entry.mEvents } }.dump());
}

bool
Runner::TakeHandle(const std::string& aHandle,
                   const std::string& aTaker,
                   Handle& aTaken)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mHandles.find(aHandle);
  if (it == mHandles.end()) {
    mFleet.Log(mId + ": handle " + aHandle + " is gone");
    return false;
  }
  const bool hasLapsed = mDoHandlesLapse || Now() > it->second.mExpiresAt;
  // A move's memory is at its target and at its source.
  const bool isThere =
    !it->second.mIsMove || aTaker == it->second.mTarget || aTaker == Address();
  if (hasLapsed || !isThere) {
    mFleet.Log(mId + ": handle " + aHandle +
               (hasLapsed ? " has lapsed" : " is not at " + aTaker));
    return false;
  }
  aTaken = it->second;
  mHandles.erase(it);
  return true;
}

bool
Runner::HandlePrefill(Channel& aChannel, const Message& aRequest)
{
  constexpr double kTokensPerMs = 55.5;
  const std::string counts = aRequest.Header("X-Token-Count");
  const double tokens = counts.empty() ? 1000 : std::stod(counts);
  SleepMs(tokens / kTokensPerMs);
  const std::string id = aRequest.Header("X-Request-Id");
  std::string handle;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    handle = "read-" + mId + "-" + std::to_string(++mNextName);
    mHandles[handle] = {
      id, false, 0, Now() + mOptions.mHandleTtlMs, std::string()
    };
  }
  mFleet.Log(mId + " reads the prompt of " + id + ", handle " + handle);
  return aChannel.Answer(200,
                         WithCommon({ { "X-Request-Id", id } }),
                         Json{ { "handle", handle },
                               { "tokens", static_cast<int>(tokens) },
                               { "version", 1 } }
                           .dump());
}

bool
Runner::HandleDecode(Channel& aChannel, const Message& aRequest)
{
  const std::string id = aRequest.Header("X-Request-Id");
  const std::string source = aRequest.Header("X-Kv-Source");
  const std::string last = aRequest.Header("Last-Event-Id");
  auto run = std::make_shared<Run>();
  run->mEvents = last.empty() ? 0 : std::stoi(last);
  bool isSameRun = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mHolds.erase(aRequest.Header("X-Kv-Hold"));
  }
  if (mActive >= mOptions.mSlots) {
    return Refuse(aChannel, "full");
  }
  if (!source.empty()) {
    const auto slash = source.find('/');
    Runner* owner = mFleet.Find(source.substr(0, slash));
    Handle taken;
    if (owner == nullptr ||
        !owner->TakeHandle(source.substr(slash + 1), Address(), taken)) {
      return Refuse(aChannel, "no memory for " + id + " from " + source);
    }
    if (taken.mRequest != id) {
      mFleet.AddMixed();
      mFleet.Log("MIXED: " + id + " goes on from the handle of " +
                 taken.mRequest);
    }
    isSameRun = taken.mIsMove;
  }
  if (isSameRun) {
    mFleet.Log(mId + " goes on with " + id + " after event " +
               std::to_string(run->mEvents));
  } else {
    run->mName = mId + (last.empty() ? "" : " (from event " + last + ")");
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRuns[id] = run;
  }
  ++mActive;
  const bool isKept = Stream(aChannel, aRequest, run);
  --mActive;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (const auto it = mRuns.find(id);
        it != mRuns.end() && it->second == run) {
      mRuns.erase(it);
    }
    run->mHasStopped = true;
    mChanged.notify_all();
  }
  return isKept;
}

bool
Runner::Stream(Channel& aChannel,
               const Message& aRequest,
               const std::shared_ptr<Run>& aRun)
{
  const std::string id = aRequest.Header("X-Request-Id");
  const bool isUnframed =
    mUnframedEvery > 0 && mFleet.TakeAnswer(mUnframedEvery);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    aRun->mIsUnframed = isUnframed;
    aRun->mStartedAt = Now();
  }
  if (isUnframed) {
    mFleet.Log(mId + " answers " + id + " without a length");
  }
  Headers headers = AnswerHeaders(aRequest);
  headers.emplace_back("Content-Type", "text/event-stream");
  headers.emplace_back("X-Weight-Versions", "1");
  headers.emplace_back(isUnframed ? "Connection" : "Transfer-Encoding",
                       isUnframed ? "close" : "chunked");
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : headers) {
    head += name + ": " + value + "\r\n";
  }
  if (!aChannel.Write(head + "\r\n")) {
    return false;
  }
  while (aRun->mEvents < mOptions.mEvents) {
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mChanged.wait_for(
        lock,
        std::chrono::duration<double, std::milli>(mOptions.mEventMs),
        [&] { return aRun->mMustStop; });
      if (aRun->mMustStop) {
        lock.unlock();
        aChannel.Close();
        return false;
      }
    }
    if (Now() < mSilentUntil && !aChannel.IsClosedByPeer()) {
      continue;
    }
    if (aChannel.IsClosedByPeer()) {
      mFleet.Log(mId + " drops " + id + ": its channel is closed");
      return false;
    }
    // A request starts to run with its first token.
    if (const std::string name = std::exchange(aRun->mName, "");
        !name.empty()) {
      mFleet.AddRun(id, name);
    }
    const int number = aRun->mEvents + 1;
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + EventData(id, number) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!aChannel.Write(isUnframed ? event : size + event + "\r\n")) {
      return false;
    }
    aRun->mEvents = number;
  }
  mFleet.Log(mId + " ends " + id);
  if (isUnframed) {
    aChannel.Close();
    return false;
  }
  return aChannel.Write("0\r\n\r\n");
}

bool
Runner::HandlePlain(Channel& aChannel, const Message& aRequest)
{
  const std::string id = aRequest.Header("X-Request-Id");
  if (mActive >= mOptions.mSlots) {
    return Refuse(aChannel, "full");
  }
  mFleet.AddRun(id, mId);
  ++mActive;
  SleepMs(mOptions.mWorkMs);
  --mActive;
  return aChannel.Answer(
    200, AnswerHeaders(aRequest), mId + " ran " + id + "\n");
}

std::string
EventData(const std::string& aRequest, int aNumber)
{
  return aRequest + "/" + std::to_string(aNumber) + std::string(280, '.');
}

Json
MakeConfig(int aVersion, const std::vector<RouteOptions>& aRoutes)
{
  Json routes = Json::array();
  for (const auto& it : aRoutes) {
    Json route = { { "name", it.mName },
                   { "host", "h.example" },
                   { "path_prefix", "/" + it.mName + "/" },
                   { "kind", it.mKind },
                   { "timeout_ms", it.mTimeoutMs },
                   { "target_latency_ms", it.mTargetMs },
                   { "priority", 1 },
                   { "service", it.mService },
                   { "max_attempts", it.mAttempts } };
    if (it.mKind == "streaming") {
      route["sticky_sessions"] = true;
      route["resumable"] = it.mIsResumable;
      route["gap_aim_ms"] = 300;
    }
    routes.push_back(route);
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services",
             { { { "name", "llm" },
                 { "health_path", "/health" },
                 { "max_connections", 360 },
                 { "protocol", "h1" },
                 { "tls", false },
                 { "engine",
                   { { "slots", 64 },
                     { "kv_capacity_tokens", 107085 },
                     { "kv_token_bytes", 163840 },
                     { "link_mbps", 7200000.0 },
                     { "moves", true },
                     { "backups", true },
                     { "stride", kStride },
                     { "most", 12 },
                     { "handle_ttl_s", 0.5 },
                     { "switchover_s", 6.0 },
                     { "pin_ms", 4000.0 },
                     { "hold_ms", 2000.0 },
                     { "models", Json::array({ { { "name", "m" } } }) } } } },
               { { "name", "app" },
                 { "health_path", "/health" },
                 { "max_connections", 96 },
                 { "protocol", "h1" },
                 { "tls", false } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

ClientResult
Call(const ClientRequest& aRequest)
{
  const auto channel = Channel::Connect(aRequest.mAddress, 1000);
  if (!channel) {
    ClientResult result;
    result.mEndedAt = Now();
    return result;
  }
  return CallOn(*channel, aRequest);
}

ClientResult
CallOn(Channel& aChannel, const ClientRequest& aRequest)
{
  ClientResult result;
  std::string text =
    aRequest.mMethod + " " + aRequest.mPath +
    " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + aRequest.mId +
    "\r\nX-Deadline-Ms: " + std::to_string(aRequest.mDeadlineMs) + "\r\n";
  if (!aRequest.mTokens.empty()) {
    const std::string prompt =
      aRequest.mTokens.substr(0, aRequest.mTokens.find(','));
    text += "X-Model-Id: m\r\nX-Token-Count: " + aRequest.mTokens +
            "\r\nX-Prompt-Prefix: " + aRequest.mId + ":" + prompt + "\r\n";
  }
  text += aRequest.mMoreHeaders;
  if (aRequest.mMethod == "POST") {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  aChannel.Write(text + "\r\n" +
                 (aRequest.mMethod == "POST" ? aRequest.mBody : ""));
  result.mSentAt = Now();
  Message answer;
  result.mIsComplete =
    aChannel.ReadAnswer(answer, result.mSentAt + aRequest.mDeadlineMs);
  result.mStatus = answer.mStatus;
  result.mStamp = answer.Header("X-Server-Stamp");
  result.mIsLeaving = answer.Header("Server-Leaving") == "1";
  result.mBody = answer.mBody;
  result.mEndedAt = Now();
  return result;
}

std::vector<int>
EventNumbers(const std::string& aRequest, const std::string& aBody)
{
  std::vector<int> numbers;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = aBody.find("\n\n", at);
    if (end == std::string::npos) {
      return numbers;
    }
    const std::string event = aBody.substr(at, end - at);
    at = end + 2;
    const int number =
      event.rfind("id: ", 0) == 0 ? std::stoi(event.substr(4)) : -1;
    const bool isRight = event == "id: " + std::to_string(number) +
                                    "\ndata: " + EventData(aRequest, number);
    numbers.push_back(isRight ? number : -1);
  }
}

} // namespace review
