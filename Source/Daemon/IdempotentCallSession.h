#ifndef BULRUSHFOLD_DAEMON_IDEMPOTENTCALLSESSION_H
#define BULRUSHFOLD_DAEMON_IDEMPOTENTCALLSESSION_H

#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Daemon/FilterChain.h"
#include "Daemon/ServiceClient.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** Dependencies that all idempotent service calls share. */
struct IdempotentCallDependencies
{
  EventLoop& mLoop;
  const Clock& mClock;
  ServiceClient& mClient;
};

/** Fault of a call that ended with aResult and without a usable answer. */
FaultKind FaultOf(HttpCallResult aResult);

/** The call to an endpoint of the service that aRequest names. */
ServiceCallRequest MakeServiceCall(const RequestContext& aRequest);

/** Answers aRequest with the reply of an endpoint. */
void AnswerFromService(RequestContext& aRequest,
                       int aStatus,
                       const std::string& aContentType,
                       const std::string& aBody);

/**
 * One idempotent call of a plain service. A failed call is repeated at another
 * endpoint until all were tried or the deadline passes.
 */
class IdempotentCallSession
  : public std::enable_shared_from_this<IdempotentCallSession>
{
public:
  IdempotentCallSession(IdempotentCallDependencies& aDependencies,
                        RequestPointer aRequest);
  void Start();

private:
  void TryNext();
  void HandleReply(const HttpCallReply& aReply);
  void End();

  IdempotentCallDependencies& mDependencies;
  RequestPointer mRequest;
  std::vector<std::string> mTriedEndpoints;
  ServiceClient::Call mCall;
  EventHandle mDeadlineTimer;
  std::shared_ptr<IdempotentCallSession> mSelf;
};

/** Runs idempotent service calls; passes others to the next filter. */
class IdempotentCallFilter : public Filter
{
public:
  explicit IdempotentCallFilter(IdempotentCallDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  IdempotentCallDependencies& mDependencies;
};

} // namespace bulrushfold

#endif
