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

/** Bounds on requests that crash endpoints. */
struct SuspectLimits
{
  /** Crashes after which a request is refused: crash_limit. */
  std::int32_t mCrashLimit = 3;
  /** Time for which a suspect is remembered after its last crash. */
  Duration mTimeToLive = std::chrono::hours(1);
  /** Longest run of a suspect; afterwards another daemon may run it. */
  Duration mRunLease = std::chrono::minutes(5);
};

/** How a request may be dispatched. */
enum class SuspectVerdict
{
  /** Like every other request. */
  Ordinary,
  /** Alone on an endpoint, after RequestRun was granted. */
  Alone,
  /** Not at all: it crashed mCrashLimit endpoints. */
  Refuse,
};

/** A request that an endpoint was running when it crashed. */
struct CrashedRequest
{
  std::string mDigest;
  /** True when the endpoint ran nothing else. */
  bool mWasAlone = false;
};

/** What an event decided. */
struct SuspectResult
{
  Outbox mMessages;
  /** Digests of which one waiting request may now run alone. */
  std::vector<std::string> mGranted;
  /** Digests that are no longer suspects: all waiting requests may run. */
  std::vector<std::string> mCleared;
  /** Digests whose waiting requests must be refused. */
  std::vector<std::string> mRefused;
};

/**
 * Requests that are suspected of crashing endpoints, by digest of (workspace,
 * model, body). The daemon that rendezvous hashing selects for a digest counts
 * its crashes and permits one run at a time; all daemons hold copies. Only a
 * crash of a run alone can complete the count, so that an innocent request that
 * shared batches with a crashing one is run alone in the end, succeeds and is
 * cleared.
 *
 * Events to deliver: Admit before each dispatch; RequestRun when the verdict is
 * Alone and a request waits (again after each end of a run while more wait);
 * OnCrash when an endpoint crashed (its incarnation changed or its streams
 * broke and the probe failed) with the requests that this daemon ran there;
 * OnSuccess when any request finished; OnRunEnded when a granted run ended
 * otherwise; OnReport with each CRASH_REPORT; Tick every kTickInterval;
 * Fetch once after the first VM list. A granted run needs an endpoint that runs
 * nothing else and receives nothing else meanwhile: the endpoint's owner
 * reserves it whole.
 */
class CrashSuspects
{
public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(500);
  /** Time after which the owner sends its entries to all daemons again. */
  static constexpr Duration kRefreshInterval = std::chrono::seconds(30);
  /** Time for which an unanswered report is repeated. */
  static constexpr Duration kReportFor = std::chrono::seconds(60);
  static constexpr std::size_t kMaxEntries = 2000;

  /** aRings: the live daemons of Membership; must outlive this object. */
  CrashSuspects(std::string aSelf,
                const HashRings& aRings,
                SuspectLimits aLimits,
                Instant aNow);

  SuspectVerdict Admit(const std::string& aDigest, Instant aNow) const;
  SuspectResult RequestRun(const std::string& aDigest, Instant aNow);
  /** aEndpoint names the endpoint with its incarnation. */
  SuspectResult OnCrash(const std::string& aEndpoint,
                        const std::vector<CrashedRequest>& aRequests,
                        Instant aNow);
  SuspectResult OnSuccess(const std::string& aDigest, Instant aNow);
  SuspectResult OnRunEnded(const std::string& aDigest, Instant aNow);
  SuspectResult OnReport(const std::string& aFrom,
                         const wire::CrashReport& aReport,
                         Instant aNow);
  SuspectResult Tick(Instant aNow);
  /** Asks the ring successors for their entries. */
  SuspectResult Fetch() const;

  /** Crashes counted for aDigest; 0 when it is no suspect. */
  std::int32_t Crashes(const std::string& aDigest, Instant aNow) const;

private:
  struct Entry
  {
    std::int64_t mSequence = 0;
    std::int32_t mCrashes = 0;
    bool mIsCleared = false;
    Instant mExpires;
    std::string mRunner;
    Instant mRunUntil;
    /** Crashes already counted, the latest last. */
    std::deque<std::string> mCounted;
  };
  /** A report that the owner has not answered yet. */
  struct Pending
  {
    wire::CrashAction::type mAction;
    wire::CrashEntry mEntry;
    Instant mNextSend;
    Instant mEnd;
  };
  using PendingKey = std::pair<std::string, std::string>;

  const Entry* Find(const std::string& aDigest, Instant aNow) const;
  void Report(wire::CrashAction::type aAction,
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
  void DropOldest(const std::string& aExcept);
  void Clear(const std::string& aDigest, Instant aNow, SuspectResult& aResult);
  void EndRun(const std::string& aFrom,
              const std::string& aDigest,
              Instant aNow,
              SuspectResult& aResult);
  void DecideRun(const std::string& aFrom,
                 const std::string& aDigest,
                 Instant aNow,
                 SuspectResult& aResult);
  void Answer(const std::string& aTo,
              wire::CrashAction::type aAction,
              const wire::CrashEntry& aEntry,
              Instant aNow,
              SuspectResult& aResult);
  void OnAnswer(wire::CrashAction::type aAction,
                const wire::CrashEntry& aEntry,
                Instant aNow,
                SuspectResult& aResult);
  void Publish(const std::string& aDigest,
               const std::string& aExcept,
               Instant aNow,
               SuspectResult& aResult) const;
  bool Merge(const wire::CrashEntry& aEntry, Instant aNow);
  void NoteChange(const std::string& aDigest,
                  Instant aNow,
                  SuspectResult& aResult);
  void OnGrant(const wire::CrashEntry& aEntry, SuspectResult& aResult);
  void SendAll(const std::string& aTo,
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
  /** Digests that this daemon runs alone or asks to run. */
  std::set<std::string> mRunning;
  std::set<std::string> mAsking;
  Instant mNextRefresh;
};

} // namespace bulrushfold

#endif
