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
  /** Idempotency-Key of the caller; empty when it sent none. */
  std::string mKey;
};

/** One caller's request on its way through the filter chain. */
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

  /** Notes that the request now waits for aHop. */
  void Enter(Hop aHop);
  void Enter(Hop aHop, const Endpoint& aEndpoint);
  void RecordFault(FaultKind aKind);

  /**
   * Answers with a problem; a streamed answer that has begun is broken off
   * with the problem as its last event.
   */
  void Refuse(const Problem& aProblem);
  /** Answers with a whole body and ends the request. */
  void Answer(int aStatus,
              const std::string& aContentType,
              const std::string& aBody);
  /** Notes that a streamed answer is complete. */
  void FinishStream();
  /** Notes that the caller is gone. */
  void FinishGone();
  /** Header value for calls that this request makes. */
  std::string Traceparent() const;

  std::optional<TraceContext> mParent;
  Instant mDeadline;
  Workspace mWorkspace;
  std::optional<CompletionRequest> mCompletion;
  std::optional<ServiceRequest> mService;
  /** Digest by which crashes of endpoints are counted. */
  std::string mDigest;
  /** A suspect whose run all daemons granted to this one. */
  bool mRunsAlone = false;
  /** Status of the answer; 0 when there was none. */
  int mStatus = 0;
  /** Emitted once when the request is over. */
  sigc::signal<void(const RequestContext&)> mOver;

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
