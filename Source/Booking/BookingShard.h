#ifndef BULRUSHFOLD_BOOKING_BOOKINGSHARD_H
#define BULRUSHFOLD_BOOKING_BOOKINGSHARD_H

#include <cstdint>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Booking/BookingActions.h"
#include "Booking/BookingLedger.h"
#include "Booking/BookingTable.h"
#include "Booking/ConditionalWriter.h"
#include "Booking/SegmentManager.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Configuration of one BookingShard. */
struct BookingShardOptions
{
  std::uint64_t mShard = 0;
  /** DAEMON/INCARNATION; differs after each restart of a daemon. */
  std::string mWriter;
  BookingSettings mBookings;
  /** If more time passes between two events, the process was paused. */
  Duration mClockGapLimit = std::chrono::seconds(2);
  BookingTableLimits mTableLimits;
};

/** Progress of this daemon towards ownership of the shard. */
enum class ShardPhase
{
  NotOwner,
  /** Reading the head object. */
  Loading,
  /** Writing the head with the next epoch. */
  Claiming,
  Owner,
};

/** Counters since the start of the process. */
struct BookingShardCounters
{
  std::uint64_t mCommits = 0;
  std::uint64_t mIntents = 0;
  std::uint64_t mPermits = 0;
  std::uint64_t mResults = 0;
  std::uint64_t mHeadWrites = 0;
  /** Sum of the sizes of all head bodies, without retries of writes. */
  std::uint64_t mHeadBytes = 0;
  std::uint64_t mSegmentWrites = 0;
  std::uint64_t mSegmentReads = 0;
  std::uint64_t mStepDowns = 0;
};

/**
 * State machine of a shard owner for the records of non-idempotent calls.
 *
 * Every event method returns actions, which the daemon executes in order. The
 * daemon delivers these events:
 * - Acquire, when the membership view names this daemon as the shard's owner,
 *   and again each time that its membership timer runs while Phase() is
 *   NotOwner (a write conflict or a clock gap ends ownership);
 * - Resign, when the view names another daemon, and at the start of a graceful
 *   shutdown;
 * - Begin and Result, for each BOOKING_BEGIN and BOOKING_RESULT message of a
 *   peer or of the daemon's own BookingRegistry;
 * - OnRead, OnWritten and OnDeleted, exactly once for each store action, with
 *   the unchanged status of ObjectStore. A call without a reply must end with
 *   Unknown after a timeout;
 * - OnTimer, in every iteration of the event loop and at least once in every
 *   commit interval.
 *
 * Every Begin and every Result receives exactly one reply.
 */
class BookingShard
{
public:
  BookingShard(BookingShardOptions aOptions, const Clock& aClock);

  BookingActions Acquire();
  BookingActions Resign();
  /** aBegin.remainingMs counts from now. */
  BookingActions Begin(ReplyToken aToken, const wire::BookingBegin& aBegin);
  BookingActions Result(ReplyToken aToken, const wire::BookingResult& aResult);
  BookingActions OnRead(StoreOperation aOperation,
                        const absl::StatusOr<StoredObject>& aReply);
  BookingActions OnWritten(StoreOperation aOperation,
                           const absl::StatusOr<std::uint64_t>& aReply);
  BookingActions OnDeleted(StoreOperation aOperation,
                           const absl::Status& aReply);
  BookingActions OnTimer();

  ShardPhase Phase() const { return mPhase; }
  std::int64_t Epoch() const { return mEpoch; }
  const BookingShardCounters& Counters() const { return mCounters; }
  const BookingTable& Table() const { return mTable; }
  /** Number of BOOKING_BEGIN messages that wait for a reply. */
  std::size_t WaitingCount() const { return mLedger.BeginCount(); }

private:
  BookingActions CollectActions();
  void CheckClockGap();
  void StepDown();
  void SendHeadRead();
  void OnHeadRead(const absl::StatusOr<StoredObject>& aReply);
  void Claim(const wire::BookingHead& aHead);
  void WriteHead(std::optional<std::uint64_t> aExpected);
  void OnHeadResult(WriteResult aResult);
  void OnCommitted();
  void StartCommit();
  bool IsCommitDue() const;
  void AdvanceTrimMark();

  /** Copies aResult, without the answer's body if it is over the limit. */
  wire::BookingResult WithoutOversizedAnswer(
    const wire::BookingResult& aResult) const;
  void RefuseQueueFull(ReplyToken aToken, const std::string& aKey);
  void ReadNeededSegment();
  void Reply(ReplyToken aToken,
             wire::BookingVerdict::type aVerdict,
             const std::string& aReason);
  void ReplyResult(ReplyToken aToken,
                   wire::BookingResultVerdict::type aVerdict);

  BookingShardOptions mOptions;
  const Clock& mClock;
  BookingActions mActions;
  StoreOperation mLastOperation = 0;
  ShardPhase mPhase = ShardPhase::NotOwner;
  Instant mLastEventAt;

  StoreOperation mHeadReadOperation = 0;
  Instant mHeadReadRetryAt;
  ConditionalWriter mHeadWriter;
  std::uint64_t mVersion = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mBatch = 0;
  std::int64_t mCommittedBatch = 0;
  Instant mNextCommitAt;

  BookingTable mTable;
  BookingLedger mLedger;
  SegmentManager mSegmentManager;
  BookingShardCounters mCounters;
};

} // namespace bulrushfold

#endif
