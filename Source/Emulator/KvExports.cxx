#include "Emulator/KvExports.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kTick = std::chrono::milliseconds(2);
} // namespace

KvExports::KvExports(EventLoop& aLoop,
                     const EngineEmulatorSettings& aSettings,
                     KvTable& aTable,
                     EngineCounts& aCounts)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mTable(aTable)
  , mCounts(aCounts)
{
}

void
KvExports::Start(const std::string& aKv, const Call& aCall)
{
  const KvEntry* entry = mTable.Find(aKv);
  if (entry == nullptr || entry->mState != KvState::Prefilled) {
    aCall->ReplyProblem(HttpStatus::Gone, "evicted", aKv);
    return;
  }
  mTable.StopEviction(aKv);
  const nlohmann::json content = { { "model", entry->mModel },
                                   { "prompt", entry->mPrompt },
                                   { "tokens", entry->mTokens } };
  aCall->StartStream(
    HttpStatus::Ok,
    { { "Content-Type", "application/octet-stream" },
      { "Kv-Tokens", absl::StrCat(entry->mTokens) },
      { "Kv-Bytes",
        absl::StrCat(entry->mTokens * mSettings.mKvBytesPerToken) } });
  aCall->SendChunk(content.dump() + "\n");
  mExports.push_back(
    { aKv, aCall, entry->mTokens * mSettings.mKvBytesPerToken });
  if (mExports.size() == 1) {
    mTimer = mLoop.Every(kTick, [this] { Tick(); });
  }
}

void
KvExports::Tick()
{
  const double share = mSettings.mLinkBytesPerSecond * ToSeconds(kTick) /
                       static_cast<double>(mExports.size());
  const auto bytes =
    std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share));
  for (auto it = mExports.begin(); it != mExports.end();) {
    it = Advance(*it, bytes) ? std::next(it) : mExports.erase(it);
  }
  if (mExports.empty()) {
    mTimer = {};
  }
}

bool
KvExports::Advance(Export& aExport, std::uint64_t aBytes)
{
  if (mTable.Find(aExport.mKv) == nullptr) {
    // The request was cancelled during the transfer.
    aExport.mCall->Abort();
    return false;
  }
  if (aExport.mCall->IsFinished()) {
    ++mCounts["exports_broken"];
    mTable.StartEviction(aExport.mKv);
    return false;
  }
  if (mIsStalled) {
    return true;
  }
  const std::uint64_t n = std::min(aBytes, aExport.mRemaining);
  aExport.mCall->SendChunk(std::string(n, 'k'));
  aExport.mRemaining -= n;
  if (aExport.mRemaining > 0) {
    return true;
  }
  aExport.mCall->EndStream();
  ++mCounts["exports"];
  mTable.Remove(aExport.mKv);
  return false;
}

} // namespace bulrushfold
