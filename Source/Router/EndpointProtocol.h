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

/** Token counts that the caller of a model request states. */
struct TokenCounts
{
  std::uint64_t mPrompt = 0;
  std::uint64_t mMaxAnswer = 0;
  /** The caller's estimate of the answer length; accurate only on average. */
  std::optional<std::uint64_t> mEstimatedAnswer;
};

/** Properties of a request other than its path and body. */
struct RequestMetadata
{
  /** Set by the caller; unique for each of its attempts. */
  std::string mId;
  /** The key of the caller's workspace; empty when the request has none, an
   * unreadable one or several. Must not be logged. */
  std::string mKey;
  /** Time that the caller waits for the answer after it sent the request. */
  std::optional<Duration> mCallerTimeout;
  std::optional<TokenCounts> mTokens;
  /** Id of the last event that the caller received; the stream resumes after
   * it. */
  std::string mLastEventId;
  /** Id of the attempt that brought the caller the first event of the stream
   * that it resumes; empty when it resumes none. */
  std::string mResumedAttempt;
  /** The last part of the prompt, which no other caller's prompt contains. */
  std::optional<PromptPart> mUniquePromptPart;
  /** Keys of the parts before the last one, which other prompts may contain, in
   * the order of the prompt; limited in number. */
  std::vector<std::uint64_t> mSharedPromptParts;
};

/** Properties of an endpoint's answer other than its body. */
struct AnswerMetadata
{
  /** The answer proves that the endpoint itself created it. */
  bool mHasServerStamp = false;
  /** The endpoint states that it did not run the request. */
  bool mIsNotRun = false;
  /** Another endpoint than the expected one answered; it ran no request. */
  bool mIsMisdirected = false;
  /** The endpoint states that it leaves and wants no new requests. */
  bool mIsLeaving = false;
  /** The endpoint refused the request and wants no others for this time. */
  std::optional<Duration> mRetryAfter;
  /** Request that the answer belongs to; empty when the answer names none. */
  std::string mRequestId;
  std::optional<ReportedLoad> mLoad;
};

/** A KV cache that an engine keeps until a decode engine fetches it. */
struct KvCache
{
  /** Endpoint that keeps the cache. */
  std::string mEndpoint;
  /** Address of that endpoint. */
  SocketAddress mAddress;
  std::string mHandle;
};

/** State that an engine reports. */
struct EngineState
{
  EndpointRole mRole = EndpointRole::Decode;
  /** The engine is executing a role order. */
  bool mIsBusy = false;
  /** Number of role orders that the engine accepted since its start. */
  std::uint64_t mOrdersAccepted = 0;
};

/** Parameters of one send of a caller's request. */
struct SendParameters
{
  /** Time in which the endpoint must answer. */
  Duration mTimeLeft{};
  /** Id of the last event that the caller received; the stream continues
   * after it. */
  std::string mLastEventId;
  /** Decode only: KV cache of the prompt. */
  std::optional<KvCache> mCache;
  /** Decode only: reservation of engine memory. */
  std::string mReservation;
  /** Set when the configuration has workspaces: the name of the caller's one,
   * or empty on a public route without a known key. The caller's key is not
   * passed on then. */
  std::optional<std::string> mWorkspace;
};

/**
 * Encodes the calls to endpoints and decodes their answers. Only the
 * implementation contains the names that are used on the wire.
 */
class EndpointProtocol
{
public:
  virtual ~EndpointProtocol() = default;

  // Requests of callers.
  virtual RequestMetadata ReadRequest(const HttpRequest& aRequest) const = 0;
  /** Headers of an answer that the router itself creates. */
  virtual HttpHeaders RouterAnswerHeaders(const RequestMetadata& aMetadata,
                                          Duration aRetryAfter) const = 0;
  /** Headers of an endpoint's answer that are passed on to the caller. */
  virtual HttpHeaders ForwardedHeaders(const HttpHeaders& aHeaders) const = 0;

  // Calls to endpoints, with address, method, target and headers.
  /** Passes the caller's request on to aEndpoint. */
  virtual HttpCallRequest Forward(const HttpRequest& aRequest,
                                  const EndpointRecord& aEndpoint,
                                  const SendParameters& aParameters) const = 0;
  /** Has aEndpoint compute the prompt, but no answer. */
  virtual HttpCallRequest Prefill(const HttpRequest& aRequest,
                                  const EndpointRecord& aEndpoint,
                                  const SendParameters& aParameters) const = 0;
  /** Stops the run of aRequestId at aEndpoint and copies its KV cache to
   * aTarget. InvalidArgument: the call can't carry the bytes of aRequestId. */
  virtual absl::StatusOr<HttpCallRequest> MoveCache(
    const EndpointRecord& aEndpoint,
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
  /** Lists the prompt parts in the engine's prefix cache. */
  virtual HttpCallRequest ListCachedParts(
    const EndpointRecord& aEndpoint) const = 0;
  /** Orders the engine to change to aRole. aHolder and aFence: holder and
   * fencing number of the lease. The order is void if the engine accepted
   * others after it reported aOrdersAccepted. */
  virtual HttpCallRequest OrderRole(const EndpointRecord& aEndpoint,
                                    EndpointRole aRole,
                                    const std::string& aHolder,
                                    std::uint64_t aFence,
                                    std::uint64_t aOrdersAccepted) const = 0;

  // Answers of endpoints.
  virtual AnswerMetadata ReadAnswer(int aStatus,
                                    const HttpHeaders& aHeaders) const = 0;
  /** Cache handle in the answer to Prefill or MoveCache; InvalidArgument
   * describes the error. */
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
