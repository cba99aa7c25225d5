#include "Routing/StreamOrigins.h"

#include <algorithm>
#include <iterator>

namespace bulrushfold {

namespace {
/** Time for which an origin is part of the messages to others. */
constexpr Duration kTellTime = std::chrono::milliseconds(1500);
/** A time that is later by less than this is not a change: messages state it
 * with the error of their delay. */
constexpr Duration kMinExtension = std::chrono::seconds(1);
constexpr Duration kMaxLifetime = std::chrono::minutes(2);
/** Maximum number of origins in one message. */
constexpr std::size_t kMaxTold = 1024;
/** Maximum length of the names in an origin, in bytes. */
constexpr std::size_t kMaxNameBytes = 256;
} // namespace

bool
StreamOrigins::Put(const StreamOrigin& aOrigin, Instant aNow)
{
  if (aOrigin.mUntil <= aNow ||
      aOrigin.mService.size() + aOrigin.mSoftware.size() > kMaxNameBytes) {
    return false;
  }
  const auto [it, isNew] = mEntries.try_emplace(aOrigin.mStream);
  Entry& entry = it->second;
  StreamOrigin origin = aOrigin;
  origin.mUntil = std::min(aOrigin.mUntil, aNow + kMaxLifetime);
  if (!isNew && entry.mOrigin.mHasBegun) {
    origin.mSoftware = entry.mOrigin.mSoftware;
    origin.mHasBegun = true;
  }
  if (!isNew && entry.mOrigin.mSoftware == origin.mSoftware &&
      entry.mOrigin.mHasBegun == origin.mHasBegun &&
      entry.mOrigin.mUntil + kMinExtension >= origin.mUntil) {
    return false;
  }
  entry.mOrigin = std::move(origin);
  entry.mKnownAt = aNow;
  mOrder.emplace_back(aOrigin.mStream, aNow);
  DropOldest(aNow);
  return true;
}

void
StreamOrigins::DropOldest(Instant aNow)
{
  while (!mOrder.empty()) {
    const auto [stream, knownAt] = mOrder.front();
    const auto it = mEntries.find(stream);
    const bool isCurrent =
      it != mEntries.end() && it->second.mKnownAt == knownAt;
    if (isCurrent && it->second.mOrigin.mUntil > aNow &&
        mEntries.size() <= kMaxOrigins) {
      return;
    }
    if (isCurrent) {
      mEntries.erase(it);
    }
    mOrder.pop_front();
  }
}

void
StreamOrigins::OnBegun(const StreamOrigin& aOrigin, bool aIsTold, Instant aNow)
{
  const bool isChanged = Put(aOrigin, aNow);
  const auto it = mEntries.find(aOrigin.mStream);
  if (it == mEntries.end()) {
    return;
  }
  it->second.mIsOwn = true;
  if (!isChanged) {
    return;
  }
  mOnChange.emit();
  if (!aIsTold) {
    if (mTelling.size() >= kMaxTold) {
      ForgetTold(aNow);
    }
    mTelling[aOrigin.mStream] = aNow + kTellTime;
    mOnUntold.emit();
  }
}

void
StreamOrigins::Merge(const std::vector<StreamOrigin>& aOrigins, Instant aNow)
{
  bool isChanged = false;
  for (const auto& it : aOrigins) {
    isChanged = Put(it, aNow) || isChanged;
  }
  if (isChanged) {
    mOnChange.emit();
  }
}

const StreamOrigin*
StreamOrigins::Find(std::uint64_t aStream, Instant aNow) const
{
  const auto it = mEntries.find(aStream);
  return it == mEntries.end() || it->second.mOrigin.mUntil <= aNow
           ? nullptr
           : &it->second.mOrigin;
}

void
StreamOrigins::ForgetTold(Instant aNow)
{
  for (auto it = mTelling.begin(); it != mTelling.end();) {
    const bool isTold = it->second <= aNow || Find(it->first, aNow) == nullptr;
    it = isTold ? mTelling.erase(it) : std::next(it);
  }
}

std::vector<StreamOrigin>
StreamOrigins::Untold(Instant aNow)
{
  ForgetTold(aNow);
  std::vector<StreamOrigin> origins;
  for (auto it = mTelling.begin();
       it != mTelling.end() && origins.size() < kMaxTold;
       ++it) {
    origins.push_back(*Find(it->first, aNow));
  }
  return origins;
}

void
StreamOrigins::TellAgain(Instant aNow)
{
  for (const auto& [stream, entry] : mEntries) {
    if (entry.mIsOwn) {
      mTelling[stream] = aNow + kTellTime;
    }
  }
}

std::vector<StreamOrigin>
StreamOrigins::KnownSince(Instant aSince, Instant aNow) const
{
  std::vector<StreamOrigin> origins;
  for (auto it = mOrder.rbegin(); it != mOrder.rend(); ++it) {
    if (it->second < aSince) {
      break;
    }
    const auto found = mEntries.find(it->first);
    if (found != mEntries.end() && found->second.mKnownAt == it->second &&
        found->second.mOrigin.mUntil > aNow) {
      origins.push_back(found->second.mOrigin);
    }
  }
  return origins;
}

} // namespace bulrushfold
