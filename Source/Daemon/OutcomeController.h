#ifndef BULRUSHFOLD_DAEMON_OUTCOMECONTROLLER_H
#define BULRUSHFOLD_DAEMON_OUTCOMECONTROLLER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/ClusterController.h"
#include "Daemon/FilterChain.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/PeerTransport.h"
#include "Outcome/Explanation.h"
#include "Outcome/Metrics.h"
#include "Outcome/OutcomeStore.h"
#include "Outcome/Report.h"
#include "Outcome/RequestId.h"
#include "Outcome/RequestMetrics.h"
#include "Outcome/Tracer.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/**
 * Records the outcome, spans, metrics and log line of each finished request,
 * replicates the outcome records to other daemons, and answers queries about
 * requests from the records of all daemons.
 */
class OutcomeController
{
public:
  /** Explanation of a request, collected from several daemons. */
  struct ExplanationResult
  {
    Explanation mExplanation;
    std::vector<std::string> mMissingDaemons;
  };
  using ExplainHook = std::function<void(const ExplanationResult&)>;
  using ReportHook = std::function<void(const Report&)>;

  OutcomeController(EventLoop& aLoop,
                    const Clock& aClock,
                    PeerTransport& aTransport,
                    ClusterController& aCluster,
                    HttpClient& aHttpClient,
                    const Configuration& aConfiguration,
                    Metrics& aMetrics,
                    const Settings& aSettings,
                    const std::string& aIncarnation);

  void Start();
  /** To be called when a request has passed admission. */
  void Begin(const RequestContext& aRequest);
  /** To be called when a request is finished. */
  void End(const RequestContext& aRequest);
  /** Sends all records that were not sent yet. */
  void SendBatches();

  /** Searches the records of this daemon, then those of the daemons selected as
   * replicas for the request, then those of all daemons. */
  void Explain(const std::string& aRequestId, ExplainHook aHook);
  /** Report of the last aMinutes over all live daemons. */
  void MakeReport(int aMinutes, ReportHook aHook);

private:
  struct PendingExplanation
  {
    ExplanationResult mResult;
    std::size_t mPendingReplies = 0;
    /** All daemons were queried, or need not be queried. */
    bool mIsSentToAll = false;
    ExplainHook mHook;
  };

  void RegisterBatchHandler();
  void RegisterExplainHandler();
  void RegisterReportHandler();
  void HandleMemberChanges(const MemberChanges& aChanges);
  std::vector<std::string> SelectOwnReplicas() const;
  std::vector<ReplicaCandidate> ReplicaCandidates() const;
  void SendBatch(const std::string& aPayload,
                 const std::string& aTo,
                 bool aIsRetry);
  void ExportSpans();
  Explanation ExplainLocally(const std::string& aRequestId) const;
  void QueryDaemons(const std::shared_ptr<PendingExplanation>& aPending,
                    const std::string& aRequestId,
                    const std::vector<std::string>& aDaemons);
  /** Counts one reply as received. After the last one, calls the hook or
   * queries all daemons. */
  void CompleteReply(const std::shared_ptr<PendingExplanation>& aPending,
                     const std::string& aRequestId);
  std::vector<ReportPart> MakeLocalReportParts(
    const ReportWindow& aWindow) const;

  EventLoop& mLoop;
  const Clock& mClock;
  PeerTransport& mTransport;
  ClusterController& mCluster;
  HttpClient& mHttpClient;
  const Configuration& mConfiguration;
  RequestMetrics mRequestMetrics;
  DaemonSettings mDaemon;
  SocketAddress mOtlpAddress;
  Tracer mTracer;
  OutcomeStore mStore;
  std::vector<std::string> mReplicas;
  /** Last live incarnation of each daemon, by its name. */
  std::map<std::string, std::string> mIncarnations;
  std::unique_ptr<HttpCall> mExportCall;
  EventHandle mBatchTimer;
  EventHandle mTrimTimer;
};

/** Records that a request passed admission. */
class OutcomeFilter : public Filter
{
public:
  explicit OutcomeFilter(OutcomeController& aController)
    : mController(aController)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  OutcomeController& mController;
};

} // namespace bulrushfold

#endif
