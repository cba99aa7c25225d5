#include "Booking/BookingTable.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {

KeyTime
KeyTimeOrZero(const std::string& aKey)
{
  return RecordKeyTime(aKey).value_or(0);
}

void
SetKeyTimeRange(wire::BookingSegmentRef& aRef,
                const wire::BookingSegment& aContent)
{
  aRef.firstKeyTime = std::numeric_limits<KeyTime>::max();
  aRef.lastKeyTime = 0;
  for (const auto& it : aContent.records) {
    const KeyTime time = KeyTimeOrZero(it.key);
    aRef.firstKeyTime = std::min(aRef.firstKeyTime, time);
    aRef.lastKeyTime = std::max(aRef.lastKeyTime, time);
  }
  aRef.records = static_cast<std::int32_t>(aContent.records.size());
}

std::size_t
ContentBytes(const wire::BookingSegment& aContent)
{
  std::size_t bytes = 0;
  for (const auto& it : aContent.records) {
    bytes += RecordBytes(it);
  }
  return bytes;
}

/** All records of both segments; aNewer's replace those of the same key. */
wire::BookingSegment
Merge(const wire::BookingSegment& aOlder, const wire::BookingSegment& aNewer)
{
  std::map<std::string, wire::BookingRecord> records;
  for (const auto& it : aOlder.records) {
    records[it.key] = it;
  }
  for (const auto& it : aNewer.records) {
    records[it.key] = it;
  }
  wire::BookingSegment merged;
  for (const auto& [key, record] : records) {
    merged.records.push_back(record);
  }
  return merged;
}

} // namespace

bool
IsSameSegment(const wire::BookingSegmentRef& aOne,
              const wire::BookingSegmentRef& aOther)
{
  return aOne.epoch == aOther.epoch && aOne.number == aOther.number;
}

BookingTable::BookingTable(BookingTableLimits aLimits)
  : mLimits(aLimits)
{
}

void
BookingTable::Load(const wire::BookingHead& aHead)
{
  *this = BookingTable(mLimits);
  for (const auto& it : aHead.records) {
    Put(it, 0);
  }
  for (const auto& it : aHead.segments) {
    mSegments.push_back({ it, std::nullopt });
  }
  mGarbage = aHead.garbage;
  mTrimmedBefore = aHead.trimmedBefore;
  mNextSegment = aHead.nextSegment;
}

wire::BookingHead
BookingTable::MakeHead(const std::string& aWriter,
                       std::int64_t aEpoch,
                       std::int64_t aBatch) const
{
  wire::BookingHead head;
  head.writer = aWriter;
  head.epoch = aEpoch;
  head.batch = aBatch;
  head.trimmedBefore = mTrimmedBefore;
  head.records.reserve(mHeadRecords.size());
  for (const auto& [key, headRecord] : mHeadRecords) {
    head.records.push_back(headRecord.mRecord);
  }
  for (const auto& it : mSegments) {
    head.segments.push_back(it.mRef);
  }
  head.nextSegment = mNextSegment;
  head.garbage = mGarbage;
  return head;
}

const BookingTable::SegmentEntry*
BookingTable::FindSegment(const std::string& aKey) const
{
  const KeyTime time = KeyTimeOrZero(aKey);
  const std::uint64_t hash = Hash64(aKey);
  for (auto it = mSegments.rbegin(); it != mSegments.rend(); ++it) {
    if (time < it->mRef.firstKeyTime || time > it->mRef.lastKeyTime) {
      continue;
    }
    if (!it->mHashes ||
        std::binary_search(it->mHashes->begin(), it->mHashes->end(), hash)) {
      return &*it;
    }
  }
  return nullptr;
}

BookingLookup
BookingTable::Find(const std::string& aKey)
{
  BookingLookup lookup;
  if (const auto it = mHeadRecords.find(aKey); it != mHeadRecords.end()) {
    lookup.mLocation = BookingLookup::Location::Head;
    lookup.mHeadRecord = &it->second;
  } else if (const auto* segment = FindSegment(aKey)) {
    lookup.mLocation = BookingLookup::Location::Segment;
    lookup.mSegment = segment->mRef;
  }
  return lookup;
}

void
BookingTable::Put(const wire::BookingRecord& aRecord, std::int64_t aBatch)
{
  HeadRecord& headRecord = mHeadRecords[aRecord.key];
  if (!headRecord.mRecord.key.empty()) {
    mHeadBytes -= RecordBytes(headRecord.mRecord);
  }
  mHeadBytes += RecordBytes(aRecord);
  headRecord.mRecord = aRecord;
  headRecord.mBatch = aBatch;
}

void
BookingTable::SelectOldest(SealPlan& aPlan, std::int64_t aCommitted) const
{
  std::vector<std::pair<KeyTime, const HeadRecord*>> durable;
  for (const auto& [key, headRecord] : mHeadRecords) {
    if (headRecord.mBatch <= aCommitted) {
      durable.emplace_back(KeyTimeOrZero(key), &headRecord);
    }
  }
  // Records of the same millisecond are sorted by key, so that equal tables
  // select equal records.
  std::sort(
    durable.begin(), durable.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.first, aLeft.second->mRecord.key) <
             std::tie(aRight.first, aRight.second->mRecord.key);
    });
  std::size_t remainingBytes = mHeadBytes;
  std::size_t selectedBytes = 0;
  for (const auto& [time, headRecord] : durable) {
    const std::size_t bytes = RecordBytes(headRecord->mRecord);
    const bool full =
      selectedBytes > 0 && selectedBytes + bytes > mLimits.mMaxSegmentBytes;
    if (remainingBytes <= mLimits.mMaxHeadBytes / 2 || full) {
      break;
    }
    aPlan.mContent.records.push_back(headRecord->mRecord);
    aPlan.mMovedRecords.emplace_back(headRecord->mRecord.key,
                                     headRecord->mBatch);
    remainingBytes -= bytes;
    selectedBytes += bytes;
  }
}

std::optional<SealPlan>
BookingTable::PlanSeal(std::int64_t aEpoch, std::int64_t aCommitted) const
{
  if (mHeadBytes <= mLimits.mMaxHeadBytes) {
    return std::nullopt;
  }
  SealPlan plan;
  SelectOldest(plan, aCommitted);
  if (plan.mMovedRecords.empty()) {
    return std::nullopt;
  }
  if (mNewestSegmentContent &&
      ContentBytes(*mNewestSegmentContent) + ContentBytes(plan.mContent) <=
        mLimits.mMaxSegmentBytes) {
    plan.mContent = Merge(*mNewestSegmentContent, plan.mContent);
    plan.mReplaced = mSegments.back().mRef;
  }
  plan.mRef.epoch = aEpoch;
  plan.mRef.number = mNextSegment;
  SetKeyTimeRange(plan.mRef, plan.mContent);
  return plan;
}

std::vector<std::uint64_t>
BookingTable::HashKeys(const wire::BookingSegment& aContent)
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aContent.records.size());
  for (const auto& it : aContent.records) {
    hashes.push_back(Hash64(it.key));
  }
  std::sort(hashes.begin(), hashes.end());
  return hashes;
}

void
BookingTable::ApplySeal(const SealPlan& aPlan)
{
  for (const auto& [key, batch] : aPlan.mMovedRecords) {
    const auto it = mHeadRecords.find(key);
    // A record that changed after the segment was planned stays in the head,
    // where it replaces the one in the segment.
    if (it != mHeadRecords.end() && it->second.mBatch == batch) {
      mHeadBytes -= RecordBytes(it->second.mRecord);
      mHeadRecords.erase(it);
    }
  }
  if (aPlan.mReplaced) {
    RemoveSegment(*aPlan.mReplaced);
  }
  mSegments.push_back({ aPlan.mRef, HashKeys(aPlan.mContent) });
  mNewestSegmentContent = aPlan.mContent;
  mNextSegment = aPlan.mRef.number + 1;
}

void
BookingTable::RemoveSegment(const wire::BookingSegmentRef& aRef)
{
  const auto it = std::find_if(
    mSegments.begin(), mSegments.end(), [&aRef](const SegmentEntry& aEntry) {
      return IsSameSegment(aEntry.mRef, aRef);
    });
  if (it == mSegments.end()) {
    return;
  }
  if (std::next(it) == mSegments.end()) {
    mNewestSegmentContent.reset();
  }
  mSegments.erase(it);
  AddGarbage(aRef);
}

void
BookingTable::RestoreRecords(const wire::BookingSegmentRef& aRef,
                             const wire::BookingSegment& aContent,
                             const std::vector<std::string>& aKeys)
{
  std::vector<std::string> wanted;
  for (const auto& key : aKeys) {
    const auto lookup = Find(key);
    if (lookup.mLocation == BookingLookup::Location::Segment &&
        IsSameSegment(lookup.mSegment, aRef)) {
      wanted.push_back(key);
    }
  }
  for (auto& it : mSegments) {
    if (IsSameSegment(it.mRef, aRef)) {
      it.mHashes = HashKeys(aContent);
    }
  }
  for (const auto& it : aContent.records) {
    if (std::find(wanted.begin(), wanted.end(), it.key) != wanted.end()) {
      Put(it, 0);
    }
  }
}

void
BookingTable::Trim(KeyTime aBefore)
{
  if (aBefore <= mTrimmedBefore) {
    return;
  }
  mTrimmedBefore = aBefore;
  for (auto it = mHeadRecords.begin(); it != mHeadRecords.end();) {
    if (KeyTimeOrZero(it->first) < aBefore) {
      mHeadBytes -= RecordBytes(it->second.mRecord);
      it = mHeadRecords.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<wire::BookingSegmentRef> expired;
  for (const auto& it : mSegments) {
    if (it.mRef.lastKeyTime < aBefore) {
      expired.push_back(it.mRef);
    }
  }
  for (const auto& ref : expired) {
    RemoveSegment(ref);
  }
}

void
BookingTable::AddGarbage(const wire::BookingSegmentRef& aRef)
{
  mGarbage.push_back(aRef);
}

void
BookingTable::RemoveGarbage(const wire::BookingSegmentRef& aRef)
{
  mGarbage.erase(std::remove_if(mGarbage.begin(),
                                mGarbage.end(),
                                [&aRef](const wire::BookingSegmentRef& aOther) {
                                  return IsSameSegment(aRef, aOther);
                                }),
                 mGarbage.end());
}

} // namespace bulrushfold
