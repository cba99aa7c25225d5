#include "StandInRunner.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Net/LoopFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
} // namespace

StandInRunner::StandInRunner(EventLoop& aLoop,
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
StandInRunner::Entry(const std::string& aService,
                     const std::string& aState) const
{
  Json entry = {
    { "service", aService },  { "address", FormatAddress(mAddress) },
    { "zone", "z" },          { "version", "v1" },
    { "slots", 8 },           { "state", aState },
    { "cold_left_ms", 0 },    { "sequence", 3 },
    { "born", 1700000000000 }
  };
  if (!mStage.empty()) {
    entry["stage"] = mStage;
  }
  return entry.dump();
}

HttpHeaders
StandInRunner::Headers(const Exchange& aExchange) const
{
  const auto id = aExchange->Request().mHeaders.Find("X-Request-Id");
  HttpHeaders headers{ { "X-Server-Load", "1,0,8" } };
  headers.Add("X-Request-Id",
              mMode == RunnerMode::OtherId ? "another" : id.value_or(""));
  if (mMode != RunnerMode::NoProof) {
    headers.Add("X-Server-Stamp", "stamp." + mId);
  }
  return headers;
}

void
StandInRunner::Hold(const Exchange& aExchange)
{
  mOpen.push_back(aExchange);
  aExchange->OnClosed([this, raw = aExchange.get()] {
    ++mDropped;
    mTimers.erase(raw);
    // The exchange is in a callback of its own.
    mLoop.Defer([this, raw] {
      mOpen.remove_if([raw](const auto& aIt) { return aIt.get() == raw; });
    });
  });
}

void
StandInRunner::Handle(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.mPath.compare(0, 5, "/api/") == 0) {
    HandleCall(aExchange);
    return;
  }
  mReceived.push_back(request);
  const auto expected = request.mHeaders.Find("X-Expect-Instance");
  if (mMode == RunnerMode::Misdirect || (expected && *expected != mId)) {
    aExchange->Reply(421, { { "X-Instance-Id", mId } }, "");
    return;
  }
  HandleRequest(aExchange);
}

void
StandInRunner::HandleRequest(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string id = request.mHeaders.Find("X-Request-Id").value_or("");
  if (mMode == RunnerMode::Shed) {
    aExchange->Reply(503, { { "X-Not-Run", "1" } }, "");
    return;
  }
  if (request.mHeaders.Find("X-Serving-Stage") == "prefill") {
    if (mMode == RunnerMode::Lose) {
      aExchange->Abort();
      return;
    }
    Prefill(aExchange);
    return;
  }
  mRan.push_back(id);
  switch (mMode) {
    case RunnerMode::Mute:
      Hold(aExchange);
      return;
    case RunnerMode::Lose:
      aExchange->Abort();
      return;
    case RunnerMode::Error:
      aExchange->Reply(500, Headers(aExchange), "failed");
      return;
    default:
      break;
  }
  if (mStage.empty()) {
    aExchange->Reply(
      200, Headers(aExchange), mId + " ran " + id + " " + request.mBody);
  } else {
    Stream(aExchange);
  }
}

void
StandInRunner::Prefill(const Exchange& aExchange)
{
  const std::string id =
    aExchange->Request().mHeaders.Find("X-Request-Id").value_or("");
  const auto answer = [aExchange, id] {
    aExchange->Reply(
      200,
      { { "X-Request-Id", id } },
      Json{ { "handle", "h" + id }, { "tokens", 10 }, { "version", 1 } }
        .dump());
  };
  if (mPrefillTime <= Duration::zero()) {
    answer();
    return;
  }
  mTimers[aExchange.get()] = mLoop.After(mPrefillTime, answer);
}

void
StandInRunner::Stream(const Exchange& aExchange)
{
  Hold(aExchange);
  HttpHeaders headers = Headers(aExchange);
  headers.Add("Content-Type", "text/event-stream");
  aExchange->StartStream(200, headers);
  const auto last = aExchange->Request().mHeaders.Find("Last-Event-Id");
  NextEvent(aExchange, last ? std::stoi(*last) + 1 : 1);
}

void
StandInRunner::NextEvent(const Exchange& aExchange, int aId)
{
  if (aId > mEvents || aId > mBreakAfter) {
    aExchange->OnClosed(nullptr);
    if (aId > mEvents) {
      aExchange->EndStream();
    } else {
      aExchange->SendChunk("id: " + std::to_string(aId) + "\nda");
      aExchange->Abort();
    }
    mTimers.erase(aExchange.get());
    mOpen.remove(aExchange);
    return;
  }
  aExchange->SendChunk("id: " + std::to_string(aId) +
                       "\ndata: " + std::to_string(aId) + "\n\n");
  mTimers[aExchange.get()] =
    mLoop.After(mPace, [this, exchange = aExchange.get(), aId] {
      const auto it =
        std::find_if(mOpen.begin(), mOpen.end(), [&](const auto& aOpen) {
          return aOpen.get() == exchange;
        });
      if (it != mOpen.end()) {
        NextEvent(Exchange(*it), aId + 1);
      }
    });
}

void
StandInRunner::HandleCall(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.mPath == "/api/hold-take") {
    const bool isFull = mMode == RunnerMode::Shed;
    aExchange->Reply(
      isFull ? 503 : 200, {}, isFull ? "" : Json{ { "hold", "hold1" } }.dump());
  } else if (request.mPath == "/api/order") {
    mOrders.push_back(request);
    aExchange->Reply(202, {}, "{}");
  } else if (request.mPath == "/api/kv-list") {
    ++mLists;
    Json held = Json::array();
    for (const auto& [part, tokens] : mKept) {
      held.push_back({ "", part, tokens, "m" });
    }
    aExchange->Reply(
      200, {}, Json{ { "epoch", 1 }, { "next", 1 }, { "held", held } }.dump());
  } else if (request.mPath == "/api/report") {
    aExchange->Reply(
      200,
      {},
      Json{ { "stage", mStage }, { "busy", false }, { "sequence", 0 } }.dump());
  } else {
    aExchange->Reply(200, {}, "{}");
  }
}

} // namespace bulrushfold
