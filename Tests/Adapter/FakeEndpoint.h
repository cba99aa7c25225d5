#ifndef BULRUSHFOLD_TESTS_ADAPTER_FAKEENDPOINT_H
#define BULRUSHFOLD_TESTS_ADAPTER_FAKEENDPOINT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Net/EventLoop.h"
#include "Net/HttpServer.h"

namespace bulrushfold {

/** How a fake endpoint treats requests. */
enum class FakeEndpointMode
{
  /** Runs a request and answers it. */
  Answer,
  /** Refuses a request, as an endpoint without free slots does. */
  Refuse,
  /** Runs a request and answers 500. */
  InternalError,
  /** Accepts a request and never answers it. */
  NeverAnswer,
  /** Runs a request and closes the connection instead of answering. */
  Disconnect,
  /** Answers without the header that proves the origin of the answer. */
  NoStamp,
  /** Answers with the id of another request. */
  WrongRequestId,
  /** Answers 421, as if another endpoint had taken over the address. */
  Misdirected,
};

/** Fake endpoint that implements the platform's published protocol. */
class FakeEndpoint
{
public:
  /** aStage is "prefill" or "decode", or empty for a plain service. */
  FakeEndpoint(EventLoop& aLoop, std::string aId, std::string aStage);

  const SocketAddress& Address() const { return mAddress; }
  const std::string& Id() const { return mId; }
  void SetMode(FakeEndpointMode aMode) { mMode = aMode; }
  /** All answers state that the endpoint leaves. */
  void SetLeaving(bool aIsLeaving) { mIsLeaving = aIsLeaving; }
  /** Value of the Retry-After header of refusals; empty: no such header. */
  void SetRetryAfter(std::string aRetryAfter)
  {
    mRetryAfter = std::move(aRetryAfter);
  }
  /** Time between two events of a stream. */
  void SetEventInterval(Duration aInterval) { mEventInterval = aInterval; }
  /** Time for the prefill of one prompt. */
  void SetPrefillTime(Duration aTime) { mPrefillTime = aTime; }
  /** Sets the number of events of a stream, and the number of events after
   * which the connection is closed. */
  void SetEventCount(int aCount, int aAbortAfter = 1'000'000)
  {
    mEventCount = aCount;
    mAbortAfter = aAbortAfter;
  }

  /** Adds a prompt part to the list of parts in the engine's prefix cache. */
  void AddCachedPart(const std::string& aPart, int aTokens)
  {
    mCachedParts[aPart] = aTokens;
  }
  /** Number of calls that requested that list. */
  std::size_t CacheListCalls() const { return mCacheListCalls; }
  /** Number of calls to reserve memory. */
  std::size_t ReserveCalls() const { return mReserveCalls; }
  /** Order calls that arrived. */
  const std::vector<HttpRequest>& Orders() const { return mOrders; }

  /** Registry entry that the endpoint writes into the store, a JSON text. */
  std::string RegistryEntry(const std::string& aService,
                            const std::string& aState = "ready",
                            std::int64_t aStartTime = 1700000000000) const;
  /** Ids of the requests that this endpoint ran. */
  const std::vector<std::string>& RunIds() const { return mRunIds; }
  /** All requests that arrived, including refused ones. */
  const std::vector<HttpRequest>& Received() const { return mReceived; }
  /** Number of requests whose caller closed the connection before the answer
   * was complete. */
  std::size_t Cancelled() const { return mCancelled; }
  std::size_t OpenRequests() const { return mOpenRequests.size(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Handle(const Exchange& aExchange);
  void HandleRequest(const Exchange& aExchange);
  void HandleApiCall(const Exchange& aExchange);
  void Prefill(const Exchange& aExchange);
  void Stream(const Exchange& aExchange);
  void SendEvent(const Exchange& aExchange, int aId);
  HttpHeaders AnswerHeaders(const Exchange& aExchange) const;
  HttpHeaders RefusalHeaders() const;
  /** aHeaders with the header that announces that the endpoint leaves. */
  HttpHeaders WithLeaving(HttpHeaders aHeaders) const;
  void AddOpenRequest(const Exchange& aExchange);

  EventLoop& mLoop;
  std::string mId;
  std::string mStage;
  SocketAddress mAddress;
  FakeEndpointMode mMode = FakeEndpointMode::Answer;
  Duration mEventInterval = std::chrono::milliseconds(2);
  Duration mPrefillTime{};
  int mEventCount = 5;
  int mAbortAfter = 1'000'000;
  std::size_t mCancelled = 0;
  std::size_t mCacheListCalls = 0;
  std::size_t mReserveCalls = 0;
  bool mIsLeaving = false;
  std::string mRetryAfter;
  /** Number of reservations granted; each one has its own name. */
  int mGrants = 0;
  std::vector<HttpRequest> mOrders;
  std::map<std::string, int> mCachedParts;
  std::vector<std::string> mRunIds;
  std::vector<HttpRequest> mReceived;
  std::list<Exchange> mOpenRequests;
  std::map<HttpExchange*, EventHandle> mTimers;
  HttpServer mServer;
};

} // namespace bulrushfold

#endif
