#ifndef BULRUSHFOLD_DAEMON_ENGINECLIENT_H
#define BULRUSHFOLD_DAEMON_ENGINECLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Net/HttpClient.h"
#include "Policy/PrefixIndex.h"
#include "Serving/ModelCall.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Identity of one attempt of a request at an engine. */
struct AttemptId
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  /** "DAEMON/INCARNATION" of the entry daemon. */
  std::string mOwner;
};

/** Parameters of a prefill call. */
struct PrefillRequest
{
  AttemptId mId;
  std::string mModel;
  std::string mPrompt;
  std::string mGenerated;
  std::uint64_t mOffset = 0;
  std::uint64_t mMaxTokens = 0;
  int mPriority = 0;
};

/** Result of a prefill. */
struct PrefillReply
{
  std::string mHandle;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mPieces = 0;
};

/** Parameters of a KV cache transfer, sent to the decode engine. */
struct TransferRequest
{
  AttemptId mId;
  SocketAddress mSource;
  std::string mHandle;
};

/** Parameters of a decode call; an offset above 0 resumes a stream. */
struct DecodeRequest
{
  AttemptId mId;
  std::string mHandle;
  std::uint64_t mOffset = 0;
  std::uint64_t mMaxTokens = 0;
  int mPriority = 0;
};

/** Callbacks of a decode stream. */
struct DecodeHooks
{
  std::function<void(std::uint64_t aOffset, const std::string& aText)> mOnToken;
  /** The engine announced the end of the answer. */
  std::function<void(std::uint64_t aTokens)> mOnEnd;
  /** The stream ended before the answer was complete. */
  std::function<void(StepFailure)> mOnFailure;
};

/** One stream in progress at an engine. */
struct EngineStream
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
};

/** State of an engine, read on a new connection. */
struct EngineStatus
{
  std::string mIncarnation;
  std::vector<EngineStream> mStreams;
};

/** Load report of an engine; it may lag behind the actual load. */
struct EngineLoad
{
  std::string mIncarnation;
  std::uint64_t mRunning = 0;
  std::uint64_t mQueued = 0;
  std::uint64_t mSlots = 0;
  std::uint64_t mPiecesTotal = 0;
  std::uint64_t mPiecesUsed = 0;
  Duration mAge{};
};

/** Memory that an engine has allocated for one attempt. */
struct EngineAllocation
{
  std::string mRequest;
  std::uint64_t mAttempt = 0;
  /** "DAEMON/INCARNATION". */
  std::string mOwner;
};

/** Cache events of an engine. */
struct EngineEvents
{
  std::vector<CacheEvent> mEvents;
  /** Sequence number to continue from. */
  std::uint64_t mNext = 0;
};

/** Result of a transfer. */
struct TransferReply
{
  std::string mHandle;
  std::uint64_t mBytes = 0;
};

/** Result of a step: a value, or why it failed. */
template<typename Value>
struct StepResult
{
  bool mIsOk = false;
  Value mValue;
  StepFailure mFailure = StepFailure::Refused;
  /** Error code that the engine returned; empty if there is none. */
  std::string mCode;
};

/** Client of the engine protocol in docs/interfaces.md. */
class EngineClient
{
public:
  template<typename Value>
  using Hook = std::function<void(StepResult<Value>)>;
  /** A call in progress; destroying it closes its connection. */
  using Call = std::unique_ptr<HttpCall>;

  EngineClient(HttpClient& aClient, const RoutingSettings& aSettings);

  Call Prefill(const SocketAddress& aEngine,
               const PrefillRequest& aRequest,
               Hook<PrefillReply> aHook);
  Call Transfer(const SocketAddress& aEngine,
                const TransferRequest& aRequest,
                Hook<TransferReply> aHook);
  Call Decode(const SocketAddress& aEngine,
              const DecodeRequest& aRequest,
              DecodeHooks aHooks);
  /** Passes true to aHook if the engine confirmed the cancel. */
  Call Cancel(const SocketAddress& aEngine,
              const AttemptId& aId,
              std::function<void(bool)> aHook);
  Call Status(const SocketAddress& aEngine, Hook<EngineStatus> aHook);
  Call Load(const SocketAddress& aEngine, Hook<EngineLoad> aHook);
  Call Allocations(const SocketAddress& aEngine,
                   Hook<std::vector<EngineAllocation>> aHook);
  Call Events(const SocketAddress& aEngine,
              std::uint64_t aFrom,
              Hook<EngineEvents> aHook);

private:
  HttpCallRequest MakeRequest(const SocketAddress& aEngine,
                              HttpMethod aMethod,
                              std::string aTarget,
                              std::string aBody,
                              Duration aReadTimeout) const;

  HttpClient& mClient;
  RoutingSettings mSettings;
};

} // namespace bulrushfold

#endif
