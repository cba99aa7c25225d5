#include "Booking/BookingTable.h"

#include <algorithm>
#include <limits>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {

KeyTime
TimeOf(const std::string& aKey)
{
  return RecordKeyTime(aKey).value_or(0);
}

void
SetRange(wire::BookingSegmentRef& aRef, const wire::BookingSegment& aContent)
{
  aRef.firstKeyTime = std::numeric_limits<KeyTime>::max();
  aRef.lastKeyTime = 0;
  for (const auto& it : aContent.records) {
    const KeyTime time = TimeOf(it.key);
    aRef.firstKeyTime = std::min(aRef.firstKeyTime, time);
    aRef.lastKeyTime = std::max(aRef.lastKeyTime, time);
  }
  aRef.records = static_cast<std::int32_t>(aContent.records.size());
}

std::size_t
ContentBytes(const wire::BookingSegment& aContent)
{
  std::size_t n = 0;
  for (const auto& it : aContent.records) {
    n += RecordBytes(it);
  }
  return n;
}

/** aOlder's records, except those that aNewer replaces, then aNewer's. */
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
SameSegment(const wire::BookingSegmentRef& aOne,
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
  head.records.reserve(mSlots.size());
  for (const auto& [key, slot] : mSlots) {
    head.records.push_back(slot.mRecord);
  }
  for (const auto& it : mSegments) {
    head.segments.push_back(it.mRef);
  }
  head.nextSegment = mNextSegment;
  head.garbage = mGarbage;
  return head;
}

const BookingTable::KnownSegment*
BookingTable::FindSegment(const std::string& aKey) const
{
  const KeyTime time = TimeOf(aKey);
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
  if (const auto it = mSlots.find(aKey); it != mSlots.end()) {
    lookup.mPlace = BookingLookup::Place::Head;
    lookup.mSlot = &it->second;
  } else if (const auto* segment = FindSegment(aKey)) {
    lookup.mPlace = BookingLookup::Place::Segment;
    lookup.mSegment = segment->mRef;
  }
  return lookup;
}

void
BookingTable::Put(const wire::BookingRecord& aRecord, std::int64_t aBatch)
{
  BookingSlot& slot = mSlots[aRecord.key];
  if (!slot.mRecord.key.empty()) {
    mBytes -= RecordBytes(slot.mRecord);
  }
  mBytes += RecordBytes(aRecord);
  slot.mRecord = aRecord;
  slot.mBatch = aBatch;
}

void
BookingTable::TakeOldest(SealPlan& aPlan, std::int64_t aCommitted) const
{
  std::vector<std::pair<KeyTime, const BookingSlot*>> durable;
  for (const auto& [key, slot] : mSlots) {
    if (slot.mBatch <= aCommitted) {
      durable.emplace_back(TimeOf(key), &slot);
    }
  }
  std::sort(durable.begin(), durable.end());
  std::size_t left = mBytes;
  std::size_t taken = 0;
  for (const auto& [time, slot] : durable) {
    const std::size_t n = RecordBytes(slot->mRecord);
    const bool full = taken > 0 && taken + n > mLimits.mSegmentBytes;
    if (left <= mLimits.mHeadBytes / 2 || full) {
      break;
    }
    aPlan.mContent.records.push_back(slot->mRecord);
    aPlan.mMoved.emplace_back(slot->mRecord.key, slot->mBatch);
    left -= n;
    taken += n;
  }
}

std::optional<SealPlan>
BookingTable::PlanSeal(std::int64_t aEpoch, std::int64_t aCommitted) const
{
  if (mBytes <= mLimits.mHeadBytes) {
    return std::nullopt;
  }
  SealPlan plan;
  TakeOldest(plan, aCommitted);
  if (plan.mMoved.empty()) {
    return std::nullopt;
  }
  if (mNewestContent &&
      ContentBytes(*mNewestContent) + ContentBytes(plan.mContent) <=
        mLimits.mSegmentBytes) {
    plan.mContent = Merge(*mNewestContent, plan.mContent);
    plan.mReplaced = mSegments.back().mRef;
  }
  plan.mRef.epoch = aEpoch;
  plan.mRef.number = mNextSegment;
  SetRange(plan.mRef, plan.mContent);
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
  for (const auto& [key, batch] : aPlan.mMoved) {
    const auto it = mSlots.find(key);
    // A record that changed since stays in the head and replaces the sealed
    // one.
    if (it != mSlots.end() && it->second.mBatch == batch) {
      mBytes -= RecordBytes(it->second.mRecord);
      mSlots.erase(it);
    }
  }
  if (aPlan.mReplaced) {
    DropSegment(*aPlan.mReplaced);
  }
  mSegments.push_back({ aPlan.mRef, HashKeys(aPlan.mContent) });
  mNewestContent = aPlan.mContent;
  mNextSegment = aPlan.mRef.number + 1;
}

void
BookingTable::DropSegment(const wire::BookingSegmentRef& aRef)
{
  const auto it = std::find_if(
    mSegments.begin(), mSegments.end(), [&aRef](const KnownSegment& aKnown) {
      return SameSegment(aKnown.mRef, aRef);
    });
  if (it == mSegments.end()) {
    return;
  }
  if (std::next(it) == mSegments.end()) {
    mNewestContent.reset();
  }
  mSegments.erase(it);
  AddGarbage(aRef);
}

void
BookingTable::Recall(const wire::BookingSegmentRef& aRef,
                     const wire::BookingSegment& aContent,
                     const std::vector<std::string>& aKeys)
{
  std::vector<std::string> wanted;
  for (const auto& key : aKeys) {
    const auto lookup = Find(key);
    if (lookup.mPlace == BookingLookup::Place::Segment &&
        SameSegment(lookup.mSegment, aRef)) {
      wanted.push_back(key);
    }
  }
  for (auto& it : mSegments) {
    if (SameSegment(it.mRef, aRef)) {
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
  for (auto it = mSlots.begin(); it != mSlots.end();) {
    if (TimeOf(it->first) < aBefore) {
      mBytes -= RecordBytes(it->second.mRecord);
      it = mSlots.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<wire::BookingSegmentRef> old;
  for (const auto& it : mSegments) {
    if (it.mRef.lastKeyTime < aBefore) {
      old.push_back(it.mRef);
    }
  }
  for (const auto& ref : old) {
    DropSegment(ref);
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
                                  return SameSegment(aRef, aOther);
                                }),
                 mGarbage.end());
}

} // namespace bulrushfold
