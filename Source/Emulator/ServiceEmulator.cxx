#include "Emulator/ServiceEmulator.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "Base/Digest.h"
#include "Base/Log.h"
#include "absl/strings/numbers.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
} // namespace

ServiceEmulator::ServiceEmulator(EventLoop& aLoop,
                                 Random& aRandom,
                                 const ServiceEmulatorSettings& aSettings,
                                 std::function<void()> aCrash)
  : mLoop(aLoop)
  , mRandom(aRandom)
  , mSettings(aSettings)
  , mCrash(std::move(aCrash))
  , mServer(aLoop, [this](const Call& aCall) { Handle(aCall); })
{
  ReadRunsFile();
}

absl::Status
ServiceEmulator::Listen()
{
  return mServer.Listen(mSettings.mAddress);
}

void
ServiceEmulator::ReadRunsFile()
{
  std::ifstream file(mSettings.mRunsFile);
  std::string key;
  while (std::getline(file, key)) {
    ++mRuns[key];
  }
}

void
ServiceEmulator::RecordRun(const std::string& aKey)
{
  ++mRuns[aKey];
  if (!mSettings.mRunsFile.empty()) {
    std::ofstream(mSettings.mRunsFile, std::ios::app) << aKey << std::endl;
  }
}

void
ServiceEmulator::Handle(const Call& aCall)
{
  const HttpRequest& request = aCall->Request();
  if (request.mPath == "/faults" && request.mMethod == HttpMethod::Post) {
    SetFaults(aCall);
  } else if (request.mPath == "/runs" && request.mMethod == HttpMethod::Get) {
    aCall->ReplyJson(HttpStatus::Ok, { { "runs", mRuns } });
  } else if (request.mPath == "/stats" && request.mMethod == HttpMethod::Get) {
    aCall->ReplyJson(HttpStatus::Ok, { { "calls", mCounts } });
  } else if (request.mMethod == HttpMethod::Get ||
             request.mMethod == HttpMethod::Post) {
    HandleRun(aCall);
  } else {
    aCall->ReplyProblem(HttpStatus::NotFound, "unknown_call", request.mPath);
  }
}

void
ServiceEmulator::HandleRun(const Call& aCall)
{
  ++mCounts[std::string(HttpMethodName(aCall->Request().mMethod))];
  const std::string key =
    aCall->Request().mHeaders.Find("Idempotency-Key").value_or("");
  if (!CheckFencing(aCall, key)) {
    return;
  }
  if (std::exchange(mFaults.mCrashBeforeRun, false)) {
    mCrash();
    aCall->Abort();
    return;
  }
  if (mSettings.mRunTime.count() == 0) {
    Run(aCall, key);
    return;
  }
  const std::uint64_t id = mNextRun++;
  mRunning[id] = mLoop.After(mSettings.mRunTime, [this, id, aCall, key] {
    auto timer = mRunning.extract(id);
    Run(aCall, key);
  });
}

bool
ServiceEmulator::CheckFencing(const Call& aCall, const std::string& aKey)
{
  const auto text = aCall->Request().mHeaders.Find("Fencing-Number");
  if (!mSettings.mChecksFencing || !text) {
    return true;
  }
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(*text, &number)) {
    aCall->ReplyProblem(HttpStatus::BadRequest,
                        "invalid_request",
                        "Fencing-Number: expected a number");
    return false;
  }
  std::uint64_t& highest = mHighestFencing[aKey];
  if (number < highest) {
    ++mCounts["stale_fencing"];
    aCall->ReplyProblem(HttpStatus::PreconditionFailed,
                        "stale_fencing",
                        "a higher number was seen",
                        { { "highest", highest } });
    return false;
  }
  highest = number;
  return true;
}

void
ServiceEmulator::Run(const Call& aCall, const std::string& aKey)
{
  std::uint64_t run = 0;
  if (!aKey.empty()) {
    RecordRun(aKey);
    run = mRuns[aKey];
  }
  ++mCounts["runs"];
  if (std::exchange(mFaults.mCrashAfterRun, false)) {
    mCrash();
    aCall->Abort();
    return;
  }
  if (mFaults.mLostAnswerProbability > 0 &&
      mRandom.Bernoulli(mFaults.mLostAnswerProbability)) {
    ++mCounts["lost_answers"];
    aCall->Abort();
    return;
  }
  Answer(aCall, aKey, run);
}

void
ServiceEmulator::Answer(const Call& aCall,
                        const std::string& aKey,
                        std::uint64_t aRun)
{
  if (mFaults.mIsSilentAfterRun) {
    ++mCounts["silent_after_run"];
    // The hook owns the call, so that the exchange stays open without an answer
    // until the caller closes it.
    aCall->OnClosed([aCall] {});
    return;
  }
  const HttpRequest& request = aCall->Request();
  aCall->ReplyJson(HttpStatus::Ok,
                   { { "digest", DigestHex(request.mBody) },
                     { "key", aKey },
                     { "path", request.mPath },
                     { "run", aRun } });
}

void
ServiceEmulator::SetFaults(const Call& aCall)
{
  const Json body = aCall->Body();
  mFaults.mCrashBeforeRun =
    body.value("crash_before_run", mFaults.mCrashBeforeRun);
  mFaults.mCrashAfterRun =
    body.value("crash_after_run", mFaults.mCrashAfterRun);
  mFaults.mIsSilentAfterRun =
    body.value("silent_after_run", mFaults.mIsSilentAfterRun);
  mFaults.mLostAnswerProbability =
    body.value("lose_answers", mFaults.mLostAnswerProbability);
  if (body.contains("delay_ms")) {
    mServer.SetDelay(FromSeconds(body["delay_ms"].get<double>() / 1000));
  }
  aCall->ReplyJson(HttpStatus::Ok, Json::object());
  if (body.contains("silent")) {
    const absl::Status status = mServer.SetSilent(body["silent"].get<bool>());
    LogEvent(LogLevel::Info, "silent", { { "status", status.ToString() } });
  }
}

} // namespace bulrushfold
