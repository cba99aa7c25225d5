#ifndef BULRUSHFOLD_ROUTER_PLACEMENTOWNER_H
#define BULRUSHFOLD_ROUTER_PLACEMENTOWNER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Router/PlacementMessages.h"
#include "Router/PlainPlacer.h"
#include "Router/StreamPlacer.h"
#include "Routing/CrashGuard.h"
#include "Routing/DeferredRequests.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/SharedRetryBudget.h"
#include "Routing/WorkspaceQuotas.h"

namespace bulrushfold {

/** Tables that the placement owner updates from the messages of its clients. */
struct OwnerTables
{
  PlainPlacer& mPlain;
  StreamPlacer& mStreams;
  EndpointLoads& mLoads;
  EndpointHealth& mHealth;
  SharedRetryBudget& mRetryBudget;
  CrashGuard& mGuard;
  DeferredRequests& mDeferredRequests;
  EndpointDirectory& mDirectory;
  StoreFeed& mFeed;
  WorkspaceQuotas& mQuotas;
  StreamOrigins& mOrigins;
};

/**
 * Places the requests of other daemons, its clients. Any daemon does so for the
 * clients that ask it. A client that is silent for longer than its lease has
 * died or follows another owner, and everything that it was granted is free
 * again. The owner holds no state that must outlast it: its clients report
 * their runs to the next owner.
 */
class PlacementOwner
{
public:
  using Responder = std::function<void(absl::StatusOr<std::string>)>;
  struct Hooks
  {
    /** A number that no other request of this daemon has. */
    std::function<std::uint64_t()> mNextNumber;
    /** Number of daemons that the registry lists. */
    std::function<std::size_t()> mMemberCount;
    /** This daemon does not reach the store although its clients do, so another
     * one should be the owner. */
    std::function<void()> mOnStepDown;
    /** Looks for the engines that cache the prompt of an interrupted stream,
     * and calls aDone when they are known, perhaps at once. */
    std::function<void(const StreamDemand& aDemand,
                       std::function<void()> aDone)>
      mFindCachedPrompt;
    /** Schedules OnWake. */
    std::function<void(Instant)> mWakeAt;
  };
  /** Time without a message after which a client has lost its grants. */
  static constexpr Duration kLease = std::chrono::seconds(2);

  PlacementOwner(const Clock& aClock,
                 OwnerTables aTables,
                 SocketAddress aAddress,
                 Hooks aHooks);
  ~PlacementOwner();

  // Messages of clients.
  void HandlePlain(const std::string& aClient,
                   const std::string& aPayload,
                   Responder aResponder);
  void HandleStream(const std::string& aClient,
                    const std::string& aPayload,
                    Responder aResponder);
  void HandleEvents(const std::string& aClient, const std::string& aPayload);
  void HandlePoll(const std::string& aClient,
                  const std::string& aPayload,
                  Responder aResponder);
  void OnWake();

  /** Number of daemons that this one places for, besides itself. */
  std::size_t ClientCount() const { return mClients.size(); }
  /** Tells all clients soon what is new. */
  void Announce();
  /** This daemon stops, so its clients need another owner. */
  void BeginStop();

private:
  class RemoteStream;
  struct PlainRun
  {
    std::uint64_t mLocalNumber = 0;
    std::string mService;
    /** Empty while the request waits. */
    std::string mEndpoint;
    Instant mRequestedAt;
    Instant mGrantedAt;
  };
  struct Client
  {
    std::int64_t mSession = 0;
    Instant mLastMessageAt;
    std::map<std::uint64_t, PlainRun> mPlain;
    std::map<std::uint64_t, std::unique_ptr<RemoteStream>> mStreams;
    RetryUses mRetries;
    std::vector<wire::MoveProposal> mMoves;
    std::vector<FeedPosition> mPositions;
    bool mReachesStore = false;
    Responder mPoll;
    Instant mPollDueAt;
  };

  /** The client with this session; a new session replaces an old one. Null for
   * a session that was replaced. */
  Client* Touch(const std::string& aName, std::int64_t aSession);
  /** Frees everything that the client was granted. */
  void Drop(const std::string& aName);
  void EndPlain(Client& aClient, std::uint64_t aNumber);
  /** Frees what the client does not know any more. */
  void Reconcile(Client& aClient, const wire::PlacementPoll& aPoll);
  void HandleEvent(Client& aClient, const wire::PlacementEvent& aEvent);
  void HandlePlainEnded(Client& aClient, const wire::PlacementEvent& aEvent);
  void HandleEndpointEvent(const wire::PlacementEvent& aEvent);
  void HandleStreamEvent(Client& aClient, const wire::PlacementEvent& aEvent);
  void Adopt(const std::string& aName, Client& aClient, const StreamRun& aRun);
  void AnswerPoll(Client& aClient);
  bool HasNews(const Client& aClient) const;
  wire::PlacementNews MakeNews(const Client* aClient);
  /** Steps down when most clients reach the store and this daemon does not. */
  void CheckStore();
  void ScheduleWake();
  /** Number of daemons that share limits. */
  std::size_t FleetSize() const;

  const Clock& mClock;
  OwnerTables mTables;
  SocketAddress mAddress;
  Hooks mHooks;
  std::map<std::string, Client> mClients;
  /** Retries of the whole fleet, and when they were summed up. */
  RetryUses mFleetUses;
  Instant mFleetUsesAt;
  bool mIsStopping = false;
  /** Since when most clients reach the store and this daemon does not. */
  std::optional<Instant> mBehindSince;
  bool mIsSteppingDown = false;
  bool mIsWakeScheduled = false;
  bool mIsAnnouncing = false;
};

} // namespace bulrushfold

#endif
