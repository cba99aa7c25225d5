#include "Daemon/EngineClient.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "Net/SseReader.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusGatewayTimeout = 504;
constexpr std::size_t kMaxEventBytes = 64 * 1024;

Json
IdToJson(const AttemptId& aId)
{
  return { { "request", aId.mRequest },
           { "attempt", aId.mAttempt },
           { "owner", aId.mOwner } };
}

std::string
CodeOf(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object() || !json.contains("code") ||
      !json["code"].is_string()) {
    return "";
  }
  return json["code"].get<std::string>();
}

/** Maps an engine's error code to a failure. */
StepFailure
FailureOfCode(const std::string& aCode)
{
  if (aCode == "no_memory") {
    return StepFailure::NoMemory;
  }
  if (aCode == "no_slot") {
    return StepFailure::NoSlot;
  }
  // The engine refuses all later calls of a cancelled attempt, so the request
  // needs a new attempt.
  if (aCode == "cancelled" || aCode == "unknown_stream") {
    return StepFailure::Evicted;
  }
  return StepFailure::Refused;
}

StepFailure
FailureOf(const HttpCallReply& aReply, const std::string& aCode)
{
  switch (aReply.mResult) {
    case HttpCallResult::ConnectFailed:
      return StepFailure::Unreachable;
    case HttpCallResult::ReadTimeout:
    case HttpCallResult::TotalTimeout:
      return StepFailure::ReadTimeout;
    case HttpCallResult::ConnectionLost:
    case HttpCallResult::InvalidReply:
    case HttpCallResult::MemoryLimit:
      return StepFailure::ConnectionLost;
    case HttpCallResult::Complete:
      break;
  }
  switch (aReply.mStatus) {
    case kStatusGone:
      return StepFailure::Evicted;
    case kStatusGatewayTimeout:
      return StepFailure::Stalled;
    case kStatusTooLarge:
    case kStatusUnprocessable:
      return StepFailure::Rejected;
    default:
      break;
  }
  return FailureOfCode(aCode);
}

template<typename Value>
StepResult<Value>
MakeFailure(const HttpCallReply& aReply)
{
  StepResult<Value> result;
  result.mCode = CodeOf(aReply.mBody);
  result.mFailure = FailureOf(aReply, result.mCode);
  return result;
}

/** Parses a successful reply with aParse; maps any other to a failure. */
template<typename Value>
StepResult<Value>
ParseReply(const HttpCallReply& aReply,
           const std::function<Value(const Json&)>& aParse)
{
  if (aReply.mResult != HttpCallResult::Complete ||
      aReply.mStatus != kStatusOk) {
    return MakeFailure<Value>(aReply);
  }
  StepResult<Value> result;
  try {
    result.mValue = aParse(Json::parse(aReply.mBody));
    result.mIsOk = true;
  } catch (const Json::exception&) {
    result.mFailure = StepFailure::ConnectionLost;
    result.mCode = "malformed_answer";
  }
  return result;
}

/** Parses the events of one decode stream. */
class DecodeStream
{
public:
  explicit DecodeStream(DecodeHooks aHooks)
    : mHooks(std::move(aHooks))
    , mReader(kMaxEventBytes,
              [this](const SseEvent& aEvent) { HandleEvent(aEvent); })
  {
  }

  void Feed(std::string_view aData)
  {
    if (mStatus != kStatusOk) {
      mErrorBody.append(aData.substr(0, kMaxEventBytes));
    } else if (!mReader.Feed(aData)) {
      mIsMalformed = true;
    }
  }

  void Finish(HttpCallReply aReply)
  {
    if (mHasEnded) {
      return;
    }
    aReply.mBody = mErrorBody;
    StepFailure failure = FailureOf(aReply, CodeOf(mErrorBody));
    if (aReply.mResult == HttpCallResult::Complete &&
        aReply.mStatus == kStatusOk) {
      // The response is complete, but the event that ends the answer is
      // missing.
      failure = StepFailure::ConnectionLost;
    }
    mHooks.mOnFailure(failure);
  }

  int mStatus = 0;

private:
  void HandleEvent(const SseEvent& aEvent)
  {
    const Json json = Json::parse(aEvent.mData, nullptr, false);
    if (!json.is_object() || mIsMalformed || mHasEnded) {
      return;
    }
    if (json.contains("finish") && json.contains("tokens") &&
        json["tokens"].is_number_unsigned()) {
      mHasEnded = true;
      mHooks.mOnEnd(json["tokens"].get<std::uint64_t>());
      return;
    }
    if (json.contains("offset") && json["offset"].is_number_unsigned() &&
        json.contains("token") && json["token"].is_string()) {
      mHooks.mOnToken(json["offset"].get<std::uint64_t>(),
                      json["token"].get<std::string>());
    }
  }

  DecodeHooks mHooks;
  SseReader mReader;
  std::string mErrorBody;
  bool mIsMalformed = false;
  bool mHasEnded = false;
};

EngineStatus
ParseStatus(const Json& aJson)
{
  EngineStatus status;
  status.mIncarnation = aJson.at("incarnation").get<std::string>();
  for (const auto& it : aJson.at("streams")) {
    status.mStreams.push_back({ it.at("request").get<std::string>(),
                                it.at("attempt").get<std::uint32_t>() });
  }
  return status;
}

EngineLoad
ParseLoad(const Json& aJson)
{
  EngineLoad load;
  load.mIncarnation = aJson.at("incarnation").get<std::string>();
  load.mRunning = aJson.at("running").get<std::uint64_t>();
  load.mQueued = aJson.at("queued").get<std::uint64_t>();
  load.mSlots = aJson.at("slots").get<std::uint64_t>();
  load.mPiecesTotal = aJson.at("pieces_total").get<std::uint64_t>();
  load.mPiecesUsed = aJson.at("pieces_used").get<std::uint64_t>();
  load.mAge = std::chrono::milliseconds(aJson.at("age_ms").get<std::int64_t>());
  return load;
}

EngineEvents
ParseEvents(const Json& aJson)
{
  EngineEvents events;
  events.mNext = aJson.at("next").get<std::uint64_t>();
  for (const auto& it : aJson.at("events")) {
    CacheEvent event;
    event.mSequence = it.at("sequence").get<std::uint64_t>();
    event.mIsStored = it.at("kind").get<std::string>() == "stored";
    event.mTokens = it.at("tokens").get<std::uint64_t>();
    const auto prefix = it.at("prefix").get<std::string>();
    if (absl::SimpleHexAtoi(prefix, &event.mPrefix)) {
      events.mEvents.push_back(event);
    }
  }
  return events;
}

std::vector<EngineAllocation>
ParseAllocations(const Json& aJson)
{
  std::vector<EngineAllocation> allocations;
  for (const auto& it : aJson.at("holdings")) {
    allocations.push_back({ it.at("request").get<std::string>(),
                            it.at("attempt").get<std::uint64_t>(),
                            it.at("owner").get<std::string>() });
  }
  return allocations;
}

} // namespace

EngineClient::EngineClient(HttpClient& aClient,
                           const RoutingSettings& aSettings)
  : mClient(aClient)
  , mSettings(aSettings)
{
}

HttpCallRequest
EngineClient::MakeRequest(const SocketAddress& aEngine,
                          HttpMethod aMethod,
                          std::string aTarget,
                          std::string aBody,
                          Duration aReadTimeout) const
{
  HttpCallRequest request;
  request.mAddress = aEngine;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  request.mHeaders.Add("Content-Type", "application/json");
  request.mBody = std::move(aBody);
  request.mConnectTimeout = mSettings.mConnectTimeout;
  request.mReadTimeout = aReadTimeout;
  return request;
}

EngineClient::Call
EngineClient::Prefill(const SocketAddress& aEngine,
                      const PrefillRequest& aRequest,
                      Hook<PrefillReply> aHook)
{
  Json body = IdToJson(aRequest.mId);
  body["model"] = aRequest.mModel;
  body["adapter"] = "";
  body["prompt"] = aRequest.mPrompt;
  body["generated"] = aRequest.mGenerated;
  body["offset"] = aRequest.mOffset;
  body["max_tokens"] = aRequest.mMaxTokens;
  body["priority"] = aRequest.mPriority;
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(ParseReply<PrefillReply>(aReply, [](const Json& aJson) {
      return PrefillReply{ aJson.at("kv").get<std::string>(),
                           aJson.at("prompt_tokens").get<std::uint64_t>(),
                           aJson.at("cached_tokens").get<std::uint64_t>(),
                           aJson.at("pieces").get<std::uint64_t>() };
    }));
  };
  return mClient.Start(MakeRequest(aEngine,
                                   HttpMethod::Post,
                                   "/engine/prefill",
                                   body.dump(),
                                   mSettings.mPrefillTimeout),
                       std::move(hooks));
}

EngineClient::Call
EngineClient::Transfer(const SocketAddress& aEngine,
                       const TransferRequest& aRequest,
                       Hook<TransferReply> aHook)
{
  Json body = IdToJson(aRequest.mId);
  body["source"] = FormatAddress(aRequest.mSource);
  body["kv"] = aRequest.mHandle;
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(ParseReply<TransferReply>(aReply, [](const Json& aJson) {
      return TransferReply{ aJson.at("kv").get<std::string>(),
                            aJson.at("bytes").get<std::uint64_t>() };
    }));
  };
  return mClient.Start(MakeRequest(aEngine,
                                   HttpMethod::Post,
                                   "/engine/transfer",
                                   body.dump(),
                                   mSettings.mTransferTimeout),
                       std::move(hooks));
}

EngineClient::Call
EngineClient::Decode(const SocketAddress& aEngine,
                     const DecodeRequest& aRequest,
                     DecodeHooks aHooks)
{
  Json body = IdToJson(aRequest.mId);
  body["kv"] = aRequest.mHandle;
  body["offset"] = aRequest.mOffset;
  body["max_tokens"] = aRequest.mMaxTokens;
  body["priority"] = aRequest.mPriority;
  auto stream = std::make_shared<DecodeStream>(std::move(aHooks));
  HttpCallHooks hooks;
  hooks.mOnHeaders = [stream](int aStatus, const HttpHeaders&) {
    stream->mStatus = aStatus;
  };
  hooks.mOnChunk = [stream](std::string_view aData) { stream->Feed(aData); };
  hooks.mOnDone = [stream](HttpCallReply aReply) {
    stream->Finish(std::move(aReply));
  };
  HttpCallRequest request = MakeRequest(aEngine,
                                        HttpMethod::Post,
                                        "/engine/decode",
                                        body.dump(),
                                        mSettings.mStreamReadTimeout);
  // A resumed stream must not reuse the pooled connection that timed out.
  if (aRequest.mOffset > 0) {
    request.mMaxIdleTime = Duration::zero();
  }
  return mClient.Start(std::move(request), std::move(hooks));
}

EngineClient::Call
EngineClient::Cancel(const SocketAddress& aEngine,
                     const AttemptId& aId,
                     std::function<void(bool)> aHook)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(aReply.mResult == HttpCallResult::Complete &&
         aReply.mStatus == kStatusOk);
  };
  return mClient.Start(MakeRequest(aEngine,
                                   HttpMethod::Post,
                                   "/engine/cancel",
                                   IdToJson(aId).dump(),
                                   mSettings.mStreamReadTimeout),
                       std::move(hooks));
}

EngineClient::Call
EngineClient::Status(const SocketAddress& aEngine, Hook<EngineStatus> aHook)
{
  HttpCallRequest request = MakeRequest(aEngine,
                                        HttpMethod::Get,
                                        "/engine/status",
                                        "",
                                        mSettings.mStreamReadTimeout);
  request.mMaxIdleTime = Duration::zero();
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(ParseReply<EngineStatus>(aReply, ParseStatus));
  };
  return mClient.Start(std::move(request), std::move(hooks));
}

EngineClient::Call
EngineClient::Load(const SocketAddress& aEngine, Hook<EngineLoad> aHook)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(ParseReply<EngineLoad>(aReply, ParseLoad));
  };
  return mClient.Start(MakeRequest(aEngine,
                                   HttpMethod::Get,
                                   "/engine/load",
                                   "",
                                   mSettings.mStreamReadTimeout),
                       std::move(hooks));
}

EngineClient::Call
EngineClient::Allocations(const SocketAddress& aEngine,
                          Hook<std::vector<EngineAllocation>> aHook)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(ParseReply<std::vector<EngineAllocation>>(aReply, ParseAllocations));
  };
  return mClient.Start(MakeRequest(aEngine,
                                   HttpMethod::Get,
                                   "/engine/holdings",
                                   "",
                                   mSettings.mStreamReadTimeout),
                       std::move(hooks));
}

EngineClient::Call
EngineClient::Events(const SocketAddress& aEngine,
                     std::uint64_t aFrom,
                     Hook<EngineEvents> aHook)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [hook = std::move(aHook)](const HttpCallReply& aReply) {
    hook(ParseReply<EngineEvents>(aReply, ParseEvents));
  };
  return mClient.Start(MakeRequest(aEngine,
                                   HttpMethod::Get,
                                   absl::StrCat("/engine/events?from=", aFrom),
                                   "",
                                   mSettings.mStreamReadTimeout),
                       std::move(hooks));
}

} // namespace bulrushfold
