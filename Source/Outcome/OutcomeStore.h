#ifndef BULRUSHFOLD_OUTCOME_OUTCOMESTORE_H
#define BULRUSHFOLD_OUTCOME_OUTCOMESTORE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Outcome/Explanation.h"
#include "Outcome/OutcomeAggregate.h"
#include "Outcome/OutcomeCodec.h"
#include "Outcome/OutcomeRecord.h"
#include "Outcome/ReportPart.h"

namespace bulrushfold {

/** Limits of an OutcomeStore. */
struct OutcomeLimits
{
  /**
   * Time after which records expire, see TelemetrySettings::mOutcomeRetention.
   */
  Duration mRetention = std::chrono::hours(1);
  /**
   * Maximum number of end records, and also of requests in progress, see
   * TelemetrySettings::mMaxOutcomes.
   */
  std::size_t mMaxRecords = 100'000;
};

/**
 * Stores the outcome records of this daemon and copies of the records of other
 * daemons. A replica is a daemon that stores such copies.
 *
 * The daemon calls:
 * - Begin: when a request has passed admission, before its first attempt;
 * - End: once for every request, including requests that were refused;
 * - CollectBatch: once a second and at a graceful shutdown. The daemon sends
 *   the batch as OUTCOME_BATCH, which is a call, to each daemon of
 *   SelectReplicas. After a failed call the daemon sends the same batch once
 *   more, to the replicas that are selected at that time;
 * - RequeueInProgress: when the result of SelectReplicas changes;
 * - Receive: for each OUTCOME_BATCH;
 * - HandleDaemonDead with a name: when membership declares a daemon dead. The
 *   incarnation may be unknown, because the list of VMs can name a daemon
 *   before its first message. A daemon that stopped gracefully has sent all
 *   its end records, so the call changes nothing;
 * - HandleDaemonDead with a name and an incarnation: when a daemon has
 *   restarted under a new incarnation, for the previous one;
 * - HandleDaemonAlive: when membership reverses such a declaration;
 * - Trim: every few seconds.
 *
 * A request that starts and ends between two batches has no begin record. When
 * the limit on records is reached, the oldest records of served requests are
 * removed first. Records are stored packed: times are rounded to 100
 * microseconds, and served requests have no times by hop. The Tracer of the
 * entry daemon still has the spans.
 */
class OutcomeStore
{
public:
  OutcomeStore(std::string aDaemon,
               std::string aIncarnation,
               OutcomeLimits aLimits,
               const Clock& aClock);

  void Begin(BeginRecord aRecord);
  void End(OutcomeRecord aRecord);

  /**
   * Removes and returns at most aMaxRecords records of this daemon that have
   * not been sent; empty if there are none. The daemon repeats the call until
   * the result is empty.
   */
  std::optional<OutcomeRecords> CollectBatch(std::size_t aMaxRecords);
  /**
   * Adds the begin records of all requests in progress at this daemon to the
   * next batches.
   */
  void RequeueInProgress();

  /**
   * Stores copies of the records of another daemon. Batches may arrive
   * repeatedly and in any order.
   */
  void Receive(const OutcomeRecords& aRecords);
  /**
   * Records the requests in progress of this incarnation as "lost", including
   * those whose begin records arrive later. An end record that arrives later
   * replaces the status "lost".
   */
  void HandleDaemonDead(const std::string& aDaemon,
                        const std::string& aIncarnation);
  /** Does the same for all incarnations of aDaemon that sent records. */
  void HandleDaemonDead(const std::string& aDaemon);
  void HandleDaemonAlive(const std::string& aDaemon,
                         const std::string& aIncarnation);
  void Trim();

  /** Returns the record of a request; empty when this store has none. */
  std::optional<Explanation> Explain(const std::string& aRequestId) const;

  /**
   * Returns the parts of a report that this daemon contributes. Copies are
   * included only for incarnations for which aIsLive returns false, because
   * live daemons report their own records.
   */
  std::vector<ReportPart> MakeReportParts(
    const ReportWindow& aWindow,
    const std::function<bool(const std::string&, const std::string&)>& aIsLive)
    const;

  std::size_t RecordCount() const { return mRecords.size(); }
  std::size_t InProgressCount() const { return mInProgress.size(); }
  /** Number of end and begin records removed because of a limit. */
  std::uint64_t Dropped() const { return mDropped; }

private:
  /** Name and incarnation of a daemon. */
  using Origin = std::pair<std::string, std::string>;
  /** 128-bit hash of a request id; needs less memory than the text. */
  using RequestKey = std::pair<std::uint64_t, std::uint64_t>;
  struct RequestKeyHash
  {
    std::size_t operator()(const RequestKey& aKey) const
    {
      return static_cast<std::size_t>(aKey.first);
    }
  };
  struct StoredRecord
  {
    /** Record in the format of PackOutcome. */
    std::string mPacked;
    /** Key in mOrigins; the entry is removed later than the record. */
    const Origin* mOrigin = nullptr;
    bool mIsLost = false;
  };
  struct RequestInProgress
  {
    BeginRecord mBegin;
    Instant mStoredAt;
  };
  struct OriginState
  {
    OutcomeAggregate mAggregate;
    bool mIsDead = false;
    Instant mLastChange;
  };
  using Arrival = std::pair<Instant, RequestKey>;

  static RequestKey HashRequestId(const std::string& aRequestId);
  void Store(const Origin& aOrigin, const OutcomeRecord& aRecord);
  void StoreBegin(const Origin& aOrigin, const BeginRecord& aRecord);
  void TrimRecords(std::deque<Arrival>& aQueue, Instant aLimit);
  void TrimInProgress(Instant aLimit);
  void TrimOrigins(Instant aLimit);
  void EnforceMaxRecords();
  /** Replaces a record with status "lost" by the end record. */
  void ReplaceLost(StoredRecord& aStored,
                   const Origin& aOrigin,
                   const OutcomeRecord& aRecord);
  /** Returns the entry of aOrigin in mOrigins and updates its last change. */
  std::pair<const Origin, OriginState>& TouchOrigin(const Origin& aOrigin);

  Origin mOwnOrigin;
  OutcomeLimits mLimits;
  const Clock& mClock;
  std::unordered_map<RequestKey, StoredRecord, RequestKeyHash> mRecords;
  /** Keys in mRecords by arrival; served requests have a queue of their own. */
  std::deque<Arrival> mServedArrivals;
  std::deque<Arrival> mNotServedArrivals;
  std::unordered_map<RequestKey, RequestInProgress, RequestKeyHash> mInProgress;
  std::deque<Arrival> mInProgressArrivals;
  std::map<Origin, OriginState> mOrigins;
  std::deque<RequestKey> mUnsentBegins;
  std::deque<OutcomeRecord> mUnsentEnds;
  std::uint64_t mDropped = 0;
};

} // namespace bulrushfold

#endif
