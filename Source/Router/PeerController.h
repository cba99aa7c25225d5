#ifndef BULRUSHFOLD_ROUTER_PEERCONTROLLER_H
#define BULRUSHFOLD_ROUTER_PEERCONTROLLER_H

#include <functional>
#include <memory>
#include <string>

#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/PeerTransport.h"
#include "Platform/ObjectStore.h"
#include "Router/PeerStatus.h"
#include "Router/RouterSettings.h"
#include "Router/WakeTimer.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/LocalPrefillTurns.h"
#include "Routing/PeerTable.h"

namespace bulrushfold {

/** Tables that what peers tell goes into. */
struct PeerBeliefs
{
  EndpointLoads& mLoads;
  StreamRuns& mRuns;
  SharedRetryBudget& mRetryBudget;
  CrashGuard& mGuard;
  DeferredRequests& mReturns;
  CachedPrompts& mKept;
  LocalPrefillTurns& mPrefillTurns;
  EndpointDirectory& mDirectory;
};

/**
 * Exchanges status with the other daemons. At its start a daemon writes its
 * address into the store and reads those of the others; afterwards daemons
 * find each other by their messages, so that no daemon watches the registry.
 * The messages are signed with a key that lies in the store, too.
 */
class PeerController
{
public:
  PeerController(EventLoop& aLoop,
                 const Clock& aClock,
                 Random& aRandom,
                 ObjectStore& aStore,
                 const RouterSettings& aSettings,
                 PeerBeliefs aBeliefs,
                 std::function<void()> aOnNews);

  void Start();
  /** The daemon ends now: its peers forget it, and its address goes from the
   * registry. A daemon that only begins to stop still has streams to tell of.
   */
  void AnnounceStop();
  /** No live peer has a lower name. */
  bool IsFirst() const
  {
    return mTransport && mPeers.HasLowestName(mSettings.mName);
  }
  /** "NAME/INCARNATION". */
  std::string Id() const { return mSettings.mName + "/" + mIncarnation; }
  /** Something else that peers should know changed. */
  void MarkChanged();

private:
  // Registry.
  void Register();
  void ReadRegistry();
  void TakeRegistry(const StoreListing& aListing);
  void CreateKey();
  void RetryLater(const absl::Status& aStatus, void (PeerController::*aStep)());
  void OpenLinks(const std::string& aKey);
  // Status.
  void HandleStatus(const std::string& aSender, const std::string& aPayload);
  void Forget(const std::string& aName);
  void CountDaemons();
  void Broadcast();
  PeerStatus MakeStatus() const;
  Duration LeastInterval() const;

  EventLoop& mLoop;
  const Clock& mClock;
  Random& mRandom;
  ObjectStore& mStore;
  const RouterSettings& mSettings;
  PeerBeliefs mBeliefs;
  std::function<void()> mOnNews;
  std::string mIncarnation;
  PeerTable mPeers;
  std::unique_ptr<PeerTransport> mTransport;
  WakeTimer mTimer;
  EventHandle mRetryTimer;
  EventHandle mRefreshTimer;
  /** Version of this daemon's entry in the registry; 0: not written. */
  std::uint64_t mEntryVersion = 0;
  Instant mSentAt;
  bool mIsStopping = false;
};

} // namespace bulrushfold

#endif
