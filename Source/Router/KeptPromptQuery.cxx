#include "Router/KeptPromptQuery.h"

#include <utility>

#include "Base/Log.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/** Least time between two questions to one engine. */
constexpr Duration kAskInterval = std::chrono::seconds(3);
/** Time for which a stream waits for the answers; engines that are up need a
 * few milliseconds. */
constexpr Duration kAnswerLimit = std::chrono::milliseconds(60);
} // namespace

KeptPromptQuery::KeptPromptQuery(EventLoop& aLoop,
                                 const Clock& aClock,
                                 HttpClient& aClient,
                                 const EndpointProtocol& aProtocol,
                                 const EndpointDirectory& aDirectory,
                                 CachedPrompts& aKept)
  : mLoop(aLoop)
  , mClock(aClock)
  , mClient(aClient)
  , mProtocol(aProtocol)
  , mDirectory(aDirectory)
  , mKept(aKept)
{
}

void
KeptPromptQuery::Ask(const std::string& aService, std::function<void()> aDone)
{
  const Instant now = mClock.Now();
  for (const EndpointRecord* it :
       mDirectory.Usable(aService, EndpointRole::Decode)) {
    const auto [asked, isNew] = mAskedAt.try_emplace(it->mId, now);
    if (isNew || now - asked->second >= kAskInterval) {
      asked->second = now;
      Send(*it);
    }
  }
  if (mCalls.empty()) {
    aDone();
    return;
  }
  if (mWaiting.empty()) {
    mTimer = mLoop.After(kAnswerLimit, [this] { Finish(); });
  }
  mWaiting.push_back(std::move(aDone));
}

void
KeptPromptQuery::Send(const EndpointRecord& aEngine)
{
  HttpCallRequest request = mProtocol.ListCachedParts(aEngine);
  request.mConnectTimeout = kAnswerLimit;
  request.mReadTimeout = kAnswerLimit;
  HttpCallHooks hooks;
  hooks.mOnDone = [this, engine = aEngine.mId](const HttpCallReply& aReply) {
    HandleReply(engine, aReply);
  };
  mCalls[aEngine.mId] = mClient.Start(std::move(request), std::move(hooks));
}

void
KeptPromptQuery::HandleReply(const std::string& aEngine,
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
    mKept.OnListed(aEngine, *parts, mClock.Now());
  }
  mCalls.erase(aEngine);
  if (mCalls.empty()) {
    Finish();
  }
}

void
KeptPromptQuery::Finish()
{
  mTimer = EventHandle();
  for (const auto& it : std::exchange(mWaiting, {})) {
    it();
  }
}

} // namespace bulrushfold
