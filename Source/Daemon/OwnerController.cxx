#include "Daemon/OwnerController.h"

#include <algorithm>
#include <utility>

#include "Daemon/ReservationMessages.h"
#include "Wire/ThriftCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
// Longer than a round trip between regions; without an answer the request goes
// on without a reservation.
constexpr Duration kReserveTimeout = std::chrono::milliseconds(150);
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
const std::string kNobody;
} // namespace

OwnerController::OwnerController(EventLoop& aLoop,
                                 const Clock& aClock,
                                 PeerTransport& aTransport,
                                 ClusterController& aCluster,
                                 const Configuration& aConfiguration)
  : mLoop(aLoop)
  , mClock(aClock)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mConfiguration(aConfiguration)
  , mOwner(LedgerOptions())
{
}

void
OwnerController::Start()
{
  HandleReserve();
  HandleRelease();
  HandleClaim();
  mCluster.mMembersChanged.connect([this](const MemberChanges& aChanges) {
    for (const auto& it : aChanges.mLost) {
      if (const MemberInfo* info = mCluster.Node().Members().Find(it);
          info != nullptr) {
        mOwner.OnDaemonRemoved(absl::StrCat(it, "/", info->mIncarnation),
                               mClock.Now());
      }
    }
    Refresh();
  });
  mCluster.mConfigChanged.connect([this](const std::string&) {
    mOwner.SetPreset(mConfiguration.PresetInForce());
    Refresh();
  });
  mTimer = mLoop.Every(kTickInterval, [this] {
    if (mOwner.Tick(mClock.Now())) {
      AcquireAll();
    }
  });
}

std::uint64_t
OwnerController::NextTerm()
{
  // Calendar time, so that the terms of different owners increase too.
  const auto now =
    static_cast<std::uint64_t>(mClock.Wall().time_since_epoch().count());
  mLastTerm = std::max(mLastTerm + 1, now);
  return mLastTerm;
}

const std::string&
OwnerController::OwnerOf(const std::string& aEndpoint) const
{
  const auto it = mOwners.find(aEndpoint);
  return it == mOwners.end() ? kNobody : it->second;
}

bool
OwnerController::IsOwnedHere(const std::string& aEndpoint) const
{
  return mCluster.IsSelf(OwnerOf(aEndpoint));
}

void
OwnerController::Refresh()
{
  std::map<std::string, std::string> owners;
  for (const auto& [name, endpoint] : mConfiguration.Endpoints()) {
    if (endpoint.mKind == EndpointKind::Engine) {
      owners[name] = mCluster.Rings().Owner(absl::StrCat("endpoint/", name));
    }
  }
  std::swap(owners, mOwners);
  for (const auto& [name, owner] : mOwners) {
    const auto old = owners.find(name);
    if (old != owners.end() && old->second == owner) {
      continue;
    }
    if (mCluster.IsSelf(owner)) {
      mOwner.Acquire(name, NextTerm(), mClock.Now());
    } else if (old != owners.end() && mCluster.IsSelf(old->second)) {
      mOwner.OnOwnershipLost(name);
    }
    mOwnerChanged.emit(name);
  }
}

void
OwnerController::AcquireAll()
{
  for (const auto& [name, owner] : mOwners) {
    if (mCluster.IsSelf(owner)) {
      mOwner.Acquire(name, NextTerm(), mClock.Now());
    }
  }
}

void
OwnerController::Reserve(const ReserveRequest& aRequest, ReserveHook aHook)
{
  const std::string& owner = OwnerOf(aRequest.mEndpoint);
  if (mCluster.IsSelf(owner)) {
    mLoop.Defer([this, aRequest, hook = std::move(aHook)] {
      hook(mOwner.OnReserve(aRequest, mClock.Now()));
    });
    return;
  }
  const auto target = mCluster.FindTarget(owner);
  if (!target) {
    mLoop.Defer([aRequest, hook = std::move(aHook)] {
      hook(MakeRefusal(aRequest, RefuseReason::NoAnswer));
    });
    return;
  }
  mTransport.Call(*target,
                  wire::MessageKind::RESERVE,
                  EncodeThrift(ToWire(aRequest)),
                  kReserveTimeout,
                  [aRequest, hook = std::move(aHook)](
                    const absl::StatusOr<std::string>& aReply) {
                    const auto reply =
                      aReply.ok() ? DecodeThrift<wire::ReserveReply>(*aReply)
                                  : aReply.status();
                    if (reply.ok()) {
                      hook(FromWire(*reply, aRequest));
                    } else {
                      hook(MakeRefusal(aRequest, RefuseReason::NoAnswer));
                    }
                  });
}

void
OwnerController::Release(const ReleaseAction& aRelease)
{
  const std::string& owner = OwnerOf(aRelease.mEndpoint);
  if (mCluster.IsSelf(owner)) {
    mOwner.OnRelease(aRelease, mClock.Now());
  } else if (const auto target = mCluster.FindTarget(owner); target) {
    mTransport.Send(
      *target, wire::MessageKind::RELEASE, EncodeThrift(ToWire(aRelease)));
  }
}

void
OwnerController::SendClaim(const Claim& aClaim)
{
  const std::string& owner = OwnerOf(aClaim.mEndpoint);
  if (mCluster.IsSelf(owner)) {
    mOwner.OnClaim(aClaim, mClock.Now());
  } else if (const auto target = mCluster.FindTarget(owner); target) {
    mTransport.Send(
      *target, wire::MessageKind::CLAIM, EncodeThrift(ToWire(aClaim)));
  }
}

void
OwnerController::OnLoadReport(const std::string& aEndpoint,
                              const LoadReport& aReport)
{
  mOwner.OnLoadReport(aEndpoint, aReport, mClock.Now());
}

void
OwnerController::HandleReserve()
{
  mTransport.Handle(wire::MessageKind::RESERVE,
                    [this](const std::string&,
                           const std::string& aPayload,
                           const PeerTransport::Responder& aRespond) {
                      const auto message =
                        DecodeThrift<wire::Reserve>(aPayload);
                      if (!message.ok()) {
                        aRespond(message.status());
                        return;
                      }
                      aRespond(EncodeThrift(ToWire(
                        mOwner.OnReserve(FromWire(*message), mClock.Now()))));
                    });
}

void
OwnerController::HandleRelease()
{
  mTransport.Handle(wire::MessageKind::RELEASE,
                    [this](const std::string&,
                           const std::string& aPayload,
                           const PeerTransport::Responder&) {
                      const auto message =
                        DecodeThrift<wire::Release>(aPayload);
                      if (message.ok()) {
                        mOwner.OnRelease(FromWire(*message), mClock.Now());
                      }
                    });
}

void
OwnerController::HandleClaim()
{
  mTransport.Handle(wire::MessageKind::CLAIM,
                    [this](const std::string&,
                           const std::string& aPayload,
                           const PeerTransport::Responder&) {
                      const auto message = DecodeThrift<wire::Claim>(aPayload);
                      if (message.ok()) {
                        mOwner.OnClaim(FromWire(*message), mClock.Now());
                      }
                    });
}

} // namespace bulrushfold
