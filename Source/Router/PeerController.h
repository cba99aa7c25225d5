#ifndef BULRUSHFOLD_ROUTER_PEERCONTROLLER_H
#define BULRUSHFOLD_ROUTER_PEERCONTROLLER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/PeerTransport.h"
#include "Platform/ObjectStore.h"
#include "Router/PeerStatus.h"
#include "Router/PlacementMessages.h"
#include "Router/RouterSettings.h"
#include "Router/WakeTimer.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/LocalPrefillTurns.h"
#include "Routing/PeerTable.h"

namespace bulrushfold {

/** Tables that are updated from the status messages of peers. */
struct SharedTables
{
  EndpointLoads& mLoads;
  StreamRuns& mRuns;
  SharedRetryBudget& mRetryBudget;
  CrashGuard& mGuard;
  DeferredRequests& mDeferredRequests;
  CachedPrompts& mCachedPrompts;
  LocalPrefillTurns& mPrefillTurns;
  EndpointDirectory& mDirectory;
  WorkspaceQuotas& mQuotas;
  StreamOrigins& mOrigins;
};

/**
 * Exchanges status messages with the other daemons. At its start a daemon
 * writes its address into the registry, which is kept in the store, and reads
 * the addresses of the others. Afterwards daemons discover each other by their
 * messages, so that no daemon watches the registry. The messages are signed
 * with a key that is also kept in the store.
 *
 * In a large fleet, where each daemon would have to read the messages of all
 * others, the daemons tell their states to the placement owner instead.
 */
class PeerController
{
public:
  struct Hooks
  {
    /** A peer sent its status, or is not live any more. */
    std::function<void()> mOnPeerUpdate;
    /** The registry was read. */
    std::function<void(std::vector<FleetMember>)> mOnMembers;
    /** The daemon can send and receive messages from now on. */
    std::function<void(PeerTransport&)> mOnLinksOpen;
  };
  PeerController(EventLoop& aLoop,
                 const Clock& aClock,
                 Random& aRandom,
                 ObjectStore& aStore,
                 const RouterSettings& aSettings,
                 SharedTables aTables,
                 Hooks aHooks);

  void Start();
  /** The store came back from a copy, which may lack what the daemons wrote.
   * Reads the registry again soon, and writes what is missing. */
  void OnStoreRestored();
  /** Announces to the peers that the daemon ends now, and removes its address
   * from the registry. Must not be called when a graceful shutdown starts,
   * because the daemon still has streams then, which it must report to its
   * peers. */
  void AnnounceStop();
  /** True when no live peer has a lower name. */
  bool HasLowestName() const
  {
    return mTransport && mPeers.HasLowestName(mSettings.mName);
  }
  /** Number of peers that sent a message lately. */
  std::size_t LiveCount() const { return mPeers.LiveCount(); }
  /** The peers of a small fleet that sent a message lately. */
  std::vector<FleetMember> LivePeers() const;
  /** Messages to other daemons; a call fails while there are no links. */
  PlacementLink Link();
  /** "NAME/INCARNATION". */
  std::string Id() const { return mSettings.mName + "/" + mIncarnation; }
  /** What a daemon of a large fleet reports to the placement owner. */
  PeerStatus MakeSummary() const;
  /** Sends a status message soon, because other data in it has changed. */
  void ScheduleBroadcast();

private:
  // Registry.
  void Register();
  void ReadRegistry();
  void HandleRegistry(const StoreListing& aListing);
  /** Writes the entry of this process again if the store has lost it. */
  void RestoreEntry(const StoreListing& aListing);
  /** Adds the former members that may not have written their entries again. */
  void AddFormerMembers(std::vector<FleetMember>& aMembers) const;
  /** The member that an entry describes; empty when it is unreadable. */
  std::optional<FleetMember> ReadMember(const StoredObject& aEntry) const;
  void SetMembers(std::vector<FleetMember> aMembers);
  void CreateKey();
  void ScheduleRetry(const absl::Status& aStatus,
                     void (PeerController::*aStep)());
  void OpenLinks(const std::string& aKey);
  // Status.
  void HandleStatus(const std::string& aSender, const std::string& aPayload);
  void RemovePeer(const std::string& aName);
  void UpdatePeerCount();
  void Broadcast();
  PeerStatus MakeStatus() const;
  Duration MinInterval() const;

  EventLoop& mLoop;
  const Clock& mClock;
  Random& mRandom;
  ObjectStore& mStore;
  const RouterSettings& mSettings;
  SharedTables mTables;
  Hooks mHooks;
  std::string mIncarnation;
  PeerTable mPeers;
  std::unique_ptr<PeerTransport> mTransport;
  WakeTimer mTimer;
  EventHandle mRetryTimer;
  EventHandle mRefreshTimer;
  /** Members of the last reading, including this daemon. */
  std::vector<FleetMember> mMembers;
  /** Until then, members whose entries the store lacks are kept. */
  Instant mRestoreEnd;
  /** The key that signs the messages; empty before it was read. */
  std::string mKey;
  /** Version of this daemon's registry entry; 0 before it is written. */
  std::uint64_t mEntryVersion = 0;
  Instant mSentAt;
  bool mIsStopping = false;
  /** The daemons exchange their states through the placement owner. */
  bool mIsLargeFleet = false;
  std::uint32_t mRegistryReads = 0;
};

} // namespace bulrushfold

#endif
