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
struct BookingSlot
{
  wire::BookingRecord mRecord;
  /** Durable once this batch is committed. */
  std::int64_t mBatch = 0;
};

/** Where a key's newest record is. */
struct BookingLookup
{
  enum class Place
  {
    /** No record; the key was never used, unless it was trimmed. */
    Absent,
    Head,
    /** mSegment must be read first. */
    Segment,
  };
  Place mPlace = Place::Absent;
  BookingSlot* mSlot = nullptr;
  wire::BookingSegmentRef mSegment;
};

/** Records chosen for a new segment. */
struct SealPlan
{
  wire::BookingSegmentRef mRef;
  wire::BookingSegment mContent;
  /** Key and batch of the records that leave the head. */
  std::vector<std::pair<std::string, std::int64_t>> mMoved;
  /** Earlier segment whose records the new one contains as well. */
  std::optional<wire::BookingSegmentRef> mReplaced;
};

/** Sizes that decide when records leave the head. */
struct BookingTableLimits
{
  /** Seal when the records of the head exceed this, in bytes. */
  std::size_t mHeadBytes = 64 * 1024;
  /** Extend the newest segment up to this, in bytes before base64. */
  std::size_t mSegmentBytes = 600 * 1024;
};

/**
 * Memory copy of one shard: the head's records, the list of segments, and the
 * hashes of the keys in those segments that were written or read since this
 * daemon became owner.
 */
class BookingTable
{
public:
  explicit BookingTable(BookingTableLimits aLimits);

  /** Takes the content over from a stored head. */
  void Load(const wire::BookingHead& aHead);
  /** The head object's body for aBatch. */
  wire::BookingHead MakeHead(const std::string& aWriter,
                             std::int64_t aEpoch,
                             std::int64_t aBatch) const;

  BookingLookup Find(const std::string& aKey);
  /** Stores aRecord as changed in aBatch. */
  void Put(const wire::BookingRecord& aRecord, std::int64_t aBatch);
  /** Bytes of the records in the head. */
  std::size_t HeadBytes() const { return mBytes; }
  std::size_t HeadRecords() const { return mSlots.size(); }
  std::size_t Segments() const { return mSegments.size(); }
  KeyTime TrimmedBefore() const { return mTrimmedBefore; }

  /**
   * Records to seal when the head is too large: the oldest by key time whose
   * batch is at most aCommitted.
   */
  std::optional<SealPlan> PlanSeal(std::int64_t aEpoch,
                                   std::int64_t aCommitted) const;
  /** Refers to a segment that was stored; part of the next batch. */
  void ApplySeal(const SealPlan& aPlan);
  /** Takes in a segment that was read; brings aKeys back into the head when
   * this segment holds their newest record. */
  void Recall(const wire::BookingSegmentRef& aRef,
              const wire::BookingSegment& aContent,
              const std::vector<std::string>& aKeys);
  /** Removes what is older than aBefore and raises the trim mark. */
  void Trim(KeyTime aBefore);

  const std::vector<wire::BookingSegmentRef>& Garbage() const
  {
    return mGarbage;
  }
  void AddGarbage(const wire::BookingSegmentRef& aRef);
  /** aRef was deleted in the store. */
  void RemoveGarbage(const wire::BookingSegmentRef& aRef);
  std::int64_t NextSegment() const { return mNextSegment; }

private:
  /** A segment and, once known, the sorted hashes of its keys. */
  struct KnownSegment
  {
    wire::BookingSegmentRef mRef;
    std::optional<std::vector<std::uint64_t>> mHashes;
  };

  const KnownSegment* FindSegment(const std::string& aKey) const;
  static std::vector<std::uint64_t> HashKeys(
    const wire::BookingSegment& aContent);
  void TakeOldest(SealPlan& aPlan, std::int64_t aCommitted) const;
  void DropSegment(const wire::BookingSegmentRef& aRef);

  BookingTableLimits mLimits;
  std::map<std::string, BookingSlot> mSlots;
  std::size_t mBytes = 0;
  std::vector<KnownSegment> mSegments;
  /** Content of the newest segment when this owner wrote it. */
  std::optional<wire::BookingSegment> mNewestContent;
  std::vector<wire::BookingSegmentRef> mGarbage;
  KeyTime mTrimmedBefore = 0;
  std::int64_t mNextSegment = 1;
};

/** Whether two references name the same segment object. */
bool SameSegment(const wire::BookingSegmentRef& aOne,
                 const wire::BookingSegmentRef& aOther);

} // namespace bulrushfold

#endif
