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

/** Bounds of an OutcomeStore. */
struct OutcomeLimits
{
  /** TelemetrySettings::mOutcomeRetention. */
  Duration mRetention = std::chrono::hours(1);
  /** TelemetrySettings::mMaxOutcomes; bounds records and open requests. */
  std::size_t mMaxRecords = 100'000;
};

/**
 * Outcome records of this daemon and copies of other daemons' records.
 *
 * Events that the daemon delivers:
 * - Begin: when a request passed admission (before its first attempt);
 * - End: once for every request, also for requests that were refused;
 * - CollectBatch: once a second and at a planned stop; the batch goes as
 *   OUTCOME_BATCH (a call) to each daemon of SelectReplicas. After a failed
 * call the same batch is sent once more, to the holders selected then;
 * - RequeueInProgress: when SelectReplicas returns another result than before;
 * - Receive: for each OUTCOME_BATCH;
 * - HandleDaemonDead: when membership declares a daemon dead, by its name: the
 *   VM list may have named it before its incarnation was known. When a daemon
 *   comes back under a new incarnation, for the former one. A daemon that left
 *   in a planned stop has sent all its end records, so the call is harmless;
 * - HandleDaemonAlive: when membership takes such a declaration back;
 * - Trim: every few seconds.
 *
 * A request that starts and ends between two batches has no begin record. When
 * the bound on records is reached, the oldest served ones leave first. Records
 * are kept packed: times are rounded to 100 microseconds, and served requests
 * lose their times by hop; the Tracer still has their spans.
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
   * Own records not batched yet, at most aMaxRecords; empty if none. Call it
   * until it is empty.
   */
  std::optional<OutcomeRecords> CollectBatch(std::size_t aMaxRecords);
  /** Puts the begin records of all own open requests in the next batches. */
  void RequeueInProgress();

  /** Stores copies; batches may arrive repeatedly and in any order. */
  void Receive(const OutcomeRecords& aRecords);
  /**
   * Open requests of this incarnation become lost, now and on arrival. An end
   * record that arrives later replaces the record that says "lost".
   */
  void HandleDaemonDead(const std::string& aDaemon,
                        const std::string& aIncarnation);
  /** The same for all incarnations of a daemon that sent records. */
  void HandleDaemonDead(const std::string& aDaemon);
  void HandleDaemonAlive(const std::string& aDaemon,
                         const std::string& aIncarnation);
  void Trim();

  /** Empty when the request is not known. */
  std::optional<Explanation> Explain(const std::string& aRequestId) const;

  /**
   * This daemon's share of a report. Copies are counted only for incarnations
   * for which aIsLive is false, because live ones report themselves.
   */
  std::vector<ReportPart> MakeReportParts(
    const ReportWindow& aWindow,
    const std::function<bool(const std::string&, const std::string&)>& aIsLive)
    const;

  std::size_t RecordCount() const { return mRecords.size(); }
  std::size_t OpenCount() const { return mOpen.size(); }
  /** Records and begin records that left because of the bound on their number.
   */
  std::uint64_t Dropped() const { return mDropped; }

private:
  /** Daemon and incarnation. */
  using Origin = std::pair<std::string, std::string>;
  /** 128-bit hash of a request id; takes less memory than its text. */
  using RequestKey = std::pair<std::uint64_t, std::uint64_t>;
  struct RequestKeyHash
  {
    std::size_t operator()(const RequestKey& aKey) const
    {
      return static_cast<std::size_t>(aKey.first);
    }
  };
  struct Entry
  {
    /** PackOutcome of the record. */
    std::string mPacked;
    /** A key of mOrigins, which lasts at least as long as the record. */
    const Origin* mOrigin = nullptr;
    bool mIsLost = false;
  };
  struct OpenRequest
  {
    BeginRecord mBegin;
    Instant mStored;
  };
  struct OriginState
  {
    OutcomeAggregate mAggregate;
    bool mIsDead = false;
    Instant mLastChange;
  };
  using Arrival = std::pair<Instant, RequestKey>;

  static RequestKey KeyOfRequest(const std::string& aRequestId);
  void Store(const Origin& aOrigin, const OutcomeRecord& aRecord);
  void StoreBegin(const Origin& aOrigin, const BeginRecord& aRecord);
  void TrimQueue(std::deque<Arrival>& aQueue, Instant aLimit);
  void TrimOpen(Instant aLimit);
  void TrimOrigins(Instant aLimit);
  void EnforceCount();
  /** Replaces a record that says "lost" by the true one. */
  void Correct(Entry& aEntry,
               const Origin& aOrigin,
               const OutcomeRecord& aRecord);
  /** The entry of aOrigin in mOrigins, marked as changed now. */
  std::pair<const Origin, OriginState>& StateOf(const Origin& aOrigin);

  Origin mSelf;
  OutcomeLimits mLimits;
  const Clock& mClock;
  std::unordered_map<RequestKey, Entry, RequestKeyHash> mRecords;
  /** Records in the order of their arrival, served ones apart. */
  std::deque<Arrival> mServedArrivals;
  std::deque<Arrival> mOtherArrivals;
  std::unordered_map<RequestKey, OpenRequest, RequestKeyHash> mOpen;
  std::deque<Arrival> mOpenArrivals;
  std::map<Origin, OriginState> mOrigins;
  std::deque<RequestKey> mUnsentBegins;
  std::deque<OutcomeRecord> mUnsentEnds;
  std::uint64_t mDropped = 0;
};

} // namespace bulrushfold

#endif
