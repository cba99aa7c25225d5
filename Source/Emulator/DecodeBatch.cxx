#include "Emulator/DecodeBatch.h"

#include <algorithm>
#include <utility>

#include "Net/SseReader.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

// Tokens wait in the stream while the connection has this much unsent data.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

std::string
TokenEvent(std::uint64_t aOffset, const std::string& aToken)
{
  // Tokens contain only letters, digits and a space and need no JSON escapes.
  return FormatSseEvent(
    absl::StrCat(aOffset),
    absl::StrCat(R"({"offset":)", aOffset, R"(,"token":")", aToken, "\"}"));
}

} // namespace

DecodeBatch::DecodeBatch(EventLoop& aLoop,
                         const Clock& aClock,
                         const EngineEmulatorSettings& aSettings,
                         KvTable& aTable,
                         EngineCounts& aCounts,
                         std::function<void()> aCrash)
  : mLoop(aLoop)
  , mClock(aClock)
  , mSettings(aSettings)
  , mTable(aTable)
  , mCounts(aCounts)
  , mCrash(std::move(aCrash))
{
}

void
DecodeBatch::Handle(const DecodeOrder& aOrder, const Call& aCall)
{
  if (const auto it = mStreams.find(aOrder.mWork); it != mStreams.end()) {
    ++mCounts["resumes"];
    Attach(it->first, it->second, aCall, aOrder.mOffset);
    Flush(it->first, it->second);
    return;
  }
  Start(aOrder, aCall);
}

KvEntry*
DecodeBatch::AcquireKv(const DecodeOrder& aOrder, const Call& aCall)
{
  if (aOrder.mKv.empty()) {
    aCall->ReplyProblem(
      HttpStatus::NotFound, "unknown_stream", aOrder.mWork.mRequest);
    return nullptr;
  }
  KvEntry* entry = mTable.Find(aOrder.mKv);
  if (entry == nullptr || entry->mState != KvState::Prefilled) {
    aCall->ReplyProblem(HttpStatus::Gone, "evicted", aOrder.mKv);
    return nullptr;
  }
  if (mRunning >= mSettings.mSlots) {
    ++mCounts["no_slot"];
    aCall->ReplyProblem(
      HttpStatus::Unavailable, "no_slot", "all slots are taken");
    return nullptr;
  }
  const std::uint64_t missing =
    aOrder.mMaxTokens - std::min(aOrder.mMaxTokens, aOrder.mOffset);
  if (!mTable.Grow(aOrder.mKv, entry->mTokens + missing)) {
    aCall->ReplyProblem(HttpStatus::Unavailable, "no_memory", "no free pieces");
    return nullptr;
  }
  return entry;
}

void
DecodeBatch::Start(const DecodeOrder& aOrder, const Call& aCall)
{
  KvEntry* entry = AcquireKv(aOrder, aCall);
  if (entry == nullptr) {
    return;
  }
  if (mSettings.mCrashPoint == EngineCrashPoint::Decode &&
      entry->mPrompt.find(kCrashMarker) != std::string::npos) {
    mCrash();
  }
  mTable.StopEviction(aOrder.mKv);
  entry->mState = KvState::Decoding;
  entry->mWork = aOrder.mWork;
  Stream stream(TokenSource(entry->mModel, entry->mPrompt));
  stream.mKv = aOrder.mKv;
  stream.mGeneratedTokens = aOrder.mOffset;
  stream.mMaxTokens = std::max(aOrder.mMaxTokens, aOrder.mOffset);
  const auto [it, isNew] = mStreams.emplace(aOrder.mWork, std::move(stream));
  ++mRunning;
  ++mCounts["decodes"];
  Attach(it->first, it->second, aCall, aOrder.mOffset);
  ScheduleStep();
}

void
DecodeBatch::Attach(const WorkId& aWork,
                    Stream& aStream,
                    const Call& aCall,
                    std::uint64_t aOffset)
{
  if (aStream.mCall) {
    aStream.mCall->OnClosed(nullptr);
    aStream.mCall->Abort();
  }
  aStream.mResumeTimer = {};
  aStream.mCall = aCall;
  aStream.mSentTokens = aOffset;
  aCall->OnClosed(
    [this, aWork, raw = aCall.get()] { HandleClosed(aWork, raw); });
  aCall->StartStream(HttpStatus::Ok,
                     { { "Content-Type", "text/event-stream" } });
}

void
DecodeBatch::HandleClosed(const WorkId& aWork, const EmulatorCall* aCall)
{
  const auto it = mStreams.find(aWork);
  if (it != mStreams.end() && it->second.mCall.get() == aCall) {
    it->second.mCall.reset();
    StartResumeTimer(it->first, it->second);
  }
}

void
DecodeBatch::StartResumeTimer(const WorkId& aWork, Stream& aStream)
{
  aStream.mResumeTimer =
    mLoop.After(mSettings.mResumeTimeout, [this, work = aWork] {
      ++mCounts["resume_expired"];
      Remove(work);
    });
}

void
DecodeBatch::Remove(const WorkId& aWork)
{
  auto node = mStreams.extract(aWork);
  Stream& stream = node.mapped();
  if (!stream.mIsEnded) {
    --mRunning;
  }
  mTable.Remove(stream.mKv);
  if (stream.mCall) {
    stream.mCall->OnClosed(nullptr);
    stream.mCall->Abort();
  }
}

std::size_t
DecodeBatch::Cancel(const std::string& aRequest, std::uint64_t aAttempt)
{
  std::vector<WorkId> matches;
  for (auto it = mStreams.lower_bound({ aRequest, 0 });
       it != mStreams.end() && it->first.mRequest == aRequest;
       ++it) {
    if (aAttempt == 0 || it->first.mAttempt == aAttempt) {
      matches.push_back(it->first);
    }
  }
  for (const auto& it : matches) {
    Remove(it);
  }
  return matches.size();
}

Json
DecodeBatch::Status() const
{
  Json streams = Json::array();
  for (const auto& [work, stream] : mStreams) {
    streams.push_back({ { "request", work.mRequest },
                        { "attempt", work.mAttempt },
                        { "next_offset", stream.mGeneratedTokens } });
  }
  return streams;
}

Duration
DecodeBatch::StepInterval() const
{
  const double others =
    static_cast<double>(std::max<std::size_t>(mRunning, 1) - 1);
  return FromSeconds(ToSeconds(mSettings.mTokenInterval) *
                     (1 + mSettings.mBatchGrowth * others));
}

void
DecodeBatch::ScheduleStep()
{
  if (mIsScheduled) {
    return;
  }
  const Instant now = mClock.Now();
  // Steps keep an even pace. When the process is late by a whole step, the next
  // step runs at once and the pace starts again from there.
  mStepAt = std::max(mStepAt + StepInterval(), now);
  mIsScheduled = true;
  mStepTimer = mLoop.After(mStepAt - now, [this] { Step(); });
}

void
DecodeBatch::Step()
{
  mIsScheduled = false;
  bool isBusy = false;
  for (auto& [work, stream] : mStreams) {
    if (!stream.mIsEnded) {
      AddToken(stream);
    }
    Flush(work, stream);
    isBusy = isBusy || !stream.mIsEnded || stream.mCall;
  }
  if (isBusy) {
    ScheduleStep();
  }
}

void
DecodeBatch::AddToken(Stream& aStream)
{
  if (aStream.mGeneratedTokens < aStream.mMaxTokens) {
    ++aStream.mGeneratedTokens;
    ++mCounts["tokens"];
  }
  if (aStream.mGeneratedTokens < aStream.mMaxTokens) {
    return;
  }
  aStream.mIsEnded = true;
  --mRunning;
  mTable.Shrink(aStream.mKv);
  mTable.Find(aStream.mKv)->mState = KvState::Finished;
}

void
DecodeBatch::Flush(const WorkId& aWork, Stream& aStream)
{
  if (!aStream.mCall) {
    return;
  }
  std::string data;
  while (aStream.mSentTokens < aStream.mGeneratedTokens &&
         aStream.mCall->PendingBytes() + data.size() < kMaxPendingBytes) {
    data += TokenEvent(aStream.mSentTokens,
                       aStream.mTokens.Token(aStream.mSentTokens));
    ++aStream.mSentTokens;
  }
  if (!aStream.mIsEnded || aStream.mSentTokens < aStream.mGeneratedTokens) {
    aStream.mCall->SendChunk(data);
    return;
  }
  data += FormatSseEvent(
    "",
    absl::StrCat(R"({"finish":"length","tokens":)", aStream.mMaxTokens, "}"));
  const Call call = std::exchange(aStream.mCall, nullptr);
  call->OnClosed(nullptr);
  call->SendChunk(data);
  call->EndStream();
  StartResumeTimer(aWork, aStream);
}

} // namespace bulrushfold
