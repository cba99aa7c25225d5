#include "Daemon/OutcomeController.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"
#include "Outcome/CauseFinder.h"
#include "Outcome/OutcomeCodec.h"
#include "Outcome/RequestId.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {

constexpr Duration kBatchInterval = std::chrono::seconds(1);
constexpr Duration kTrimInterval = std::chrono::seconds(5);
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxBatchRecords = 500;
constexpr std::size_t kMaxExportSpans = 2000;

} // namespace

OutcomeController::OutcomeController(EventLoop& aLoop,
                                     const Clock& aClock,
                                     PeerTransport& aTransport,
                                     ClusterController& aCluster,
                                     HttpClient& aHttpClient,
                                     const Configuration& aConfiguration,
                                     Metrics& aMetrics,
                                     const Settings& aSettings,
                                     const std::string& aIncarnation)
  : mLoop(aLoop)
  , mClock(aClock)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mHttpClient(aHttpClient)
  , mConfiguration(aConfiguration)
  , mRequestMetrics(aMetrics)
  , mDaemon(aSettings.mDaemon)
  , mOtlpAddress(aSettings.mTelemetry.mOtlpAddress)
  , mTracer(aSettings.mDaemon.mName,
            aSettings.mDaemon.mFailureDomain,
            aSettings.mTelemetry.mMaxSpans)
  , mStore(aSettings.mDaemon.mName,
           aIncarnation,
           { aSettings.mTelemetry.mOutcomeRetention,
             aSettings.mTelemetry.mMaxOutcomes },
           aClock)
{
}

void
OutcomeController::Start()
{
  HandleBatch();
  HandleExplain();
  HandleReport();
  mCluster.mMembersChanged.connect(
    [this](const MemberChanges& aChanges) { HandleMembers(aChanges); });
  mBatchTimer = mLoop.Every(kBatchInterval, [this] {
    SendBatches();
    ExportSpans();
  });
  mTrimTimer = mLoop.Every(kTrimInterval, [this] { mStore.Trim(); });
}

void
OutcomeController::Begin(const RequestContext& aRequest)
{
  const OutcomeRecord& partialRecord = aRequest.Timeline().PartialRecord();
  mStore.Begin({ partialRecord.mRequestId,
                 partialRecord.mWorkspace,
                 partialRecord.mTarget,
                 partialRecord.mDaemon,
                 "",
                 partialRecord.mStart });
}

void
OutcomeController::End(const RequestContext& aRequest)
{
  const Preset& preset = mConfiguration.PresetInForce();
  OutcomeTargets targets;
  targets.mFirstToken = preset.mFirstTokenTarget;
  targets.mToken = preset.mTokenTarget;
  const OutcomeRecord record =
    CauseFinder(targets).MakeRecord(aRequest.Timeline());
  mTracer.Add(aRequest.Timeline(), record, aRequest.mParent);
  mStore.End(record);
  mRequestMetrics.Record(record, mClock.Now());
  LogOutcome(record, aRequest.mStatus);
}

std::vector<ReplicaCandidate>
OutcomeController::Candidates() const
{
  std::vector<ReplicaCandidate> candidates;
  for (const auto& it : mCluster.Rings().Names()) {
    candidates.push_back({ it, mCluster.Rings().FailureDomainOf(it) });
  }
  return candidates;
}

std::vector<std::string>
OutcomeController::SelectOwnReplicas() const
{
  return SelectReplicas(mDaemon.mName, mDaemon.mFailureDomain, Candidates());
}

void
OutcomeController::SendBatches()
{
  while (const auto batch = mStore.CollectBatch(kMaxBatchRecords)) {
    const std::string payload = EncodeThrift(EncodeOutcomes(*batch));
    for (const auto& it : SelectOwnReplicas()) {
      SendBatch(payload, it, false);
    }
  }
}

void
OutcomeController::SendBatch(const std::string& aPayload,
                             const std::string& aTo,
                             bool aIsRetry)
{
  const auto target = mCluster.FindTarget(aTo);
  if (!target) {
    return;
  }
  mTransport.Call(
    *target,
    wire::MessageKind::OUTCOME_BATCH,
    aPayload,
    kCallTimeout,
    [this, aPayload, aIsRetry](const absl::StatusOr<std::string>& aReply) {
      if (aReply.ok() || aIsRetry) {
        return;
      }
      for (const auto& it : SelectOwnReplicas()) {
        SendBatch(aPayload, it, true);
      }
    });
}

void
OutcomeController::HandleBatch()
{
  mTransport.Handle(wire::MessageKind::OUTCOME_BATCH,
                    [this](const std::string&,
                           const std::string& aPayload,
                           const PeerTransport::Responder& aRespond) {
                      const auto batch =
                        DecodeThrift<wire::OutcomeBatch>(aPayload);
                      const auto records =
                        batch.ok() ? DecodeOutcomes(*batch) : batch.status();
                      if (!records.ok()) {
                        aRespond(records.status());
                        return;
                      }
                      mStore.Receive(*records);
                      aRespond("");
                    });
}

void
OutcomeController::HandleMembers(const MemberChanges& aChanges)
{
  const auto& members = mCluster.Node().Members();
  for (const auto& it : aChanges.mLost) {
    mStore.HandleDaemonDead(it);
  }
  for (const auto& it : aChanges.mJoined) {
    const MemberInfo* info = members.Find(it);
    if (info == nullptr || info->mIncarnation.empty()) {
      continue;
    }
    std::string& known = mIncarnations[it];
    if (!known.empty() && known != info->mIncarnation) {
      mStore.HandleDaemonDead(it, known);
    }
    known = info->mIncarnation;
    mStore.HandleDaemonAlive(it, known);
  }
  const auto holders = SelectOwnReplicas();
  if (holders != mReplicas) {
    mReplicas = holders;
    mStore.RequeueInProgress();
  }
}

void
OutcomeController::ExportSpans()
{
  if (mOtlpAddress.mHost.empty() || mExportCall != nullptr) {
    return;
  }
  const auto body = mTracer.CollectExport(kMaxExportSpans);
  if (!body) {
    return;
  }
  HttpCallRequest request;
  request.mAddress = mOtlpAddress;
  request.mMethod = HttpMethod::Post;
  request.mTarget = "/v1/traces";
  request.mHeaders.Add("Content-Type", "application/json");
  request.mBody = *body;
  request.mReadTimeout = kCallTimeout;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) {
    if (aReply.mResult != HttpCallResult::Complete) {
      LogEvent(
        LogLevel::Warning,
        "span_export_failed",
        { { "result", std::string(HttpCallResultName(aReply.mResult)) } });
    }
    mLoop.Defer([this] { mExportCall.reset(); });
  };
  mExportCall = mHttpClient.Start(std::move(request), std::move(hooks));
}

Explanation
OutcomeController::ExplainHere(const std::string& aRequestId) const
{
  Explanation explanation = mStore.Explain(aRequestId).value_or(Explanation());
  if (const RequestTrace* trace = mTracer.Find(aRequestId); trace != nullptr) {
    explanation.mSpans = FormatSpans(*trace);
  }
  return explanation;
}

void
OutcomeController::HandleExplain()
{
  mTransport.Handle(
    wire::MessageKind::EXPLAIN,
    [this](const std::string&,
           const std::string& aPayload,
           const PeerTransport::Responder& aRespond) {
      const auto query = DecodeThrift<wire::ExplainQuery>(aPayload);
      if (!query.ok()) {
        aRespond(query.status());
        return;
      }
      aRespond(EncodeThrift(EncodeExplanation(ExplainHere(query->requestId))));
    });
}

void
OutcomeController::Explain(const std::string& aRequestId, ExplainHook aHook)
{
  auto question = std::make_shared<Question>();
  question->mFound.mExplanation = ExplainHere(aRequestId);
  question->mHook = std::move(aHook);
  if (question->mFound.mExplanation.mEnd) {
    question->mIsEverywhere = true;
    Conclude(question, aRequestId);
    return;
  }
  Ask(question, aRequestId, SelectReplicaCandidates(aRequestId, Candidates()));
}

void
OutcomeController::Ask(const std::shared_ptr<Question>& aQuestion,
                       const std::string& aRequestId,
                       const std::vector<std::string>& aDaemons)
{
  wire::ExplainQuery query;
  query.requestId = aRequestId;
  const std::string payload = EncodeThrift(query);
  // One for this function, so that early answers do not conclude.
  aQuestion->mOpen = 1;
  for (const auto& name : aDaemons) {
    const auto target = mCluster.FindTarget(name);
    if (mCluster.IsSelf(name) || !target) {
      continue;
    }
    ++aQuestion->mOpen;
    mTransport.Call(*target,
                    wire::MessageKind::EXPLAIN,
                    payload,
                    kCallTimeout,
                    [this, aQuestion, aRequestId, name](
                      const absl::StatusOr<std::string>& aReply) {
                      const auto reply =
                        aReply.ok() ? DecodeThrift<wire::ExplainReply>(*aReply)
                                    : aReply.status();
                      const auto found =
                        reply.ok() ? DecodeExplanation(*reply) : reply.status();
                      if (found.ok()) {
                        aQuestion->mFound.mExplanation = PreferredExplanation(
                          aQuestion->mFound.mExplanation, *found);
                      } else {
                        aQuestion->mFound.mMissingDaemons.push_back(name);
                      }
                      Conclude(aQuestion, aRequestId);
                    });
  }
  Conclude(aQuestion, aRequestId);
}

void
OutcomeController::Conclude(const std::shared_ptr<Question>& aQuestion,
                            const std::string& aRequestId)
{
  if (aQuestion->mOpen > 0 && --aQuestion->mOpen > 0) {
    return;
  }
  if (!aQuestion->mFound.mExplanation.mEnd &&
      !std::exchange(aQuestion->mIsEverywhere, true)) {
    aQuestion->mFound.mMissingDaemons.clear();
    Ask(aQuestion, aRequestId, mCluster.Rings().Names());
    return;
  }
  aQuestion->mHook(aQuestion->mFound);
}

std::vector<ReportPart>
OutcomeController::PartsHere(const ReportWindow& aWindow) const
{
  const auto& members = mCluster.Node().Members();
  return mStore.MakeReportParts(
    aWindow,
    [&members](const std::string& aDaemon, const std::string& aIncarnation) {
      const MemberInfo* info = members.Find(aDaemon);
      return members.IsLive(aDaemon) && info != nullptr &&
             info->mIncarnation == aIncarnation;
    });
}

void
OutcomeController::HandleReport()
{
  mTransport.Handle(wire::MessageKind::REPORT,
                    [this](const std::string&,
                           const std::string& aPayload,
                           const PeerTransport::Responder& aRespond) {
                      const auto query =
                        DecodeThrift<wire::ReportQuery>(aPayload);
                      if (!query.ok()) {
                        aRespond(query.status());
                        return;
                      }
                      aRespond(EncodeThrift(EncodeReportParts(PartsHere(
                        MakeReportWindow(query->lastMinute, query->minutes)))));
                    });
}

void
OutcomeController::MakeReport(int aMinutes, ReportHook aHook)
{
  const Minute last = MinuteOf(mClock.Wall());
  const ReportWindow window = MakeReportWindow(last, aMinutes);
  struct Collection
  {
    explicit Collection(const ReportWindow& aWindow)
      : mBuilder(aWindow)
    {
    }
    ReportBuilder mBuilder;
    std::size_t mOpen = 1;
    ReportHook mHook;
  };
  auto collection = std::make_shared<Collection>(window);
  collection->mHook = std::move(aHook);
  const auto conclude = [](Collection& aIt) {
    if (--aIt.mOpen == 0) {
      aIt.mHook(aIt.mBuilder.Build());
    }
  };
  for (const auto& it : PartsHere(window)) {
    collection->mBuilder.Add(it);
  }
  wire::ReportQuery query;
  query.lastMinute = last;
  query.minutes = aMinutes;
  for (const auto& name : mCluster.Node().Members().LivePeers()) {
    const auto target = mCluster.FindTarget(name);
    if (!target) {
      collection->mBuilder.AddMissingDaemon(name);
      continue;
    }
    ++collection->mOpen;
    mTransport.Call(
      *target,
      wire::MessageKind::REPORT,
      EncodeThrift(query),
      kCallTimeout,
      [collection, conclude, name](const absl::StatusOr<std::string>& aReply) {
        const auto reply = aReply.ok()
                             ? DecodeThrift<wire::ReportReply>(*aReply)
                             : aReply.status();
        const auto parts =
          reply.ok() ? DecodeReportParts(*reply) : reply.status();
        if (parts.ok()) {
          for (const auto& it : *parts) {
            collection->mBuilder.Add(it);
          }
        } else {
          collection->mBuilder.AddMissingDaemon(name);
        }
        conclude(*collection);
      });
  }
  conclude(*collection);
}

void
OutcomeFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  mController.Begin(*aRequest);
  aNext();
}

} // namespace bulrushfold
