#include "Net/BodyMemory.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Copies of a body that may exist at the same time. */
constexpr std::size_t kCopies = 2;
/** A body of at most this size may use the whole account. */
constexpr std::size_t kSmallBodyBytes = 64 * 1024;
/** Part of the account that only small bodies may use: 1 / kSmallBodyDivisor.
 */
constexpr std::size_t kSmallBodyDivisor = 4;
/** Bytes by which a body must grow to count as making progress. */
constexpr std::size_t kProgressBytes = 4 * 1024;
/** Time without progress after which an incomplete body may be ended. */
constexpr Duration kStallTime = std::chrono::seconds(1);
/** Longest time for which a body waits for memory. */
constexpr Duration kMaxWait = std::chrono::seconds(2);
/** Each body that waits has a buffer of received bytes. */
constexpr std::size_t kMaxWaiting = 64;
} // namespace

BodyMemory::BodyMemory(std::size_t aLimit, std::function<void()> aOnChange)
  : mLimit(aLimit)
  , mOnChange(std::move(aOnChange))
{
}

BodyMemory::BodyId
BodyMemory::Add(DecisionHook aHook, Instant aNow)
{
  const BodyId id = mNextId++;
  Body& body = mBodies[id];
  body.mHook = std::move(aHook);
  body.mProgressAt = aNow;
  return id;
}

bool
BodyMemory::Fits(const Body& aBody, std::size_t aBytes) const
{
  const std::size_t others = mUsed - aBody.mBytes;
  const std::size_t smallPart = mLimit / kSmallBodyDivisor;
  const bool isSmall = aBytes <= kCopies * kSmallBodyBytes;
  return others + aBytes <= (isSmall ? mLimit : mLimit - smallPart) ||
         others <= smallPart;
}

void
BodyMemory::Charge(Body& aBody, std::size_t aBytes)
{
  mUsed = mUsed - aBody.mBytes + aBytes;
  aBody.mBytes = aBytes;
}

BodyVerdict
BodyMemory::Request(BodyId aBody, std::size_t aBytes, Instant aNow)
{
  Body& body = mBodies.at(aBody);
  const std::size_t bytes = kCopies * aBytes;
  if (bytes <= body.mBytes) {
    return BodyVerdict::Granted;
  }
  if (Fits(body, bytes)) {
    Charge(body, bytes);
    return BodyVerdict::Granted;
  }
  if (mWaiting.size() >= kMaxWaiting) {
    return BodyVerdict::Refused;
  }
  body.mWanted = bytes;
  body.mWaitsSince = aNow;
  mWaiting.push_back(aBody);
  mOnChange();
  return BodyVerdict::Waits;
}

void
BodyMemory::OnReceived(BodyId aBody, std::size_t aBytes, Instant aNow)
{
  Body& body = mBodies.at(aBody);
  if (aBytes >= body.mReceivedAtProgress + kProgressBytes) {
    body.mReceivedAtProgress = aBytes;
    body.mProgressAt = aNow;
  }
}

void
BodyMemory::OnComplete(BodyId aBody)
{
  mBodies.at(aBody).mIsComplete = true;
}

void
BodyMemory::Remove(BodyId aBody)
{
  const auto it = mBodies.find(aBody);
  if (it == mBodies.end()) {
    return;
  }
  Charge(it->second, 0);
  mBodies.erase(it);
  mWaiting.erase(std::remove(mWaiting.begin(), mWaiting.end(), aBody),
                 mWaiting.end());
  if (!mWaiting.empty()) {
    mOnChange();
  }
}

bool
BodyMemory::TryGrant(Body& aBody)
{
  if (!Fits(aBody, aBody.mWanted)) {
    return false;
  }
  Charge(aBody, std::exchange(aBody.mWanted, 0));
  return true;
}

BodyMemory::Bodies::iterator
BodyMemory::FindStalled(Instant aNow)
{
  auto stalled = mBodies.end();
  for (auto it = mBodies.begin(); it != mBodies.end(); ++it) {
    const Body& body = it->second;
    if (!body.mIsComplete && body.mBytes > 0 &&
        aNow - body.mProgressAt >= kStallTime &&
        (stalled == mBodies.end() ||
         body.mProgressAt < stalled->second.mProgressAt)) {
      stalled = it;
    }
  }
  return stalled;
}

void
BodyMemory::RefuseBody(Bodies::iterator aBody,
                       std::vector<Decision>& aDecisions)
{
  aDecisions.push_back({ aBody->first, BodyVerdict::Refused });
  Charge(aBody->second, 0);
  aBody->second.mWanted = 0;
}

void
BodyMemory::DecideOn(BodyId aBody,
                     Instant aNow,
                     std::vector<Decision>& aDecisions)
{
  const auto it = mBodies.find(aBody);
  while (it->second.mWanted > 0) {
    if (TryGrant(it->second)) {
      // Its reading was stopped, so it could make no progress.
      it->second.mProgressAt = aNow;
      aDecisions.push_back({ aBody, BodyVerdict::Granted });
    } else if (const auto stalled = FindStalled(aNow);
               stalled != mBodies.end()) {
      RefuseBody(stalled, aDecisions);
    } else if (aNow - it->second.mWaitsSince >= kMaxWait) {
      RefuseBody(it, aDecisions);
    } else {
      return;
    }
  }
}

void
BodyMemory::Decide(Instant aNow)
{
  std::vector<Decision> decisions;
  for (const BodyId it : mWaiting) {
    DecideOn(it, aNow, decisions);
  }
  mWaiting.erase(std::remove_if(mWaiting.begin(),
                                mWaiting.end(),
                                [&](BodyId aBody) {
                                  return mBodies.at(aBody).mWanted == 0;
                                }),
                 mWaiting.end());
  for (const auto& [id, verdict] : decisions) {
    // A hook may remove other bodies, or its own.
    if (const auto it = mBodies.find(id); it != mBodies.end()) {
      const DecisionHook hook = it->second.mHook;
      hook(verdict);
    }
  }
}

std::optional<Instant>
BodyMemory::NextWake() const
{
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  Instant next = mBodies.at(mWaiting.front()).mWaitsSince + kMaxWait;
  for (const auto& [id, body] : mBodies) {
    if (!body.mIsComplete && body.mBytes > 0) {
      next = std::min(next, body.mProgressAt + kStallTime);
    }
  }
  return next;
}

} // namespace bulrushfold
