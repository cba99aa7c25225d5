#ifndef BULRUSHFOLD_CLUSTER_CONFIGWATCH_H
#define BULRUSHFOLD_CLUSTER_CONFIGWATCH_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Cluster/HashRings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Next call to the object API that a watcher must make. */
enum class WatchStep
{
  None,
  /** ObjectStore::List("config/"). Its result must be passed to OnListing. */
  List,
  /** ObjectStore::Watch("config/", Revision()). It replaces the current
   * watch. */
  Watch,
  /** End the watch, because another daemon is now the watcher. */
  Stop,
};

/**
 * Decides whether this daemon watches the store, and from which revision. In
 * each failure domain, kWatchers daemons selected by hash are watchers; with 43
 * failure domains, 86 daemons watch instead of 3,500. A watch that ended
 * continues from the last revision, or after a new listing if that revision is
 * no longer available. Each watcher renews its watch every kRenewInterval; this
 * one call shows whether a watch without events missed a change. A daemon that
 * does not become ready through its peers also lists the objects, because there
 * may be no peer to compare with.
 *
 * Events to deliver: Tick every Dissemination::kTickInterval; OnListing with
 * the result of a listing, after its objects were passed to
 * Dissemination::OnStoredObject; OnChange with the revision (version) of each
 * object from the watch; OnEnd from StoreWatchHooks::mOnEnd.
 */
class ConfigWatch
{
public:
  static constexpr std::size_t kWatchers = 2;
  /** Key that selects the watchers by rendezvous hashing. */
  static constexpr std::string_view kElectionKey = "config-watch";
  static constexpr Duration kRenewInterval = std::chrono::seconds(60);
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetryInterval = std::chrono::seconds(8);
  /** Minimum time for which a daemon that is neither ready nor a watcher
   * queries only its peers; the actual time is 1 to 3 times as long, at random.
   * If 3,500 daemons restart together and find no ready peer, the store
   * receives 90 listings per second. */
  static constexpr Duration kMinPeerQueryTime = std::chrono::seconds(20);

  /** Time for which a daemon without live peers waits before it becomes a
   * watcher. */
  static constexpr Duration kFirstPeerTimeout = std::chrono::seconds(3);

  ConfigWatch(std::string aSelf,
              std::string aFailureDomain,
              const HashRings& aRings,
              Instant aNow,
              Random& aRandom);

  WatchStep Tick(bool aIsReady, Instant aNow);
  void OnListing(const absl::StatusOr<std::uint64_t>& aRevision, Instant aNow);
  void OnChange(std::uint64_t aRevision);
  void OnEnd(const absl::Status& aStatus,
             std::uint64_t aLastRevision,
             Instant aNow);

  /** Revision from which the next watch continues. */
  std::uint64_t Revision() const { return mRevision; }
  /** True when the hash selects this daemon as a watcher. */
  bool IsWatcher() const { return mIsWatcher; }

private:
  void ScheduleRetry(Instant aNow);
  void UpdateElection();
  Instant PickListTime(Instant aNow);

  std::string mSelf;
  std::string mFailureDomain;
  const HashRings& mRings;
  Random& mRandom;
  std::uint64_t mRevision = 0;
  bool mIsWatcher = false;
  std::uint64_t mRingsRevision = 0;
  bool mIsListing = false;
  bool mIsWatching = false;
  bool mWasReady = false;
  Instant mNextStep;
  /** Time from which a daemon that is neither ready nor a watcher lists the
   * objects. */
  Instant mUnreadyListTime;
  Instant mFirstPeerDeadline;
  Instant mNextRenewal;
  Duration mRetryInterval = kRetryInterval;
};

} // namespace bulrushfold

#endif
