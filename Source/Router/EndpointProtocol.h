#ifndef BULRUSHFOLD_ROUTER_ENDPOINTPROTOCOL_H
#define BULRUSHFOLD_ROUTER_ENDPOINTPROTOCOL_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Net/HttpClient.h"
#include "Net/HttpMessage.h"
#include "Routing/CachedPrompts.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointLoads.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Token counts of a model request, as its caller states them. */
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mMaxAnswer = 0;
  /** The caller's guess of the answer's length; good only on average. */
  std::optional<std::uint64_t> mEstimatedAnswer;
};

/** What a request says of itself, apart from path and body. */
struct RequestMetadata
{
  /** Given by the caller; unique for each of its attempts. */
  std::string mId;
  /** How long the caller waits, from the time of sending. */
  std::optional<Duration> mCallerTimeout;
  std::optional<TokenCounts> mTokens;
  /** Last event that the caller has; it resumes a stream after it. */
  std::string mLastEventId;
  /** The last part of the prompt, which no other caller's prompt has. */
  std::optional<PromptPart> mUniquePromptPart;
};

/** What an answer of an endpoint says, apart from its body. */
struct AnswerMetadata
{
  /** The answer proves that the endpoint itself made it. */
  bool mHasServerStamp = false;
  /** The endpoint states that it did not run the request. */
  bool mIsNotRun = false;
  /** Another endpoint than the expected one answered; it ran nothing. */
  bool mIsMisdirected = false;
  /** Request that the answer belongs to; empty when it does not say. */
  std::string mRequestId;
  std::optional<ReportedLoad> mLoad;
};

/** A KV cache that an engine keeps for a decode engine to take. */
struct KvCache
{
  /** Endpoint that keeps it, and its address. */
  std::string mEndpoint;
  SocketAddress mAddress;
  std::string mHandle;
};

/** What an engine says of itself. */
struct EngineState
{
  EndpointRole mRole = EndpointRole::Decode;
  /** An order is being carried out. */
  bool mIsBusy = false;
  /** Orders that the engine accepted since its start. */
  std::uint64_t mOrdersAccepted = 0;
};

/** Terms of one send of a caller's request. */
struct SendParameters
{
  /** Time that the endpoint may use. */
  Duration mTimeLeft{};
  /** Last event that the caller has; the stream goes on after it. */
  std::string mLastEventId;
  /** Decode: the computed prompt. */
  std::optional<KvCache> mCache;
  /** Decode: memory reserved before. */
  std::string mReservation;
};

/**
 * How requests are put to endpoints and what their answers mean. The only
 * place that knows the names on the wire is the implementation.
 */
class EndpointProtocol
{
public:
  virtual ~EndpointProtocol() = default;

  // Requests of callers.
  virtual RequestMetadata ReadRequest(const HttpRequest& aRequest) const = 0;
  /** Headers of an answer made by the router itself. */
  virtual HttpHeaders RouterAnswerHeaders(const RequestMetadata& aMetadata,
                                          Duration aRetryAfter) const = 0;
  /** Headers of an endpoint's answer as they go to the caller. */
  virtual HttpHeaders ForwardedHeaders(const HttpHeaders& aHeaders) const = 0;

  // Calls to endpoints. Address, method, target and headers are set.
  /** The request as it came, to be answered by aEndpoint. */
  virtual HttpCallRequest Forward(const HttpRequest& aRequest,
                                  const EndpointRecord& aEndpoint,
                                  const SendParameters& aParameters) const = 0;
  /** Computes the prompt only. */
  virtual HttpCallRequest Prefill(const HttpRequest& aRequest,
                                  const EndpointRecord& aEndpoint,
                                  const SendParameters& aParameters) const = 0;
  /** Stops the run of a request at aEndpoint and copies its KV cache to
   * aTarget. */
  virtual HttpCallRequest MoveCache(const EndpointRecord& aEndpoint,
                                    const std::string& aRequestId,
                                    const EndpointRecord& aTarget) const = 0;
  virtual HttpCallRequest DropCache(const EndpointRecord& aEndpoint,
                                    const std::string& aHandle) const = 0;
  virtual HttpCallRequest Reserve(const EndpointRecord& aEndpoint,
                                  std::uint64_t aTokens,
                                  Duration aLifetime) const = 0;
  virtual HttpCallRequest DropReservation(
    const EndpointRecord& aEndpoint,
    const std::string& aReservation) const = 0;

  virtual HttpCallRequest State(const EndpointRecord& aEndpoint) const = 0;
  /** Asks what the engine's prefix cache keeps. */
  virtual HttpCallRequest ListCachedParts(
    const EndpointRecord& aEndpoint) const = 0;
  /** aOrdersAccepted: the order is void if the engine accepted others since. */
  virtual HttpCallRequest OrderRole(const EndpointRecord& aEndpoint,
                                    EndpointRole aRole,
                                    const std::string& aHolder,
                                    std::uint64_t aFence,
                                    std::uint64_t aOrdersAccepted) const = 0;

  // Answers of endpoints.
  virtual AnswerMetadata ReadAnswer(int aStatus,
                                    const HttpHeaders& aHeaders) const = 0;
  /** Handle in the answer to Prefill or MoveCache; InvalidArgument names what
   * is wrong. */
  virtual absl::StatusOr<std::string> ReadCacheHandle(
    const std::string& aBody) const = 0;
  virtual absl::StatusOr<std::string> ReadReservation(
    const std::string& aBody) const = 0;
  virtual absl::StatusOr<EngineState> ReadState(
    const std::string& aBody) const = 0;
  virtual absl::StatusOr<std::vector<PromptPart>> ReadCachedParts(
    const std::string& aBody) const = 0;
};

} // namespace bulrushfold

#endif
