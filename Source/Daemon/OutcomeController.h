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
 * Turns each finished request into its outcome, spans, metrics and log line,
 * sends copies of the records to other daemons, and answers questions about
 * requests from the records of all daemons.
 */
class OutcomeController
{
public:
  /** Answer to a question that several daemons were asked. */
  struct Found
  {
    Explanation mExplanation;
    std::vector<std::string> mMissingDaemons;
  };
  using ExplainHook = std::function<void(const Found&)>;
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
  /** A request passed admission. */
  void Begin(const RequestContext& aRequest);
  /** A request is over. */
  void End(const RequestContext& aRequest);
  /** Sends all records that were not sent yet. */
  void SendBatches();

  /** Looks for a request here, at its likely holders, then everywhere. */
  void Explain(const std::string& aRequestId, ExplainHook aHook);
  /** Report of the last aMinutes over all live daemons. */
  void MakeReport(int aMinutes, ReportHook aHook);

private:
  struct Question
  {
    Found mFound;
    std::size_t mOpen = 0;
    bool mIsEverywhere = false;
    ExplainHook mHook;
  };

  void HandleBatch();
  void HandleExplain();
  void HandleReport();
  void HandleMembers(const MemberChanges& aChanges);
  std::vector<std::string> SelectOwnReplicas() const;
  std::vector<ReplicaCandidate> Candidates() const;
  void SendBatch(const std::string& aPayload,
                 const std::string& aTo,
                 bool aIsRetry);
  void ExportSpans();
  Explanation ExplainHere(const std::string& aRequestId) const;
  void Ask(const std::shared_ptr<Question>& aQuestion,
           const std::string& aRequestId,
           const std::vector<std::string>& aDaemons);
  void Conclude(const std::shared_ptr<Question>& aQuestion,
                const std::string& aRequestId);
  std::vector<ReportPart> PartsHere(const ReportWindow& aWindow) const;

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
  /** Incarnations last seen alive. */
  std::map<std::string, std::string> mIncarnations;
  std::unique_ptr<HttpCall> mExportCall;
  EventHandle mBatchTimer;
  EventHandle mTrimTimer;
};

/** Notes that a request passed admission. */
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
