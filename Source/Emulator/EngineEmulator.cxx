#include "Emulator/EngineEmulator.h"

#include <utility>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
constexpr std::string_view kKvPath = "/engine/kv/";
} // namespace

EngineEmulator::EngineEmulator(EventLoop& aLoop,
                               const Clock& aClock,
                               Random& aRandom,
                               const EngineEmulatorSettings& aSettings,
                               std::function<void()> aCrash)
  : mClock(aClock)
  , mSettings(aSettings)
  , mClient(aLoop)
  , mState(aLoop, mSettings)
  , mTable(aLoop, mSettings, mCounts)
  , mEvents(aClock, aRandom, mSettings)
  , mPrefills(aLoop, mSettings, mTable, mEvents, mCounts, aCrash)
  , mExports(aLoop, mSettings, mTable, mCounts)
  , mImports(mClient, mSettings, mTable, mCounts)
  , mBatch(aLoop, aClock, mSettings, mTable, mCounts, std::move(aCrash))
  , mLoadTimer(
      aLoop.Every(aSettings.mLoadInterval, [this] { UpdateLoadReport(); }))
  , mServer(
      aLoop,
      [this](const Call& aCall) { Handle(aCall); },
      MakeUuidV7(aClock.Wall(), aRandom))
{
  UpdateLoadReport();
}

absl::Status
EngineEmulator::Listen()
{
  return mServer.Listen(mSettings.mAddress);
}

EngineEmulator::Handler
EngineEmulator::FindHandler(const HttpRequest& aRequest)
{
  struct Route
  {
    HttpMethod mMethod;
    std::string_view mPath;
    Handler mHandler;
  };
  static const Route sRoutes[] = {
    { HttpMethod::Post, "/engine/prefill", &EngineEmulator::HandlePrefill },
    { HttpMethod::Post, "/engine/transfer", &EngineEmulator::HandleTransfer },
    { HttpMethod::Post, "/engine/decode", &EngineEmulator::HandleDecode },
    { HttpMethod::Post, "/engine/cancel", &EngineEmulator::HandleCancel },
    { HttpMethod::Post, "/engine/order", &EngineEmulator::HandleOrder },
    { HttpMethod::Get, "/engine/status", &EngineEmulator::HandleStatus },
    { HttpMethod::Get, "/engine/load", &EngineEmulator::HandleLoad },
    { HttpMethod::Get, "/engine/holdings", &EngineEmulator::HandleHoldings },
    { HttpMethod::Get, "/engine/events", &EngineEmulator::HandleEvents },
    { HttpMethod::Post, "/faults", &EngineEmulator::HandleFaults },
    { HttpMethod::Get, "/stats", &EngineEmulator::HandleStats },
  };
  for (const auto& it : sRoutes) {
    if (it.mMethod == aRequest.mMethod && it.mPath == aRequest.mPath) {
      return it.mHandler;
    }
  }
  const bool isKv = absl::StartsWith(aRequest.mPath, std::string(kKvPath));
  return isKv && aRequest.mMethod == HttpMethod::Get ? &EngineEmulator::HandleKv
                                                     : nullptr;
}

void
EngineEmulator::Handle(const Call& aCall)
{
  if (const Handler handler = FindHandler(aCall->Request())) {
    (this->*handler)(aCall);
  } else {
    aCall->ReplyProblem(
      HttpStatus::NotFound, "unknown_call", aCall->Request().mPath);
  }
}

bool
EngineEmulator::AdmitWork(const Call& aCall, const WorkId& aWork, bool aHasRole)
{
  if (mCancels.Contains(aWork)) {
    ++mCounts["refused_cancelled"];
    aCall->ReplyProblem(HttpStatus::Conflict, "cancelled", aWork.mRequest);
  } else if (!aHasRole) {
    aCall->ReplyProblem(
      HttpStatus::Conflict, "wrong_role", EngineRoleName(mState.Role()));
  } else if (mState.IsDraining()) {
    aCall->ReplyProblem(HttpStatus::Conflict, "draining", "no new work");
  } else if (mRefusesWork) {
    aCall->ReplyProblem(HttpStatus::Unavailable, "no_memory", "set by a fault");
  } else {
    return true;
  }
  return false;
}

void
EngineEmulator::HandlePrefill(const Call& aCall)
{
  const PrefillOrder order = ReadPrefillOrder(aCall->Body());
  if (!AdmitWork(aCall, order.mWork, mState.CanPrefill())) {
    return;
  }
  if (!mState.Serves(order.mModel, order.mAdapter)) {
    aCall->ReplyProblem(HttpStatus::NotFound, "unknown_model", order.mModel);
    return;
  }
  mPrefills.Add(order, aCall);
}

void
EngineEmulator::HandleTransfer(const Call& aCall)
{
  const TransferOrder order = ReadTransferOrder(aCall->Body());
  if (AdmitWork(aCall, order.mWork, mState.CanDecode())) {
    mImports.Start(order, aCall);
  }
}

void
EngineEmulator::HandleKv(const Call& aCall)
{
  mExports.Start(aCall->Request().mPath.substr(kKvPath.size()), aCall);
}

void
EngineEmulator::HandleDecode(const Call& aCall)
{
  const DecodeOrder order = ReadDecodeOrder(aCall->Body());
  // A draining engine still serves streams and KV caches that it already has.
  if (mCancels.Contains(order.mWork)) {
    ++mCounts["refused_cancelled"];
    aCall->ReplyProblem(
      HttpStatus::Conflict, "cancelled", order.mWork.mRequest);
    return;
  }
  mBatch.Handle(order, aCall);
}

void
EngineEmulator::HandleCancel(const Call& aCall)
{
  const WorkId work = ReadWorkId(aCall->Body());
  ++mCounts["cancels"];
  mCancels.Add(work);
  std::size_t n = mPrefills.Cancel(work.mRequest, work.mAttempt);
  n += mImports.Cancel(work.mRequest, work.mAttempt);
  n += mBatch.Cancel(work.mRequest, work.mAttempt);
  n += CancelIdle(work.mRequest, work.mAttempt);
  aCall->ReplyJson(HttpStatus::Ok, { { "cancelled", n } });
}

std::size_t
EngineEmulator::CancelIdle(const std::string& aRequest, std::uint64_t aAttempt)
{
  std::vector<std::string> matches;
  for (const auto& [kv, entry] : mTable.Entries()) {
    if (entry.mWork.mRequest == aRequest &&
        (aAttempt == 0 || entry.mWork.mAttempt == aAttempt)) {
      matches.push_back(kv);
      mCounts["wasted_prefill_tokens"] += entry.mTokens;
    }
  }
  for (const auto& it : matches) {
    mTable.Remove(it);
  }
  return matches.size();
}

void
EngineEmulator::HandleOrder(const Call& aCall)
{
  const EngineOrder order = ReadEngineOrder(aCall->Body());
  ++mCounts["orders"];
  switch (mState.Apply(order)) {
    case OrderResult::Accepted:
      aCall->ReplyJson(HttpStatus::Ok, Json::object());
      break;
    case OrderResult::StaleFencing:
      ++mCounts["stale_fencing"];
      aCall->ReplyProblem(HttpStatus::PreconditionFailed,
                          "stale_fencing",
                          "a higher number was seen",
                          { { "highest", mState.HighestFencing() } });
      break;
    case OrderResult::Invalid:
      aCall->ReplyProblem(
        HttpStatus::BadRequest, "invalid_request", order.mOrder);
      break;
  }
}

void
EngineEmulator::HandleStatus(const Call& aCall)
{
  aCall->ReplyJson(HttpStatus::Ok, { { "streams", mBatch.Status() } });
}

void
EngineEmulator::UpdateLoadReport()
{
  mLoadReportAt = mClock.Now();
  mLoadReport = { { "role", EngineRoleName(mState.Role()) },
                  { "models", mState.Models() },
                  { "draining", mState.IsDraining() },
                  { "running", mBatch.Running() },
                  { "queued", mPrefills.Size() },
                  { "slots", mSettings.mSlots },
                  { "pieces_total", mSettings.mPieces },
                  { "pieces_used", mTable.PiecesUsed() } };
}

void
EngineEmulator::HandleLoad(const Call& aCall)
{
  Json report = mLoadReport;
  report["age_ms"] = ToMilliseconds(mClock.Now() - mLoadReportAt);
  aCall->ReplyJson(HttpStatus::Ok, report);
}

void
EngineEmulator::HandleHoldings(const Call& aCall)
{
  Json holdings = Json::array();
  for (const auto& [kv, entry] : mTable.Entries()) {
    holdings.push_back({ { "request", entry.mWork.mRequest },
                         { "attempt", entry.mWork.mAttempt },
                         { "owner", entry.mOwner },
                         { "pieces", entry.mPieces },
                         { "state", KvStateName(entry.mState) } });
  }
  aCall->ReplyJson(HttpStatus::Ok, { { "holdings", holdings } });
}

void
EngineEmulator::HandleEvents(const Call& aCall)
{
  std::uint64_t from = 0;
  if (!absl::SimpleAtoi(aCall->Request().Parameter("from").value_or("0"),
                        &from)) {
    aCall->ReplyProblem(
      HttpStatus::BadRequest, "invalid_request", "from: expected a number");
    return;
  }
  aCall->ReplyJson(HttpStatus::Ok, mEvents.List(from));
}

void
EngineEmulator::HandleFaults(const Call& aCall)
{
  const Json body = aCall->Body();
  mRefusesWork = body.value("refuse", mRefusesWork);
  if (body.contains("stall_transfers")) {
    mExports.SetStalled(body["stall_transfers"].get<bool>());
  }
  if (body.contains("delay_ms")) {
    mServer.SetDelay(FromSeconds(body["delay_ms"].get<double>() / 1000));
  }
  aCall->ReplyJson(HttpStatus::Ok, Json::object());
  if (body.value("silent", false)) {
    const absl::Status status = mServer.SilenceOpenConnections();
    LogEvent(LogLevel::Info, "silent", { { "status", status.ToString() } });
  }
}

void
EngineEmulator::HandleStats(const Call& aCall)
{
  aCall->ReplyJson(HttpStatus::Ok,
                   { { "calls", mCounts },
                     { "running", mBatch.Running() },
                     { "queued", mPrefills.Size() },
                     { "pieces_used", mTable.PiecesUsed() },
                     { "holdings", mTable.Entries().size() } });
}

} // namespace bulrushfold
