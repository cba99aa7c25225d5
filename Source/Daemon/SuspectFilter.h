#ifndef BULRUSHFOLD_DAEMON_SUSPECTFILTER_H
#define BULRUSHFOLD_DAEMON_SUSPECTFILTER_H

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "Base/Clock.h"
#include "Daemon/ClusterController.h"
#include "Daemon/FilterChain.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/**
 * Decides when a model request that crashed an endpoint may run again. The
 * decision is false if the request must be refused.
 */
class SuspectGate
{
public:
  using Decision = std::function<void(bool aMayRun)>;

  virtual ~SuspectGate() = default;
  /** Requests another run of aRequest, which crashed an endpoint. */
  virtual void RequestRerun(const RequestPointer& aRequest,
                            Decision aDecision) = 0;
};

/**
 * Delays model requests that are suspected of crashing endpoints: one run at a
 * time across all daemons, and none after crash_limit crashes. Other requests
 * pass without delay.
 */
class SuspectFilter
  : public Filter
  , public SuspectGate
{
public:
  SuspectFilter(EventLoop& aLoop,
                const Clock& aClock,
                ClusterController& aCluster);
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;
  void RequestRerun(const RequestPointer& aRequest,
                    Decision aDecision) override;

private:
  struct WaitingRequest
  {
    RequestPointer mRequest;
    Decision mDecision;
    EventHandle mDeadlineTimer;
  };

  void HandleDecision(const SuspectResult& aResult);
  /** Runs the first unfinished request with aDigest, in order of arrival. */
  void RunOne(const std::string& aDigest);
  void RunAll(const std::string& aDigest);
  void RefuseAll(const std::string& aDigest);
  void Enqueue(const RequestPointer& aRequest, Decision aDecision);
  void LogSuspect(const RequestPointer& aRequest) const;
  void TrackCompletion(const RequestPointer& aRequest);
  static void Refuse(RequestContext& aRequest);

  EventLoop& mLoop;
  const Clock& mClock;
  ClusterController& mCluster;
  std::map<std::string, std::deque<WaitingRequest>> mWaiting;
};

} // namespace bulrushfold

#endif
