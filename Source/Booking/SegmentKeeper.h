#ifndef BULRUSHFOLD_BOOKING_SEGMENTKEEPER_H
#define BULRUSHFOLD_BOOKING_SEGMENTKEEPER_H

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
 * Store calls for one shard's segments. A segment is stored before a head
 * refers to it, and deleted only after a committed head lists it as garbage,
 * so an interruption at any step leaves every record readable.
 */
class SegmentKeeper
{
public:
  SegmentKeeper(std::uint64_t aShard,
                const Clock& aClock,
                StoreOperation& aLastOperation,
                BookingTable& aTable);

  /** Forgets all calls in progress. */
  void Reset();
  /** Starts to store a segment when the head is too large. */
  void MaybeSeal(std::int64_t aEpoch,
                 std::int64_t aCommitted,
                 BookingActions& aActions);
  /** Whether a stored segment waits to be referred to. */
  bool HasStored() const { return mStored; }
  /** Makes the table refer to the stored segment. */
  void ApplyStored();
  /** Deletes the garbage that the last committed head lists. */
  void DeleteGarbage(BookingActions& aActions);
  /** Reads aRef, unless a read is in progress. */
  void Read(const wire::BookingSegmentRef& aRef, BookingActions& aActions);

  /** Whether aOperation is the read of a segment. */
  bool IsReading(StoreOperation aOperation) const;
  /** Takes the answer of a segment read. True when the table knows the segment
   * now; aKeys are the keys that wait for their record. */
  bool OnSegmentRead(const absl::StatusOr<StoredObject>& aAnswer,
                     const std::vector<std::string>& aKeys);
  /** Takes the read-back of a segment write. */
  void OnReadBack(StoreOperation aOperation,
                  const absl::StatusOr<StoredObject>& aAnswer);
  void OnWritten(StoreOperation aOperation,
                 const absl::StatusOr<std::uint64_t>& aAnswer,
                 BookingActions& aActions);
  void OnDeleted(StoreOperation aOperation, const absl::Status& aAnswer);
  void OnTimer(BookingActions& aActions);

  std::uint64_t Writes() const { return mWriter.Writes(); }
  std::uint64_t Reads() const { return mReads; }

private:
  /** A segment that is being read. */
  struct ReadInProgress
  {
    wire::BookingSegmentRef mRef;
    /** 0 while waiting to repeat the call. */
    StoreOperation mOperation = 0;
    Instant mRetryAt;
  };

  void SendRead(BookingActions& aActions);
  void TakeResult(WriteResult aResult);

  std::uint64_t mShard;
  const Clock& mClock;
  StoreOperation& mLastOperation;
  BookingTable& mTable;
  ConditionalWriter mWriter;
  std::optional<SealPlan> mPlan;
  bool mStored = false;
  std::optional<ReadInProgress> mRead;
  std::map<StoreOperation, wire::BookingSegmentRef> mDeletes;
  std::uint64_t mReads = 0;
};

} // namespace bulrushfold

#endif
