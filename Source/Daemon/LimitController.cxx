#include "Daemon/LimitController.h"

#include "Reservation_types.h"
#include "Wire/ThriftCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);
constexpr Duration kLeaseTimeout = std::chrono::milliseconds(500);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

WorkspaceLimits
LimitsOf(const Workspace& aWorkspace)
{
  return { aWorkspace.mRequestsPerSecond,
           aWorkspace.mBurst,
           aWorkspace.mMaxConcurrent };
}

} // namespace

LimitController::LimitController(EventLoop& aLoop,
                                 const Clock& aClock,
                                 PeerTransport& aTransport,
                                 ClusterController& aCluster,
                                 const Configuration& aConfiguration)
  : mLoop(aLoop)
  , mClock(aClock)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mConfiguration(aConfiguration)
{
}

void
LimitController::Start()
{
  HandleDemand();
  mCluster.mMembersChanged.connect([this](const MemberChanges&) {
    mLimiter.SetDaemons(mCluster.Rings().Size());
  });
  mTimer = mLoop.Every(kReportInterval, [this] { ReportDemand(); });
}

LimitVerdict
LimitController::Begin(const Workspace& aWorkspace)
{
  return mLimiter.Begin(aWorkspace.mName, LimitsOf(aWorkspace), mClock.Now());
}

LimitLease
LimitController::Grant(const std::string& aDaemon, const LimitDemand& aDemand)
{
  const auto& workspaces = mConfiguration.Workspaces();
  const auto it = workspaces.find(aDemand.mWorkspace);
  if (it == workspaces.end()) {
    return {};
  }
  return mAllocators[aDemand.mWorkspace].Grant(
    aDaemon, aDemand, LimitsOf(it->second), mClock.Now());
}

void
LimitController::HandleDemand()
{
  mTransport.Handle(wire::MessageKind::LIMIT_LEASE,
                    [this](const std::string& aSender,
                           const std::string& aPayload,
                           const PeerTransport::Responder& aRespond) {
                      const auto message =
                        DecodeThrift<wire::LimitLeaseRequest>(aPayload);
                      if (!message.ok()) {
                        aRespond(message.status());
                        return;
                      }
                      const LimitLease lease =
                        Grant(aSender,
                              { message->workspace,
                                message->requestsPerSecond,
                                message->concurrent });
                      wire::LimitLeaseReply reply;
                      reply.requestsPerSecond = lease.mRequestsPerSecond;
                      reply.concurrent = lease.mConcurrent;
                      aRespond(EncodeThrift(reply));
                    });
}

void
LimitController::ReportDemand()
{
  for (const auto& it : mLimiter.CollectDemand(mClock.Now())) {
    Ask(it);
  }
}

void
LimitController::Ask(const LimitDemand& aDemand)
{
  const std::string owner =
    mCluster.Rings().Owner(absl::StrCat("limit/", aDemand.mWorkspace));
  if (mCluster.IsSelf(owner)) {
    mLimiter.OnLease(aDemand.mWorkspace, Grant(owner, aDemand));
    return;
  }
  const auto target = mCluster.FindTarget(owner);
  if (!target) {
    return;
  }
  wire::LimitLeaseRequest message;
  message.workspace = aDemand.mWorkspace;
  message.requestsPerSecond = aDemand.mRequestsPerSecond;
  message.concurrent = aDemand.mConcurrent;
  // Counted from the time of the question, so that the lease ends here before
  // it ends at the owner.
  const Instant expiry = mClock.Now() + kLimitLeaseTime;
  mTransport.Call(
    *target,
    wire::MessageKind::LIMIT_LEASE,
    EncodeThrift(message),
    kLeaseTimeout,
    [this, expiry, workspace = aDemand.mWorkspace](
      const absl::StatusOr<std::string>& aReply) {
      const auto reply = aReply.ok()
                           ? DecodeThrift<wire::LimitLeaseReply>(*aReply)
                           : aReply.status();
      if (reply.ok()) {
        mLimiter.OnLease(
          workspace, { reply->requestsPerSecond, reply->concurrent, expiry });
      }
    });
}

void
LimitFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  const Workspace& workspace = aRequest->mWorkspace;
  const LimitVerdict verdict = mController.Begin(workspace);
  if (verdict == LimitVerdict::Accept) {
    aRequest->mOver.connect(
      [this, name = workspace.mName](const RequestContext&) {
        mController.End(name);
      });
    aNext();
    return;
  }
  const bool isRate = verdict == LimitVerdict::RateLimited;
  aRequest->Refuse({ isRate ? Cause::RateLimit : Cause::ConcurrencyLimit,
                     RanState::No,
                     absl::StrCat("workspace ",
                                  workspace.mName,
                                  " is at its limit of ",
                                  isRate ? "requests_per_s" : "max_concurrent"),
                     kRetryAfter });
}

} // namespace bulrushfold
