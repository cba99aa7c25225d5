#ifndef BULRUSHFOLD_BOOKING_SEGMENTMANAGER_H
#define BULRUSHFOLD_BOOKING_SEGMENTMANAGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Booking/BookingActions.h"
#include "Booking/BookingTable.h"
#include "Booking/ConditionalWriter.h"

namespace bulrushfold {

/**
 * Reads, writes and deletes the segment objects of one shard. A segment is
 * stored before a head refers to it, and deleted only after a committed head
 * lists it as garbage. An interruption at any step leaves every record
 * readable.
 */
class SegmentManager
{
public:
  SegmentManager(std::uint64_t aShard,
                 const Clock& aClock,
                 StoreOperation& aLastOperation,
                 BookingTable& aTable);

  /** Stops tracking all calls in progress. */
  void Reset();
  /** Starts to store a new segment if the head is too large. */
  void StartSealIfNeeded(std::int64_t aEpoch,
                         std::int64_t aCommitted,
                         BookingActions& aActions);
  /** Whether a segment is stored that no head refers to yet. */
  bool HasStoredSegment() const { return mIsStored; }
  /** Adds the stored segment, if any, to the table. */
  void ApplyStoredSegment();
  /** Deletes the garbage that the last committed head lists. */
  void DeleteGarbage(BookingActions& aActions);
  /** Starts to read aRef, unless another read is in progress. */
  void Read(const wire::BookingSegmentRef& aRef, BookingActions& aActions);

  /** Whether aOperation is the segment read in progress. */
  bool IsReading(StoreOperation aOperation) const;
  /** Handles the reply to a segment read. aKeys are the keys of the messages
   * that wait for their record. Returns true when these messages can be
   * evaluated again, false when the read is retried. */
  bool OnSegmentRead(const absl::StatusOr<StoredObject>& aReply,
                     const std::vector<std::string>& aKeys);
  /** Handles the reply to reading a segment back after a write. */
  void OnReadBack(StoreOperation aOperation,
                  const absl::StatusOr<StoredObject>& aReply);
  void OnWritten(StoreOperation aOperation,
                 const absl::StatusOr<std::uint64_t>& aReply,
                 BookingActions& aActions);
  void OnDeleted(StoreOperation aOperation, const absl::Status& aReply);
  void OnTimer(BookingActions& aActions);

  std::uint64_t WriteCount() const { return mWriter.WriteCount(); }
  std::uint64_t ReadCount() const { return mReadCount; }

private:
  /** A segment that is being read. */
  struct ReadInProgress
  {
    wire::BookingSegmentRef mRef;
    /** 0 while waiting to retry the call. */
    StoreOperation mOperation = 0;
    Instant mRetryAt;
  };

  void SendRead(BookingActions& aActions);
  void OnWriteResult(WriteResult aResult);

  std::uint64_t mShard;
  const Clock& mClock;
  StoreOperation& mLastOperation;
  BookingTable& mTable;
  ConditionalWriter mWriter;
  std::optional<SealPlan> mPlan;
  bool mIsStored = false;
  std::optional<ReadInProgress> mReadInProgress;
  std::map<StoreOperation, wire::BookingSegmentRef> mPendingDeletes;
  std::uint64_t mReadCount = 0;
};

} // namespace bulrushfold

#endif
