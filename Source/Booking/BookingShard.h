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
#include "Booking/SegmentKeeper.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** What one shard object of a daemon needs to know. */
struct BookingShardOptions
{
  std::uint64_t mShard = 0;
  /** DAEMON/INCARNATION; differs between two lifetimes of a daemon. */
  std::string mWriter;
  BookingSettings mBookings;
  /** A longer time between two events means that the daemon was paused. */
  Duration mClockGapLimit = std::chrono::seconds(2);
  BookingTableLimits mTable;
};

/** Whether this daemon writes the shard. */
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
  /** Sum of the sizes of all head bodies that were written first. */
  std::uint64_t mHeadBytes = 0;
  std::uint64_t mSegmentWrites = 0;
  std::uint64_t mSegmentReads = 0;
  std::uint64_t mStepDowns = 0;
};

/**
 * The shard owner's decisions about the records of non-idempotent calls.
 *
 * Every event method returns actions, which the daemon carries out in order.
 * The daemon delivers these events:
 * - Acquire, when the membership view names this daemon as the shard's owner,
 *   and again on each later turn of its membership timer while Phase() is
 *   NotOwner (a conflict or a clock gap ends ownership);
 * - Resign, when the view names another daemon, and at the start of a stop;
 * - Begin and Result, for each BOOKING_BEGIN and BOOKING_RESULT message of a
 *   peer or of the daemon's own BookingRegistry;
 * - OnRead, OnWritten and OnDeleted, exactly once for each store action, with
 *   the status of ObjectStore as it is. A call without an answer must end with
 *   Unknown after a bounded time;
 * - OnTimer, on every turn of the event loop and at least every commit
 *   interval.
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
                        const absl::StatusOr<StoredObject>& aAnswer);
  BookingActions OnWritten(StoreOperation aOperation,
                           const absl::StatusOr<std::uint64_t>& aAnswer);
  BookingActions OnDeleted(StoreOperation aOperation,
                           const absl::Status& aAnswer);
  BookingActions OnTimer();

  ShardPhase Phase() const { return mPhase; }
  std::int64_t Epoch() const { return mEpoch; }
  const BookingShardCounters& Counters() const { return mCounters; }
  const BookingTable& Table() const { return mTable; }
  /** Messages that wait for a reply. */
  std::size_t WaitingCount() const { return mLedger.Begins(); }

private:
  BookingActions TakeActions();
  void NoteTurn();
  void StepDown();
  void SendHeadRead();
  void OnHeadRead(const absl::StatusOr<StoredObject>& aAnswer);
  void Claim(const wire::BookingHead& aHead);
  void WriteHead(std::optional<std::uint64_t> aExpected);
  void OnHeadResult(WriteResult aResult);
  void OnCommitted();
  void StartCommit();
  bool WantsCommit() const;
  void AdvanceTrim();

  /** aResult without an answer that is too large to be recorded. */
  wire::BookingResult Bounded(const wire::BookingResult& aResult) const;
  void RefuseFull(ReplyToken aToken, const std::string& aKey);
  void ReadWantedSegment();
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
  Instant mLastTurn;

  StoreOperation mHeadRead = 0;
  Instant mHeadReadAt;
  ConditionalWriter mHeadWriter;
  std::uint64_t mVersion = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mBatch = 0;
  std::int64_t mCommittedBatch = 0;
  Instant mNextCommitAt;

  BookingTable mTable;
  BookingLedger mLedger;
  SegmentKeeper mSegments;
  BookingShardCounters mCounters;
};

} // namespace bulrushfold

#endif
