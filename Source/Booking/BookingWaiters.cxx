#include "Booking/BookingWaiters.h"

#include <iterator>

namespace bulrushfold {

namespace {

/** Moves the entries whose deadline is at most aNow from aFrom to aTo. */
template<typename Waiter>
void
MoveExpired(std::vector<Waiter>& aFrom, std::vector<Waiter>& aTo, Instant aNow)
{
  std::vector<Waiter> remaining;
  for (auto& it : aFrom) {
    (it.mDeadline <= aNow ? aTo : remaining).push_back(std::move(it));
  }
  aFrom = std::move(remaining);
}

template<typename Waiter>
void
MoveAll(std::vector<Waiter>& aFrom, std::vector<Waiter>& aTo)
{
  std::move(aFrom.begin(), aFrom.end(), std::back_inserter(aTo));
  aFrom.clear();
}

} // namespace

void
BookingWaiters::Add(WaitingBegin aBegin)
{
  const std::string key = aBegin.mBegin.key;
  mDeadlines.emplace(aBegin.mDeadline, key);
  mByKey[key].mBegins.push_back(std::move(aBegin));
  ++mBeginCount;
}

void
BookingWaiters::Add(WaitingResult aResult)
{
  const std::string key = aResult.mResult.key;
  mDeadlines.emplace(aResult.mDeadline, key);
  mByKey[key].mResults.push_back(std::move(aResult));
  ++mResultCount;
}

KeyWaiters
BookingWaiters::Extract(const std::string& aKey)
{
  auto node = mByKey.extract(aKey);
  if (node.empty()) {
    return {};
  }
  mBeginCount -= node.mapped().mBegins.size();
  mResultCount -= node.mapped().mResults.size();
  return std::move(node.mapped());
}

void
BookingWaiters::Reinsert(const std::string& aKey, KeyWaiters aWaiters)
{
  if (aWaiters.IsEmpty()) {
    return;
  }
  mBeginCount += aWaiters.mBegins.size();
  mResultCount += aWaiters.mResults.size();
  mByKey[aKey] = std::move(aWaiters);
}

KeyWaiters
BookingWaiters::ExtractExpired(Instant aNow)
{
  KeyWaiters expired;
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const std::string key = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    KeyWaiters waiters = Extract(key);
    MoveExpired(waiters.mBegins, expired.mBegins, aNow);
    MoveExpired(waiters.mResults, expired.mResults, aNow);
    Reinsert(key, std::move(waiters));
  }
  return expired;
}

KeyWaiters
BookingWaiters::ExtractAll()
{
  KeyWaiters all;
  for (auto& [key, waiters] : mByKey) {
    MoveAll(waiters.mBegins, all.mBegins);
    MoveAll(waiters.mResults, all.mResults);
  }
  mByKey.clear();
  mDeadlines.clear();
  mBeginCount = 0;
  mResultCount = 0;
  return all;
}

std::vector<std::string>
BookingWaiters::Keys() const
{
  std::vector<std::string> keys;
  keys.reserve(mByKey.size());
  for (const auto& [key, waiters] : mByKey) {
    keys.push_back(key);
  }
  return keys;
}

} // namespace bulrushfold
