#include "Daemon/RoutingController.h"

#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
} // namespace

RoutingController::RoutingController(EventLoop& aLoop,
                                     const Clock& aClock,
                                     Random& aRandom,
                                     const Configuration& aConfiguration,
                                     ClusterController& aCluster,
                                     OwnerController& aOwners,
                                     CancelController& aCancels,
                                     std::string aOwnerId)
  : mLoop(aLoop)
  , mClock(aClock)
  , mConfiguration(aConfiguration)
  , mCluster(aCluster)
  , mOwners(aOwners)
  , mCancels(aCancels)
  , mOwnerId(std::move(aOwnerId))
  , mPolicy(PolicyOptions(), aRandom)
{
}

void
RoutingController::Start()
{
  mCluster.mConfigChanged.connect([this](const std::string&) {
    mPolicy.SetPreset(mConfiguration.PresetInForce());
    mPolicy.SetEndpoints(mConfiguration.Endpoints());
  });
  mOwners.mOwnerChanged.connect([this](const std::string& aEndpoint) {
    Notify([&aEndpoint](RoutingPolicy& aPolicy, Instant aNow) {
      return aPolicy.OnOwnerChanged(aEndpoint, aNow);
    });
  });
  mTimer =
    mLoop.Every(kTickInterval, [this] { Carry(mPolicy.Tick(mClock.Now())); });
}

void
RoutingController::Begin(const ModelRequest& aRequest, RoutedRequest& aTarget)
{
  mRequests[aRequest.mId] = &aTarget;
  Carry(mPolicy.OnRequest(aRequest, mClock.Now()));
}

void
RoutingController::Forget(const std::string& aRequest)
{
  mRequests.erase(aRequest);
}

void
RoutingController::Notify(
  const std::function<Actions(RoutingPolicy&, Instant)>& aEvent)
{
  Carry(aEvent(mPolicy, mClock.Now()));
}

void
RoutingController::OnLoadReport(const std::string& aEndpoint,
                                const LoadReport& aReport)
{
  mPolicy.OnLoadReport(aEndpoint, aReport, mClock.Now());
  mOwners.OnLoadReport(aEndpoint, aReport);
}

void
RoutingController::OnCacheEvents(const std::string& aEndpoint,
                                 const std::vector<CacheEvent>& aEvents)
{
  mPolicy.OnCacheEvents(aEndpoint, aEvents);
}

RoutedRequest*
RoutingController::Find(const std::string& aRequest) const
{
  const auto it = mRequests.find(aRequest);
  return it == mRequests.end() ? nullptr : it->second;
}

void
RoutingController::Carry(const Actions& aActions)
{
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, it);
  }
}

void
RoutingController::Do(const RejectAction& aAction)
{
  LogEvent(LogLevel::Info,
           "request_rejected",
           { { "request", aAction.mRequest },
             { "reason", std::string(RejectReasonName(aAction.mReason)) },
             { "waiting", mPolicy.WaitingCount() } });
  if (RoutedRequest* it = Find(aAction.mRequest); it != nullptr) {
    it->OnRejected(aAction);
  }
}

void
RoutingController::Do(const QueueAction& aAction)
{
  if (RoutedRequest* it = Find(aAction.mRequest); it != nullptr) {
    it->OnQueued();
  }
}

void
RoutingController::Do(const ReserveAction& aAction)
{
  ReserveRequest request = aAction.mReserve;
  request.mDaemon = mOwnerId;
  if (RoutedRequest* it = Find(request.mRequest); it != nullptr) {
    it->OnReserving();
  }
  mOwners.Reserve(request, [this](const std::variant<Grant, Refusal>& aReply) {
    const Instant now = mClock.Now();
    if (const auto* grant = std::get_if<Grant>(&aReply); grant != nullptr) {
      Carry(mPolicy.OnGrant(*grant, now));
    } else {
      Carry(mPolicy.OnRefusal(std::get<Refusal>(aReply), now));
    }
  });
}

void
RoutingController::Do(const ReleaseAction& aAction)
{
  mOwners.Release(aAction);
}

void
RoutingController::Do(const ClaimAction& aAction)
{
  Claim claim = aAction.mClaim;
  claim.mDaemon = mOwnerId;
  mOwners.SendClaim(claim);
}

void
RoutingController::Do(const StartPrefillAction& aAction)
{
  if (RoutedRequest* it = Find(aAction.mRequest); it != nullptr) {
    it->OnStartPrefill(aAction);
  }
}

void
RoutingController::Do(const StartTransferAction& aAction)
{
  if (RoutedRequest* it = Find(aAction.mRequest); it != nullptr) {
    it->OnStartTransfer(aAction);
  }
}

void
RoutingController::Do(const StartDecodeAction& aAction)
{
  if (RoutedRequest* it = Find(aAction.mRequest); it != nullptr) {
    it->OnStartDecode(aAction);
  }
}

void
RoutingController::Do(const CancelAction& aAction)
{
  if (RoutedRequest* it = Find(aAction.mRequest); it != nullptr) {
    it->OnCancelled(aAction);
  }
  Cancel(aAction.mRequest, aAction.mAttempt, aAction.mEndpoint);
}

void
RoutingController::Cancel(const std::string& aRequest,
                          std::uint32_t aAttempt,
                          const std::string& aEndpoint)
{
  const auto& endpoints = mConfiguration.Endpoints();
  if (const auto it = endpoints.find(aEndpoint); it != endpoints.end()) {
    mCancels.Cancel(it->second.mAddress, { aRequest, aAttempt, mOwnerId });
  }
}

} // namespace bulrushfold
