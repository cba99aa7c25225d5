#include "Router/CachedPromptQuery.h"

#include <utility>

#include "Base/Log.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/** Minimum time between two queries to one engine. */
constexpr Duration kQueryInterval = std::chrono::seconds(3);
/** Maximum time for which a stream waits for the answers. Reachable engines
 * answer within a few milliseconds. */
constexpr Duration kQueryTimeout = std::chrono::milliseconds(60);
} // namespace

CachedPromptQuery::CachedPromptQuery(EventLoop& aLoop,
                                     const Clock& aClock,
                                     EndpointClient& aClient,
                                     const EndpointProtocol& aProtocol,
                                     const EndpointDirectory& aDirectory,
                                     CachedPrompts& aCachedPrompts)
  : mLoop(aLoop)
  , mClock(aClock)
  , mClient(aClient)
  , mProtocol(aProtocol)
  , mDirectory(aDirectory)
  , mCachedPrompts(aCachedPrompts)
{
}

void
CachedPromptQuery::Start(const std::string& aService,
                         std::function<void()> aDone)
{
  const Instant now = mClock.Now();
  // A call may change the directory.
  const std::vector<const EndpointRecord*> engines =
    mDirectory.Usable(aService, EndpointRole::Decode);
  for (const EndpointRecord* it : engines) {
    const auto [queriedAt, isNew] = mQueriedAt.try_emplace(it->mId, now);
    if (isNew || now - queriedAt->second >= kQueryInterval) {
      queriedAt->second = now;
      Send(*it);
    }
  }
  if (mCalls.empty()) {
    aDone();
    return;
  }
  if (mCallbacks.empty()) {
    mTimer = mLoop.After(kQueryTimeout, [this] { Finish(); });
  }
  mCallbacks.push_back(std::move(aDone));
}

void
CachedPromptQuery::Send(const EndpointRecord& aEngine)
{
  HttpCallRequest request = mProtocol.ListCachedParts(aEngine);
  request.mConnectTimeout = kQueryTimeout;
  request.mReadTimeout = kQueryTimeout;
  HttpCallHooks hooks;
  hooks.mOnDone = [this, engine = aEngine.mId](const HttpCallReply& aReply) {
    HandleReply(engine, aReply);
  };
  mCalls[aEngine.mId] =
    mClient.Start(aEngine, std::move(request), std::move(hooks));
}

void
CachedPromptQuery::HandleReply(const std::string& aEngine,
                               const HttpCallReply& aReply)
{
  const auto parts =
    aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kHttpOk
      ? mProtocol.ReadCachedParts(aReply.mBody)
      : absl::StatusOr<std::vector<PromptPart>>(
          absl::UnavailableError(HttpCallResultName(aReply.mResult).data()));
  LogEvent(LogLevel::Info,
           "kept_prompts_listed",
           { { "endpoint", aEngine },
             { "parts", parts.ok() ? parts->size() : 0 },
             { "status", aReply.mStatus },
             { "result", parts.status().ToString() } });
  if (parts.ok()) {
    mCachedPrompts.OnListed(aEngine, *parts, mClock.Now());
  }
  mCalls.erase(aEngine);
  if (mCalls.empty()) {
    Finish();
  }
}

void
CachedPromptQuery::Finish()
{
  mTimer = EventHandle();
  for (const auto& it : std::exchange(mCallbacks, {})) {
    it();
  }
}

} // namespace bulrushfold
