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

/** How the router's work for a request ended. */
struct RequestResult
{
  int mStatus = 0;
  /** Empty for a complete answer. */
  std::optional<Problem> mProblem;
  bool mIsCallerGone = false;
  std::uint64_t mTokens = 0;
};

/** One caller's request on its way through the filter chain. */
class RequestContext
{
public:
  RequestContext(std::shared_ptr<HttpExchange> aExchange,
                 std::string aRequestId,
                 Instant aStart);

  HttpExchange& Exchange() const { return *mExchange; }
  const HttpRequest& Message() const { return mExchange->Request(); }

  /** Answers with a problem, unless an answer has already begun. */
  void Refuse(const Problem& aProblem);
  /** Ends a streamed answer that cannot be completed. */
  void BreakStream(const Problem& aProblem);
  /** Answers with a whole body. */
  void Answer(int aStatus,
              const std::string& aContentType,
              const std::string& aBody);
  /** Reports the end of the request; only the first report counts. */
  void Finish(const RequestResult& aResult);

  const std::string& RequestId() const { return mRequestId; }
  Instant Start() const { return mStart; }

  std::string mTraceId;
  std::string mParentSpanId;
  Instant mDeadline;
  Workspace mWorkspace;
  std::optional<CompletionRequest> mCompletion;
  std::optional<ServiceRequest> mService;
  std::optional<Instant> mFirstTokenAt;
  /** Emitted once when the request is over. */
  sigc::signal<void(const RequestContext&, const RequestResult&)> mOver;

private:
  std::shared_ptr<HttpExchange> mExchange;
  std::string mRequestId;
  Instant mStart;
  bool mIsFinished = false;
};

using RequestPointer = std::shared_ptr<RequestContext>;

} // namespace bulrushfold

#endif
