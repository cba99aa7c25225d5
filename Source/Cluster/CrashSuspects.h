#ifndef BULRUSHFOLD_CLUSTER_CRASHSUSPECTS_H
#define BULRUSHFOLD_CLUSTER_CRASHSUSPECTS_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/ClusterMessage.h"
#include "Cluster/HashRings.h"

namespace bulrushfold {

/** Limits for requests that crash endpoints. */
struct SuspectLimits
{
  /** Number of crashes after which a request is refused; setting
   * crash_limit. */
  std::int32_t mCrashLimit = 3;
  /** Retention of a suspect after its last crash. */
  Duration mTimeToLive = std::chrono::hours(1);
  /** Maximum time of a suspect's run; afterwards another daemon may run the
   * request. */
  Duration mRunLease = std::chrono::minutes(5);
};

/** Permission to dispatch a request. */
enum class SuspectVerdict
{
  /** The request is no suspect and needs no permission. */
  Ordinary,
  /** The request may only run alone on an endpoint, after RequestRun was
   * granted. */
  Alone,
  /** The request is refused, because it crashed mCrashLimit endpoints. */
  Refuse,
};

/** A request that an endpoint was running when it crashed. */
struct CrashedRequest
{
  std::string mDigest;
  /** True when the endpoint ran no other request. */
  bool mWasAlone = false;
};

/** Messages and decisions that result from an event. */
struct SuspectResult
{
  Outbox mMessages;
  /** Digests for each of which one waiting request may now run alone. */
  std::vector<std::string> mGranted;
  /** Digests that are no longer suspects. All their waiting requests may
   * run. */
  std::vector<std::string> mCleared;
  /** Digests whose waiting requests must be refused. */
  std::vector<std::string> mRefused;
};

/**
 * Tracks requests that are suspected of crashing endpoints, by digest of
 * (workspace, model, body). Rendezvous hashing selects one daemon as the owner
 * of each digest. The owner counts its crashes and permits one run at a time;
 * all other daemons have copies of the count. The crash that reaches the limit
 * counts only if the request ran alone. A harmless request that shared batches
 * with a crashing one is therefore not refused: it finally runs alone, succeeds
 * and is cleared.
 *
 * Events to deliver: Admit before each dispatch; RequestRun when the verdict is
 * Alone and a request waits (again after each end of a run while more requests
 * wait); OnCrash when an endpoint crashed (its incarnation changed, or its
 * streams were interrupted and the probe failed) with the requests that this
 * daemon ran there; OnSuccess when any request finished; OnRunEnded when a
 * granted run ended in another way; OnReport with each CRASH_REPORT; Tick every
 * kTickInterval; Fetch once after the first VM list. A granted run needs an
 * endpoint without any other work until the run ends: the owner of the endpoint
 * reserves all of it.
 */
class CrashSuspects
{
public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(500);
  /** Interval at which an owner sends its entries to all daemons again. */
  static constexpr Duration kRefreshInterval = std::chrono::seconds(30);
  /** Time for which a report is repeated until the owner answers. */
  static constexpr Duration kReportTimeout = std::chrono::seconds(60);
  static constexpr std::size_t kMaxEntries = 2000;

  /** aRings contains the live daemons of Membership and must outlive this
   * object. */
  CrashSuspects(std::string aSelf,
                const HashRings& aRings,
                SuspectLimits aLimits,
                Instant aNow);

  SuspectVerdict Admit(const std::string& aDigest, Instant aNow) const;
  SuspectResult RequestRun(const std::string& aDigest, Instant aNow);
  /** aEndpoint identifies the endpoint and its incarnation. */
  SuspectResult OnCrash(const std::string& aEndpoint,
                        const std::vector<CrashedRequest>& aRequests,
                        Instant aNow);
  SuspectResult OnSuccess(const std::string& aDigest, Instant aNow);
  SuspectResult OnRunEnded(const std::string& aDigest, Instant aNow);
  SuspectResult OnReport(const std::string& aFrom,
                         const wire::CrashReport& aReport,
                         Instant aNow);
  SuspectResult Tick(Instant aNow);
  /** Requests the entries of the ring successors. */
  SuspectResult Fetch() const;

  /** Returns the number of crashes counted for aDigest; 0 when it is no
   * suspect. */
  std::int32_t Crashes(const std::string& aDigest, Instant aNow) const;

private:
  struct Entry
  {
    std::int64_t mSequence = 0;
    std::int32_t mCrashes = 0;
    bool mIsCleared = false;
    Instant mExpires;
    std::string mRunner;
    Instant mRunLeaseEnd;
    /** Endpoints whose crashes were already counted, the latest last. */
    std::deque<std::string> mCountedCrashes;
  };
  /** A report that the owner has not answered yet. */
  struct Pending
  {
    wire::CrashAction::type mAction;
    wire::CrashEntry mEntry;
    Instant mNextSend;
    Instant mDeadline;
  };
  using PendingKey = std::pair<std::string, std::string>;

  const Entry* FindSuspect(const std::string& aDigest, Instant aNow) const;
  void SendReport(wire::CrashAction::type aAction,
                  const wire::CrashEntry& aEntry,
                  const std::string& aEvent,
                  Instant aNow,
                  SuspectResult& aResult);
  void SendPending(Pending& aPending, Instant aNow, SuspectResult& aResult);
  void HandleAsOwner(const std::string& aFrom,
                     wire::CrashAction::type aAction,
                     const wire::CrashEntry& aEntry,
                     Instant aNow,
                     SuspectResult& aResult);
  void CountCrash(const std::string& aFrom,
                  const wire::CrashEntry& aEntry,
                  Instant aNow,
                  SuspectResult& aResult);
  void EvictOldest(const std::string& aExcluded);
  void Clear(const std::string& aDigest, Instant aNow, SuspectResult& aResult);
  void EndRun(const std::string& aFrom,
              const std::string& aDigest,
              Instant aNow,
              SuspectResult& aResult);
  void DecideRun(const std::string& aFrom,
                 const std::string& aDigest,
                 Instant aNow,
                 SuspectResult& aResult);
  void SendAnswer(const std::string& aTo,
                  wire::CrashAction::type aAction,
                  const wire::CrashEntry& aEntry,
                  Instant aNow,
                  SuspectResult& aResult);
  void OnAnswer(wire::CrashAction::type aAction,
                const wire::CrashEntry& aEntry,
                Instant aNow,
                SuspectResult& aResult);
  void Publish(const std::string& aDigest,
               const std::string& aExcluded,
               Instant aNow,
               SuspectResult& aResult) const;
  bool Merge(const wire::CrashEntry& aEntry, Instant aNow);
  void ResolveRunRequest(const std::string& aDigest,
                         Instant aNow,
                         SuspectResult& aResult);
  void OnGrant(const wire::CrashEntry& aEntry, SuspectResult& aResult);
  void SendEntries(const std::string& aTo,
                   Instant aNow,
                   SuspectResult& aResult) const;
  void Expire(Instant aNow);
  wire::CrashEntry Encode(const std::string& aDigest,
                          const Entry& aEntry,
                          Instant aNow) const;

  std::string mSelf;
  const HashRings& mRings;
  SuspectLimits mLimits;
  std::map<std::string, Entry> mEntries;
  std::map<PendingKey, Pending> mPending;
  /** Digests of which this daemon runs a request alone (mGrantedRuns) or has
   * requested a run (mRequestedRuns). */
  std::set<std::string> mGrantedRuns;
  std::set<std::string> mRequestedRuns;
  Instant mNextRefresh;
};

} // namespace bulrushfold

#endif
