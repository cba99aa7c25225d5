#ifndef BULRUSHFOLD_EMULATOR_LOADREQUEST_H
#define BULRUSHFOLD_EMULATOR_LOADREQUEST_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "Base/Clock.h"
#include "Emulator/AnswerChecker.h"
#include "Emulator/LoadPlan.h"
#include "Emulator/LoadResults.h"
#include "Emulator/LoadSettings.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/SseReader.h"

namespace bulrushfold {

/** Objects that all requests of a load run share. */
struct LoadContext
{
  EventLoop& mLoop;
  const Clock& mClock;
  HttpClient& mClient;
  const LoadSettings& mSettings;
  /** Selects the daemon for the next attempt. */
  std::function<SocketAddress()> mNextTarget;
};

/**
 * One request of a caller, with its retries at other daemons. A retry of a
 * booking carries the same Idempotency-Key.
 */
class LoadRequest
{
public:
  using DoneHook = std::function<void(const LoadCall&, const LoadOutcome&)>;

  /** aOnDone is called once and may destroy the request. */
  LoadRequest(const LoadContext& aContext, LoadCall aCall, DoneHook aOnDone);

  void Start();
  /** Closes the connection and ends the request as lost. */
  void Abort();

private:
  void StartAttempt();
  HttpCallRequest MakeRequest() const;
  void HandleChunk(std::string_view aData);
  void HandleEvent(const SseEvent& aEvent);
  void HandleDone(const HttpCallReply& aReply);
  bool Retry(const HttpCallReply& aReply);
  void Cancel();
  void Finish(LoadEnd aEnd);

  const LoadContext& mContext;
  const LoadCall mCall;
  DoneHook mOnDone;
  LoadOutcome mOutcome;
  std::unique_ptr<AnswerChecker> mChecker;
  std::unique_ptr<SseReader> mReader;
  std::unique_ptr<HttpCall> mHttpCall;
  std::string mBody;
  Instant mStartedAt;
  Instant mFirstTokenAt;
  Instant mLastTokenAt;
  EventHandle mRetryTimer;
  EventHandle mCancelTimer;
};

} // namespace bulrushfold

#endif
