#ifndef BULRUSHFOLD_DAEMON_REQUESTCONTEXT_H
#define BULRUSHFOLD_DAEMON_REQUESTCONTEXT_H

#include <memory>
#include <optional>
#include <string>

#include <sigc++/signal.h>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/CallerMessage.h"
#include "Daemon/Problem.h"
#include "Net/HttpServer.h"
#include "Outcome/RequestTimeline.h"
#include "Outcome/Traceparent.h"

namespace bulrushfold {

/** A call of a plain service. */
struct ServiceRequest
{
  std::string mService;
  /** Path below the service's own path, with its leading slash. */
  std::string mPath;
  bool mIsIdempotent = false;
  /** Idempotency-Key header; empty if the caller sent none. */
  std::string mKey;
};

/** State of one caller's request while the filter chain processes it. */
class RequestContext
{
public:
  RequestContext(std::shared_ptr<HttpExchange> aExchange,
                 std::string aRequestId,
                 const Clock& aClock);

  HttpExchange& Exchange() const { return *mExchange; }
  const HttpRequest& Message() const { return mExchange->Request(); }
  const std::string& RequestId() const { return mRequestId; }
  Instant Start() const { return mTimeline.Start(); }
  RequestTimeline& Timeline() { return mTimeline; }
  const RequestTimeline& Timeline() const { return mTimeline; }

  /** Records in the timeline that the request now waits for aHop. */
  void Enter(Hop aHop);
  void Enter(Hop aHop, const Endpoint& aEndpoint);
  void RecordFault(FaultKind aKind);

  /**
   * Answers with a problem. A streamed answer that has started is ended early,
   * with the problem as its last event.
   */
  void Refuse(const Problem& aProblem);
  /** Answers with a complete body and ends the request. */
  void Answer(int aStatus,
              const std::string& aContentType,
              const std::string& aBody);
  /** Records that a streamed answer is complete. */
  void FinishStream();
  /** Records that the caller has disconnected. */
  void FinishDisconnected();
  /** Value of the traceparent header for calls made for this request. */
  std::string Traceparent() const;

  std::optional<TraceContext> mParent;
  Instant mDeadline;
  Workspace mWorkspace;
  std::optional<CompletionRequest> mCompletion;
  std::optional<ServiceRequest> mService;
  /** Digest of the request, under which endpoint crashes are counted. */
  std::string mDigest;
  /** True for a crash suspect that was granted an exclusive run. */
  bool mRunsAlone = false;
  /** HTTP status of the answer; 0 if there was none. */
  int mStatus = 0;
  /** Emitted once, when the request is finished. */
  sigc::signal<void(const RequestContext&)> mFinished;

private:
  void Finish(Ending aEnding, std::optional<Cause> aCause);

  std::shared_ptr<HttpExchange> mExchange;
  std::string mRequestId;
  const Clock& mClock;
  RequestTimeline mTimeline;
  bool mIsFinished = false;
};

using RequestPointer = std::shared_ptr<RequestContext>;

} // namespace bulrushfold

#endif
