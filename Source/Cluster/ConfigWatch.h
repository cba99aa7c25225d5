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

/** Call of the object API that a watcher makes next. */
enum class WatchStep
{
  None,
  /** ObjectStore::List("config/"); the answer goes to OnListing. */
  List,
  /** ObjectStore::Watch("config/", Revision()), in place of a present watch. */
  Watch,
  /** End the watch: another daemon holds it. */
  Stop,
};

/**
 * Whether this daemon holds the watch of the store, and from which revision.
 * kWatchers daemons of each failure domain, chosen by hash, watch; at 43
 * failure domains these are 86 instead of 3,500. A watch that ended is resumed
 * from the last revision, after a listing if the revision is gone. Each watcher
 * renews its watch every kRenewInterval, which finds out, for one call, whether
 * a silent watch missed a change. A daemon that does not become ready by its
 * peers lists the objects too, because it may have nobody to compare with.
 *
 * Events to deliver: Tick every Dissemination::kTickInterval; OnListing with
 * the result of a listing, after its objects were passed to
 * Dissemination::OnStoredObject; OnChange with the revision (version) of each
 * object of the watch; OnEnd from StoreWatchHooks::mOnEnd.
 */
class ConfigWatch
{
public:
  static constexpr std::size_t kWatchers = 2;
  /** Key of the rendezvous hash that chooses the watchers. */
  static constexpr std::string_view kElectionKey = "config-watch";
  static constexpr Duration kRenewInterval = std::chrono::seconds(60);
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetryInterval = std::chrono::seconds(8);
  /** Time for which a daemon that is not ready and no watcher first asks its
   * peers; a random time up to three times as long. If 3,500 daemons restart
   * together and find no ready peer, the store gets 90 listings a second. */
  static constexpr Duration kPeerQueryTime = std::chrono::seconds(20);

  /** Time for which a daemon that knows no other one does not watch. */
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

  /** Revision that the next watch continues from. */
  std::uint64_t Revision() const { return mRevision; }
  /** True when hashing chooses this daemon. */
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
  /** Time from which a daemon that is no watcher lists, while not ready. */
  Instant mNextUnreadyList;
  Instant mFirstPeerDeadline;
  Instant mNextRenewal;
  Duration mRetryInterval = kRetryInterval;
};

} // namespace bulrushfold

#endif
