#ifndef BULRUSHFOLD_BOOKING_BOOKINGTABLE_H
#define BULRUSHFOLD_BOOKING_BOOKINGTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Booking/BookingRecord.h"

namespace bulrushfold {

/** A record of the head object and the batch that last changed it. */
struct HeadRecord
{
  wire::BookingRecord mRecord;
  /** Durable once this batch is committed. */
  std::int64_t mBatch = 0;
};

/** Location of a key's newest record. */
struct BookingLookup
{
  enum class Location
  {
    /** There is no record. The key was never used, or its record was trimmed.
     */
    Absent,
    Head,
    /** The record is in mSegment, or may be: the segment must be read first. */
    Segment,
  };
  Location mLocation = Location::Absent;
  HeadRecord* mHeadRecord = nullptr;
  wire::BookingSegmentRef mSegment;
};

/** Records selected for a new segment. */
struct SealPlan
{
  wire::BookingSegmentRef mRef;
  wire::BookingSegment mContent;
  /** Key and batch of the records that move from the head to the segment. */
  std::vector<std::pair<std::string, std::int64_t>> mMovedRecords;
  /** Earlier segment that the new one replaces, because it contains all its
   * records. */
  std::optional<wire::BookingSegmentRef> mReplaced;
};

/** Sizes at which records move from the head to segments. */
struct BookingTableLimits
{
  /** Size of the head's records above which the oldest ones are sealed, in
   * bytes before base64. */
  std::size_t mMaxHeadBytes = 64 * 1024;
  /** Size up to which the newest segment is extended, in bytes before base64.
   */
  std::size_t mMaxSegmentBytes = 600 * 1024;
};

/**
 * In-memory copy of one shard: the head's records, the list of segments, and
 * the key hashes of each segment that was written or read since this daemon
 * became the owner.
 */
class BookingTable
{
public:
  explicit BookingTable(BookingTableLimits aLimits);

  /** Replaces the content by that of a stored head. */
  void Load(const wire::BookingHead& aHead);
  /** Makes the content of the head object for aBatch. */
  wire::BookingHead MakeHead(const std::string& aWriter,
                             std::int64_t aEpoch,
                             std::int64_t aBatch) const;

  BookingLookup Find(const std::string& aKey);
  /** Puts aRecord into the head, as changed in aBatch. */
  void Put(const wire::BookingRecord& aRecord, std::int64_t aBatch);
  /** Size of the records in the head, in bytes. */
  std::size_t HeadBytes() const { return mHeadBytes; }
  std::size_t HeadRecordCount() const { return mHeadRecords.size(); }
  std::size_t SegmentCount() const { return mSegments.size(); }
  KeyTime TrimmedBefore() const { return mTrimmedBefore; }

  /**
   * Selects records for a new segment when the head is too large: the oldest
   * ones by key time whose batch is at most aCommitted. Empty when there is
   * nothing to seal.
   */
  std::optional<SealPlan> PlanSeal(std::int64_t aEpoch,
                                   std::int64_t aCommitted) const;
  /** Adds a stored segment to the list and removes its records from the head.
   * The change is part of the next batch. */
  void ApplySeal(const SealPlan& aPlan);
  /** Indexes the keys of a segment that was read, and copies the records of
   * aKeys back into the head if this segment has the newest record of the key.
   */
  void RestoreRecords(const wire::BookingSegmentRef& aRef,
                      const wire::BookingSegment& aContent,
                      const std::vector<std::string>& aKeys);
  /** Raises the trim mark to aBefore, and removes records and segments whose
   * keys are older. */
  void Trim(KeyTime aBefore);

  const std::vector<wire::BookingSegmentRef>& Garbage() const
  {
    return mGarbage;
  }
  void AddGarbage(const wire::BookingSegmentRef& aRef);
  /** Removes aRef from the garbage list after its deletion in the store. */
  void RemoveGarbage(const wire::BookingSegmentRef& aRef);
  std::int64_t NextSegment() const { return mNextSegment; }

private:
  /** A segment, with the sorted hashes of its keys if it was written or read.
   */
  struct SegmentEntry
  {
    wire::BookingSegmentRef mRef;
    std::optional<std::vector<std::uint64_t>> mHashes;
  };

  const SegmentEntry* FindSegment(const std::string& aKey) const;
  static std::vector<std::uint64_t> HashKeys(
    const wire::BookingSegment& aContent);
  void SelectOldest(SealPlan& aPlan, std::int64_t aCommitted) const;
  void RemoveSegment(const wire::BookingSegmentRef& aRef);

  BookingTableLimits mLimits;
  std::map<std::string, HeadRecord> mHeadRecords;
  std::size_t mHeadBytes = 0;
  std::vector<SegmentEntry> mSegments;
  /** Content of the newest segment, if this owner wrote it. */
  std::optional<wire::BookingSegment> mNewestSegmentContent;
  std::vector<wire::BookingSegmentRef> mGarbage;
  KeyTime mTrimmedBefore = 0;
  std::int64_t mNextSegment = 1;
};

/** Whether two references name the same segment object. */
bool IsSameSegment(const wire::BookingSegmentRef& aOne,
                   const wire::BookingSegmentRef& aOther);

} // namespace bulrushfold

#endif
