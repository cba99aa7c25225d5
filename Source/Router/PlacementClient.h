#ifndef BULRUSHFOLD_ROUTER_PLACEMENTCLIENT_H
#define BULRUSHFOLD_ROUTER_PLACEMENTCLIENT_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Router/PlacementMessages.h"
#include "Router/PlainPlacer.h"
#include "Router/StreamPlacer.h"
#include "Router/TrackedStream.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/OwnerSelector.h"

namespace bulrushfold {

/**
 * Places the requests of this daemon: through the placement owner of the fleet,
 * or by itself if there is none, if this daemon is the owner, or if the owner
 * does not answer. Nothing waits for an owner that is gone: waiting requests
 * are placed elsewhere, and running ones are reported to the next owner.
 */
class PlacementClient : public StreamPlacer
{
public:
  struct Hooks
  {
    /** What this daemon reports to the owner. */
    std::function<PeerStatus()> mMakeStatus;
    /** News of aOwner about all other daemons, aDaemons in number. */
    std::function<void(const std::string& aOwner,
                       const PeerStatus& aStatus,
                       std::size_t aDaemons)>
      mOnNews;
    /** aOwner is not followed any more; its reports are out of date.
     * aHasNext: another owner is followed from now on. */
    std::function<void(const std::string& aOwner, bool aHasNext)> mOnOwnerLeft;
    /** This daemon watches the store itself, and the store answers. */
    std::function<bool()> mReachesStore;
    /** What this daemon knows of the store's objects. */
    std::function<std::vector<FeedPosition>()> mFeedPositions;
    std::function<void(const FeedUpdate&)> mOnFeed;
    /** This daemon can send requests to aEndpoint. */
    std::function<bool(const std::string& aEndpoint)> mIsUsable;
    /** Takes the cost of a request that this daemon places; set if the quota of
     * its workspace does not allow it: the time until it does. */
    std::function<std::optional<Duration>(const PlacementTerms&)> mTakeQuota;
    /** A request that this daemon refused to place has not run. */
    std::function<void(const PlacementTerms&)> mRefundQuota;
    /** Another daemon places for this one from now on. */
    std::function<void()> mOnFollowing;
    /** Schedules OnWake. */
    std::function<void(Instant)> mWakeAt;
    /** Calls the function in a later iteration of the event loop. */
    std::function<void(std::function<void()>)> mDefer;
  };

  /** aSession: greater than the sessions of earlier processes of this daemon.
   */
  PlacementClient(const Clock& aClock,
                  std::string aOwnName,
                  std::int64_t aSession,
                  PlacementLink aLink,
                  PlainPlacer& aPlain,
                  StreamPlacer& aStreams,
                  Hooks aHooks);
  ~PlacementClient() override;

  void SetMembers(std::vector<FleetMember> aMembers);
  /** This daemon stops and is no owner any more. */
  void BeginStop();
  /** This daemon leaves the placement to the next candidate for a time. */
  void StepDown();
  void OnWake();
  /** The fleet has an owner, which may be this daemon. */
  bool IsLargeFleet() const { return mSelector.HasOwner(); }
  std::size_t MemberCount() const { return mSelector.MemberCount(); }
  /** This daemon places for the whole fleet. */
  bool IsOwner() const { return mIsOwner; }
  /** This daemon may become the owner. */
  bool IsCandidate() const { return mSelector.IsCandidate(mOwnName); }
  /** The daemons that may know the streams of the whole fleet: the owner, those
   * that place if it fails, and those that may have placed before, without this
   * one. Empty in a small fleet. */
  std::vector<FleetMember> RecordHolders() const;
  /** Another daemon places for this one. */
  bool HasRemoteOwner() const { return mOwner.has_value(); }
  /** Number of times that another daemon, or none, became the owner. */
  std::uint64_t OwnerChanges() const { return mOwnerChanges; }
  /** Something that the owner should know at once has changed. */
  void ReportStatus();

  // Plain requests.
  void RequestPlain(const PlainDemand& aDemand, PlainPlacer::Hook aHook);
  void WithdrawPlain(std::uint64_t aNumber);
  /** A request that was granted has ended. */
  void OnPlainEnded(std::uint64_t aNumber,
                    SendResult aResult,
                    const std::optional<ReportedLoad>& aLoad);

  // Endpoints.
  void OnSendResult(const std::string& aService,
                    const std::string& aEndpoint,
                    SendResult aResult);
  void OnEndpointChange(const EndpointRecord& aEndpoint,
                        EndpointChange aChange,
                        Duration aBackoff);

  // Streams.
  bool Admits(const StreamDemand& aDemand) override;
  void Submit(StreamDemand aDemand, DispatchedStream& aStream) override;
  void Adopt(const StreamRun& aRun, DispatchedStream& aStream) override;
  void Withdraw(std::uint64_t aNumber) override;
  void Unregister(std::uint64_t aNumber) override;
  void OnPrefillEnded(std::uint64_t aNumber, Duration aDuration) override;
  void OnDecodeStarted(std::uint64_t aNumber) override;
  void OnDecodeEnded(std::uint64_t aNumber) override;
  void OnRunAbandoned(std::uint64_t) override {}
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint) override;
  void OnProgress(const std::string& aService,
                  std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aDuration) override;
  void OnReservationRefused(const std::string& aEndpoint,
                            std::uint64_t aTokens) override;
  void OnInterrupted(const CachedPrompt& aPrompt) override;
  std::size_t WaitingCount() const override;

private:
  struct WaitingPlain
  {
    PlainDemand mDemand;
    PlainPlacer::Hook mHook;
  };

  // Owner.
  void ChooseOwner();
  /** aOwner: empty when this daemon places for itself. */
  void Follow(const std::optional<FleetMember>& aOwner, bool aIsOwner);
  /** aStatus: why a call to the owner failed. True when the owner is not
   * followed any more. */
  bool HandleFailure(const absl::Status& aStatus);
  void SendPoll();
  void HandleNews(const std::string& aPayload);
  void ProbeReturning();

  /** Places by this daemon, within the quota. */
  void RequestOwnPlain(const PlainDemand& aDemand,
                       const PlainPlacer::Hook& aHook);
  void SubmitOwn(TrackedStream& aStream);

  // Messages.
  void HandlePlainReply(std::uint64_t aNumber,
                        std::int64_t aSession,
                        const std::string& aOwner,
                        const absl::StatusOr<std::string>& aReply);
  void HandleStreamReply(std::uint64_t aNumber,
                         const absl::StatusOr<std::string>& aReply);
  void HandleRemotePlacement(TrackedStream& aStream,
                             const StreamPlacement& aPlacement);
  void SubmitToOwner(TrackedStream& aStream);
  void AddEvent(const wire::PlacementEvent& aEvent);
  void AddEvent(wire::PlacementEventKind::type aKind, std::uint64_t aNumber);
  void ScheduleEvents();
  void SendEvents();
  /** Ends what the stream has at the placer that it was submitted to. */
  void Release(TrackedStream& aStream);
  TrackedStream* FindRemote(std::uint64_t aNumber);

  const Clock& mClock;
  std::string mOwnName;
  std::int64_t mSession;
  PlacementLink mLink;
  PlainPlacer& mPlain;
  StreamPlacer& mStreams;
  Hooks mHooks;
  OwnerSelector mSelector;
  /** Set while another daemon places for this one. */
  std::optional<FleetMember> mOwner;
  bool mIsOwner = false;
  bool mIsProbing = false;
  std::uint64_t mOwnerChanges = 0;
  /** Number of the latest poll. */
  std::uint64_t mPollNumber = 0;
  Instant mLastHeardAt;
  /** Requests that wait for an answer of the owner. */
  std::map<std::uint64_t, WaitingPlain> mWaitingPlain;
  /** Requests that the present owner has granted. */
  std::set<std::uint64_t> mGrantedPlain;
  std::map<std::uint64_t, std::unique_ptr<TrackedStream>> mTracked;
  wire::PlacementEvents mEvents;
  bool mIsSendScheduled = false;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
