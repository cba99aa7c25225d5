#include "FakeEndpoint.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Net/LoopFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
} // namespace

FakeEndpoint::FakeEndpoint(EventLoop& aLoop,
                           std::string aId,
                           std::string aStage)
  : mLoop(aLoop)
  , mId(std::move(aId))
  , mStage(std::move(aStage))
  , mAddress(FreeAddress())
  , mServer(aLoop, {}, [this](const Exchange& aExchange) { Handle(aExchange); })
{
  static_cast<void>(mServer.Listen(mAddress));
}

std::string
FakeEndpoint::RegistryEntry(const std::string& aService,
                            const std::string& aState,
                            std::int64_t aStartTime) const
{
  Json entry = {
    { "service", aService }, { "address", FormatAddress(mAddress) },
    { "zone", "z" },         { "version", "v1" },
    { "slots", 8 },          { "state", aState },
    { "cold_left_ms", 0 },   { "sequence", 3 },
    { "born", aStartTime }
  };
  if (!mStage.empty()) {
    entry["stage"] = mStage;
  }
  return entry.dump();
}

HttpHeaders
FakeEndpoint::AnswerHeaders(const Exchange& aExchange) const
{
  const auto id = aExchange->Request().mHeaders.Find("X-Request-Id");
  HttpHeaders headers{ { "X-Server-Load", "1,0,8" } };
  headers.Add("X-Request-Id",
              mMode == FakeEndpointMode::WrongRequestId ? "another"
                                                        : id.value_or(""));
  if (mMode != FakeEndpointMode::NoStamp) {
    headers.Add("X-Server-Stamp", "stamp." + mId);
  }
  return WithLeaving(std::move(headers));
}

HttpHeaders
FakeEndpoint::RefusalHeaders() const
{
  HttpHeaders headers{ { "X-Not-Run", "1" } };
  if (!mRetryAfter.empty()) {
    headers.Add("Retry-After", mRetryAfter);
  }
  return WithLeaving(std::move(headers));
}

HttpHeaders
FakeEndpoint::WithLeaving(HttpHeaders aHeaders) const
{
  if (mIsLeaving) {
    aHeaders.Add("Server-Leaving", "1");
  }
  return aHeaders;
}

void
FakeEndpoint::AddOpenRequest(const Exchange& aExchange)
{
  mOpenRequests.push_back(aExchange);
  aExchange->OnClosed([this, raw = aExchange.get()] {
    ++mCancelled;
    mTimers.erase(raw);
    // Deferred, because the exchange is still running this callback.
    mLoop.Defer([this, raw] {
      mOpenRequests.remove_if(
        [raw](const auto& aIt) { return aIt.get() == raw; });
    });
  });
}

void
FakeEndpoint::Handle(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.mPath.compare(0, 5, "/api/") == 0) {
    HandleApiCall(aExchange);
    return;
  }
  mReceived.push_back(request);
  const auto expected = request.mHeaders.Find("X-Expect-Instance");
  if (mMode == FakeEndpointMode::Misdirected ||
      (expected && *expected != mId)) {
    aExchange->Reply(421, { { "X-Instance-Id", mId } }, "");
    return;
  }
  HandleRequest(aExchange);
}

void
FakeEndpoint::HandleRequest(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string id = request.mHeaders.Find("X-Request-Id").value_or("");
  if (mMode == FakeEndpointMode::Refuse) {
    aExchange->Reply(503, RefusalHeaders(), "");
    return;
  }
  if (request.mHeaders.Find("X-Serving-Stage") == "prefill") {
    if (mMode == FakeEndpointMode::Disconnect) {
      aExchange->Abort();
      return;
    }
    Prefill(aExchange);
    return;
  }
  mRunIds.push_back(id);
  switch (mMode) {
    case FakeEndpointMode::NeverAnswer:
      AddOpenRequest(aExchange);
      return;
    case FakeEndpointMode::Disconnect:
      aExchange->Abort();
      return;
    case FakeEndpointMode::InternalError:
      aExchange->Reply(500, AnswerHeaders(aExchange), "failed");
      return;
    default:
      break;
  }
  if (mStage.empty()) {
    aExchange->Reply(
      200, AnswerHeaders(aExchange), mId + " ran " + id + " " + request.mBody);
  } else {
    Stream(aExchange);
  }
}

void
FakeEndpoint::Prefill(const Exchange& aExchange)
{
  const std::string id =
    aExchange->Request().mHeaders.Find("X-Request-Id").value_or("");
  const auto answer = [this, aExchange, id] {
    aExchange->Reply(
      200,
      WithLeaving({ { "X-Request-Id", id } }),
      Json{ { "handle", "h" + id }, { "tokens", 10 }, { "version", 1 } }.dump(
        -1, ' ', false, Json::error_handler_t::replace));
  };
  if (mPrefillTime <= Duration::zero()) {
    answer();
    return;
  }
  mTimers[aExchange.get()] = mLoop.After(mPrefillTime, answer);
}

void
FakeEndpoint::Stream(const Exchange& aExchange)
{
  AddOpenRequest(aExchange);
  HttpHeaders headers = AnswerHeaders(aExchange);
  headers.Add("Content-Type", "text/event-stream");
  aExchange->StartStream(200, headers);
  const auto last = aExchange->Request().mHeaders.Find("Last-Event-Id");
  SendEvent(aExchange, last ? std::stoi(*last) + 1 : 1);
}

void
FakeEndpoint::SendEvent(const Exchange& aExchange, int aId)
{
  if (aId > mEventCount || aId > mAbortAfter) {
    aExchange->OnClosed(nullptr);
    if (aId > mEventCount) {
      aExchange->EndStream();
    } else {
      aExchange->SendChunk("id: " + std::to_string(aId) + "\nda");
      aExchange->Abort();
    }
    mTimers.erase(aExchange.get());
    mOpenRequests.remove(aExchange);
    return;
  }
  aExchange->SendChunk("id: " + std::to_string(aId) +
                       "\ndata: " + std::to_string(aId) + "\n\n");
  mTimers[aExchange.get()] =
    mLoop.After(mEventInterval, [this, exchange = aExchange.get(), aId] {
      const auto it =
        std::find_if(mOpenRequests.begin(),
                     mOpenRequests.end(),
                     [&](const auto& aIt) { return aIt.get() == exchange; });
      if (it != mOpenRequests.end()) {
        SendEvent(Exchange(*it), aId + 1);
      }
    });
}

void
FakeEndpoint::HandleApiCall(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.mPath == "/api/hold-take") {
    ++mReserveCalls;
    const bool isFull = mMode == FakeEndpointMode::Refuse;
    const Json grant = { { "hold", "hold" + std::to_string(mGrants + 1) } };
    mGrants += isFull ? 0 : 1;
    aExchange->Reply(isFull ? 503 : 200,
                     isFull ? RefusalHeaders() : WithLeaving({}),
                     isFull ? "" : grant.dump());
  } else if (request.mPath == "/api/order") {
    mOrders.push_back(request);
    aExchange->Reply(202, WithLeaving({}), "{}");
  } else if (request.mPath == "/api/kv-list") {
    ++mCacheListCalls;
    Json held = Json::array();
    for (const auto& [part, tokens] : mCachedParts) {
      held.push_back({ "", part, tokens, "m" });
    }
    aExchange->Reply(
      200,
      WithLeaving({}),
      Json{ { "epoch", 1 }, { "next", 1 }, { "held", held } }.dump());
  } else if (request.mPath == "/api/report") {
    aExchange->Reply(
      200,
      WithLeaving({}),
      Json{ { "stage", mStage }, { "busy", false }, { "sequence", 0 } }.dump());
  } else {
    aExchange->Reply(200, WithLeaving({}), "{}");
  }
}

} // namespace bulrushfold
