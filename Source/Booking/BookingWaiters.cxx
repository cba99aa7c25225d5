#include "Booking/BookingWaiters.h"

#include <iterator>

namespace bulrushfold {

namespace {

/** Moves the entries whose deadline has come from aFrom to aTo. */
template<typename Waiter>
void
MoveExpired(std::vector<Waiter>& aFrom, std::vector<Waiter>& aTo, Instant aNow)
{
  std::vector<Waiter> left;
  for (auto& it : aFrom) {
    (it.mDeadline <= aNow ? aTo : left).push_back(std::move(it));
  }
  aFrom = std::move(left);
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
  ++mBegins;
}

void
BookingWaiters::Add(WaitingResult aResult)
{
  const std::string key = aResult.mResult.key;
  mDeadlines.emplace(aResult.mDeadline, key);
  mByKey[key].mResults.push_back(std::move(aResult));
  ++mResults;
}

KeyWaiters
BookingWaiters::Take(const std::string& aKey)
{
  auto node = mByKey.extract(aKey);
  if (node.empty()) {
    return {};
  }
  mBegins -= node.mapped().mBegins.size();
  mResults -= node.mapped().mResults.size();
  return std::move(node.mapped());
}

void
BookingWaiters::Return(const std::string& aKey, KeyWaiters aWaiters)
{
  if (aWaiters.IsEmpty()) {
    return;
  }
  mBegins += aWaiters.mBegins.size();
  mResults += aWaiters.mResults.size();
  mByKey[aKey] = std::move(aWaiters);
}

KeyWaiters
BookingWaiters::TakeExpired(Instant aNow)
{
  KeyWaiters expired;
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const std::string key = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    KeyWaiters waiters = Take(key);
    MoveExpired(waiters.mBegins, expired.mBegins, aNow);
    MoveExpired(waiters.mResults, expired.mResults, aNow);
    Return(key, std::move(waiters));
  }
  return expired;
}

KeyWaiters
BookingWaiters::TakeAll()
{
  KeyWaiters all;
  for (auto& [key, waiters] : mByKey) {
    MoveAll(waiters.mBegins, all.mBegins);
    MoveAll(waiters.mResults, all.mResults);
  }
  mByKey.clear();
  mDeadlines.clear();
  mBegins = 0;
  mResults = 0;
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
