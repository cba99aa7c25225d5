#include "Emulator/StoreEmulator.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr Duration kWatchKeepAlive = std::chrono::seconds(2);
constexpr std::string_view kObjectPath = "/objects/";

Duration
MillisecondsOf(const Json& aBody, const char* aKey, Duration aDefault)
{
  return FromSeconds(aBody.value(aKey, ToMilliseconds(aDefault)) / 1000);
}

std::string
WatchLine(const StoreChange& aChange)
{
  Json line = { { "revision", aChange.mRevision },
                { "key", aChange.mKey },
                { "version", aChange.mRevision },
                { "body", aChange.mBody } };
  if (aChange.mIsDeleted) {
    line["deleted"] = true;
  }
  return line.dump() + "\n";
}

HttpHeaders
VersionHeader(std::uint64_t aVersion)
{
  return { { "ETag", absl::StrCat(aVersion) } };
}

/** Expected version of a conditional write; empty if there is no condition. */
std::optional<std::uint64_t>
ExpectedVersion(const HttpRequest& aRequest)
{
  std::uint64_t version = 0;
  if (aRequest.mHeaders.Find("If-None-Match") == "*") {
    return 0;
  }
  const auto match = aRequest.mHeaders.Find("If-Match");
  if (!match || !absl::SimpleAtoi(*match, &version) || version == 0) {
    return std::nullopt;
  }
  return version;
}

} // namespace

StoreEmulator::StoreEmulator(EventLoop& aLoop,
                             const Clock& aClock,
                             Random& aRandom,
                             const StoreEmulatorSettings& aSettings)
  : mClock(aClock)
  , mRandom(aRandom)
  , mSettings(aSettings)
  , mContent(aSettings.mMaxHistory)
  , mReads(aClock)
  , mWrites(aClock)
  , mServer(aLoop, [this](const Call& aCall) { Handle(aCall); })
  , mKeepAlive(aLoop.Every(kWatchKeepAlive, [this] { SendKeepAlive(); }))
{
  mFaults.mVmLag = aSettings.mVmLag;
  mReads.SetRate(aSettings.mReadsPerSecond);
  mWrites.SetRate(aSettings.mWritesPerSecond);
}

absl::Status
StoreEmulator::Listen()
{
  return mServer.Listen(mSettings.mAddress);
}

void
StoreEmulator::Handle(const Call& aCall)
{
  const HttpRequest& request = aCall->Request();
  const bool isGet = request.mMethod == HttpMethod::Get;
  if (absl::StartsWith(request.mPath, std::string(kObjectPath))) {
    HandleObject(aCall, request.mPath.substr(kObjectPath.size()));
  } else if (request.mPath == "/objects" && isGet) {
    HandleList(aCall);
  } else if (request.mPath == "/watch" && isGet) {
    HandleWatch(aCall);
  } else if (request.mPath == "/vms" && isGet) {
    HandleVms(aCall);
  } else {
    HandleTestCall(aCall);
  }
}

void
StoreEmulator::HandleTestCall(const Call& aCall)
{
  const auto& [method, path] =
    std::pair(aCall->Request().mMethod, aCall->Request().mPath);
  if (path == "/vms" && method == HttpMethod::Put) {
    SetVms(aCall);
  } else if (path == "/faults" && method == HttpMethod::Post) {
    SetFaults(aCall);
  } else if (path == "/stats" && method == HttpMethod::Get) {
    ReplyStats(aCall);
  } else {
    aCall->ReplyProblem(HttpStatus::NotFound, "unknown_call", path);
  }
}

bool
StoreEmulator::Admit(const Call& aCall,
                     const std::string& aKind,
                     RateLimit& aLimit)
{
  ++mCounts[aKind];
  if (mFaults.mIsDown) {
    ++mCounts["refused_down"];
    aCall->ReplyProblem(HttpStatus::Unavailable, "down", "outage");
    return false;
  }
  if (!aLimit.TryAcquire()) {
    ++mCounts["refused_rate"];
    aCall->ReplyProblem(
      HttpStatus::TooManyRequests, "rate_limit", "not applied");
    return false;
  }
  return true;
}

void
StoreEmulator::HandleObject(const Call& aCall, const std::string& aKey)
{
  switch (aCall->Request().mMethod) {
    case HttpMethod::Get:
      HandleGet(aCall, aKey);
      break;
    case HttpMethod::Put:
      HandlePut(aCall, aKey);
      break;
    case HttpMethod::Delete:
      HandleDelete(aCall, aKey);
      break;
    default:
      aCall->ReplyProblem(HttpStatus::NotFound, "unknown_call", aKey);
  }
}

void
StoreEmulator::HandleGet(const Call& aCall, const std::string& aKey)
{
  if (!Admit(aCall, "get", mReads)) {
    return;
  }
  const StoredObject* object = mContent.Find(aKey);
  if (object == nullptr) {
    aCall->ReplyProblem(HttpStatus::NotFound, "not_found", aKey);
    return;
  }
  aCall->Reply(HttpStatus::Ok, VersionHeader(object->mVersion), object->mBody);
}

void
StoreEmulator::HandlePut(const Call& aCall, const std::string& aKey)
{
  if (!Admit(aCall, "put", mWrites)) {
    return;
  }
  const auto expected = ExpectedVersion(aCall->Request());
  if (!expected) {
    aCall->ReplyProblem(HttpStatus::PreconditionRequired,
                        "precondition_required",
                        "expected If-Match: VERSION or If-None-Match: *");
    return;
  }
  const std::string& body = aCall->Request().mBody;
  if (body.size() > kMaxObjectBytes) {
    aCall->ReplyProblem(HttpStatus::PayloadTooLarge, "too_large", aKey);
    return;
  }
  const StorePutResult result = mContent.Put(aKey, body, *expected);
  if (!result.mIsApplied) {
    ++mCounts["conflicts"];
    aCall->Reply(HttpStatus::Conflict, VersionHeader(result.mVersion), "");
    return;
  }
  FinishWrite(aCall,
              result.mIsCreated ? HttpStatus::Created : HttpStatus::Ok,
              VersionHeader(result.mVersion));
}

void
StoreEmulator::HandleDelete(const Call& aCall, const std::string& aKey)
{
  if (!Admit(aCall, "delete", mWrites)) {
    return;
  }
  const StoredObject* object = mContent.Find(aKey);
  const auto expected = ExpectedVersion(aCall->Request());
  if (object != nullptr && expected && object->mVersion != *expected) {
    ++mCounts["conflicts"];
    aCall->Reply(HttpStatus::Conflict, VersionHeader(object->mVersion), "");
    return;
  }
  if (!mContent.Delete(aKey)) {
    aCall->ReplyProblem(HttpStatus::NotFound, "not_found", aKey);
    return;
  }
  FinishWrite(aCall, HttpStatus::Ok, {});
}

void
StoreEmulator::FinishWrite(const Call& aCall,
                           HttpStatus aStatus,
                           const HttpHeaders& aHeaders)
{
  ++mCounts["applied"];
  if (mFaults.mLostAnswerProbability > 0 &&
      mRandom.Bernoulli(mFaults.mLostAnswerProbability)) {
    ++mCounts["lost_answers"];
    aCall->Abort();
  } else {
    aCall->Reply(aStatus, aHeaders, "");
  }
  NotifyWatches();
}

void
StoreEmulator::HandleList(const Call& aCall)
{
  if (!Admit(aCall, "list", mReads)) {
    return;
  }
  Json objects = Json::array();
  for (const StoredObject* it :
       mContent.List(aCall->Request().Parameter("prefix").value_or(""))) {
    objects.push_back({ { "key", it->mKey },
                        { "version", it->mVersion },
                        { "body", it->mBody } });
  }
  aCall->ReplyJson(
    HttpStatus::Ok,
    { { "revision", mContent.Revision() }, { "objects", objects } });
}

void
StoreEmulator::HandleWatch(const Call& aCall)
{
  if (!Admit(aCall, "watch", mReads)) {
    return;
  }
  std::uint64_t from = 0;
  const std::string prefix = aCall->Request().Parameter("prefix").value_or("");
  if (!absl::SimpleAtoi(aCall->Request().Parameter("from").value_or("0"),
                        &from)) {
    aCall->ReplyProblem(
      HttpStatus::BadRequest, "invalid_request", "from: expected a revision");
    return;
  }
  const auto changes = mContent.ChangesAfter(from, prefix);
  if (!changes) {
    aCall->ReplyProblem(HttpStatus::Gone, "gone", "list the objects again");
    return;
  }
  aCall->StartStream(HttpStatus::Ok, { { "Content-Type", "text/plain" } });
  // The empty line makes the client receive the headers at once.
  aCall->SendChunk("\n");
  for (const auto& it : *changes) {
    aCall->SendChunk(WatchLine(it));
  }
  mWatches.push_back({ aCall, prefix });
}

void
StoreEmulator::NotifyWatches()
{
  const StoreChange& change = mContent.LastChange();
  const std::string line = WatchLine(change);
  for (const auto& it : mWatches) {
    if (absl::StartsWith(change.mKey, it.mPrefix)) {
      it.mCall->SendChunk(line);
    }
  }
}

void
StoreEmulator::SendKeepAlive()
{
  mWatches.erase(
    std::remove_if(mWatches.begin(),
                   mWatches.end(),
                   [](const Watch& aIt) { return aIt.mCall->IsFinished(); }),
    mWatches.end());
  for (const auto& it : mWatches) {
    it.mCall->SendChunk("\n");
  }
}

void
StoreEmulator::CloseWatches()
{
  for (const auto& it : mWatches) {
    it.mCall->Abort();
  }
  mWatches.clear();
}

void
StoreEmulator::HandleVms(const Call& aCall)
{
  if (!Admit(aCall, "vms", mReads)) {
    return;
  }
  const Instant visible = mClock.Now() - mFaults.mVmLag;
  std::string body = R"({"vms":[]})";
  for (const auto& it : mVmLists) {
    if (it.mSince <= visible) {
      body = it.mBody;
    }
  }
  aCall->Reply(
    HttpStatus::Ok, { { "Content-Type", "application/json" } }, body);
}

void
StoreEmulator::SetVms(const Call& aCall)
{
  constexpr std::size_t kMaxLists = 1000;
  const Json body = aCall->Body();
  body.at("vms").get_ref<const Json::array_t&>();
  mVmLists.push_back({ mClock.Now(), body.dump() });
  if (mVmLists.size() > kMaxLists) {
    mVmLists.pop_front();
  }
  aCall->ReplyJson(HttpStatus::Ok, Json::object());
}

void
StoreEmulator::SetFaults(const Call& aCall)
{
  const Json body = aCall->Body();
  mFaults.mIsDown = body.value("down", mFaults.mIsDown);
  mFaults.mLostAnswerProbability =
    body.value("lose_answers", mFaults.mLostAnswerProbability);
  mFaults.mVmLag = MillisecondsOf(body, "vm_lag_ms", mFaults.mVmLag);
  if (body.contains("delay_ms")) {
    mServer.SetDelay(MillisecondsOf(body, "delay_ms", {}));
  }
  if (body.contains("writes_per_s")) {
    mWrites.SetRate(body["writes_per_s"].get<double>());
  }
  if (body.contains("reads_per_s")) {
    mReads.SetRate(body["reads_per_s"].get<double>());
  }
  aCall->ReplyJson(HttpStatus::Ok, Json::object());
  if (mFaults.mIsDown) {
    CloseWatches();
  }
  if (body.contains("silent")) {
    const absl::Status status = mServer.SetSilent(body["silent"].get<bool>());
    LogEvent(LogLevel::Info, "silent", { { "status", status.ToString() } });
  }
}

void
StoreEmulator::ReplyStats(const Call& aCall)
{
  Json stats = { { "revision", mContent.Revision() },
                 { "watches", mWatches.size() },
                 { "calls", mCounts } };
  aCall->ReplyJson(HttpStatus::Ok, stats);
}

} // namespace bulrushfold
