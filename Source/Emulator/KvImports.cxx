#include "Emulator/KvImports.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kOk = static_cast<int>(HttpStatus::Ok);
constexpr int kGone = static_cast<int>(HttpStatus::Gone);
} // namespace

KvImports::KvImports(HttpClient& aClient,
                     const EngineEmulatorSettings& aSettings,
                     KvTable& aTable,
                     EngineCounts& aCounts)
  : mClient(aClient)
  , mSettings(aSettings)
  , mTable(aTable)
  , mCounts(aCounts)
{
}

void
KvImports::Start(const TransferOrder& aOrder, const Call& aCall)
{
  const WorkId work = aOrder.mWork;
  if (const auto it = mImports.find(work); it != mImports.end()) {
    it->second.mCall = aCall;
    return;
  }
  Import& import = mImports[work];
  import.mOrder = aOrder;
  import.mCall = aCall;
  HttpCallRequest request;
  request.mAddress = aOrder.mSource;
  request.mTarget = absl::StrCat("/engine/kv/", aOrder.mKv);
  request.mReadTimeout = mSettings.mStallTimeout;
  request.mMaxIdleTime = Duration::zero();
  HttpCallHooks hooks;
  hooks.mOnHeaders = [this, work](int aStatus, const HttpHeaders& aHeaders) {
    HandleHeaders(work, aStatus, aHeaders);
  };
  hooks.mOnChunk = [this, work](std::string_view aData) {
    HandleChunk(work, aData);
  };
  hooks.mOnDone = [this, work](const HttpCallReply& aReply) {
    HandleDone(work, aReply);
  };
  import.mFetch = mClient.Start(std::move(request), std::move(hooks));
}

void
KvImports::HandleHeaders(const WorkId& aWork,
                         int aStatus,
                         const HttpHeaders& aHeaders)
{
  Import& import = mImports.at(aWork);
  std::uint64_t tokens = 0;
  if (aStatus != kOk ||
      !absl::SimpleAtoi(aHeaders.Find("Kv-Tokens").value_or(""), &tokens)) {
    return;
  }
  KvEntry entry;
  entry.mWork = aWork;
  entry.mOwner = import.mOrder.mOwner;
  entry.mTokens = tokens;
  entry.mState = KvState::Importing;
  const auto kv = mTable.Add(std::move(entry));
  if (kv) {
    import.mKv = *kv;
    return;
  }
  import.mCall->ReplyProblem(
    HttpStatus::Unavailable, "no_memory", "no free pieces");
  // This closes the connection, and the source engine keeps its KV cache.
  mImports.erase(aWork);
}

void
KvImports::HandleChunk(const WorkId& aWork, std::string_view aData)
{
  Import& import = mImports.at(aWork);
  if (!import.mHasContent) {
    const auto end = aData.find('\n');
    import.mContent.append(aData.substr(0, end));
    if (end == std::string_view::npos) {
      return;
    }
    import.mHasContent = true;
    aData.remove_prefix(end + 1);
  }
  import.mBytes += aData.size();
}

void
KvImports::HandleDone(const WorkId& aWork, const HttpCallReply& aReply)
{
  auto node = mImports.extract(aWork);
  Import& import = node.mapped();
  if (aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kOk &&
      !import.mKv.empty()) {
    Finish(import);
  } else {
    Fail(import, aReply);
  }
}

void
KvImports::Finish(Import& aImport)
{
  KvEntry& entry = *mTable.Find(aImport.mKv);
  const auto content = nlohmann::json::parse(aImport.mContent, nullptr, false);
  if (content.is_object()) {
    entry.mModel = content.value("model", "");
    entry.mPrompt = content.value("prompt", "");
  }
  entry.mState = KvState::Prefilled;
  mTable.StartEviction(aImport.mKv);
  ++mCounts["imports"];
  mCounts["import_bytes"] += aImport.mBytes;
  aImport.mCall->ReplyJson(
    HttpStatus::Ok, { { "kv", aImport.mKv }, { "bytes", aImport.mBytes } });
}

void
KvImports::Fail(Import& aImport, const HttpCallReply& aReply)
{
  mTable.Remove(aImport.mKv);
  ++mCounts["imports_failed"];
  if (aReply.mStatus == kGone) {
    aImport.mCall->ReplyProblem(
      HttpStatus::Gone, "evicted", aImport.mOrder.mKv);
  } else {
    aImport.mCall->ReplyProblem(HttpStatus::GatewayTimeout,
                                "stalled",
                                HttpCallResultName(aReply.mResult));
  }
}

std::size_t
KvImports::Cancel(const std::string& aRequest, std::uint64_t aAttempt)
{
  std::size_t n = 0;
  for (auto it = mImports.begin(); it != mImports.end();) {
    const WorkId& work = it->first;
    if (work.mRequest != aRequest ||
        (aAttempt != 0 && work.mAttempt != aAttempt)) {
      ++it;
      continue;
    }
    mTable.Remove(it->second.mKv);
    it->second.mCall->ReplyProblem(
      HttpStatus::Conflict, "cancelled", "cancelled");
    it = mImports.erase(it);
    ++n;
  }
  return n;
}

} // namespace bulrushfold
