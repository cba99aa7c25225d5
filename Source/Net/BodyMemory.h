#ifndef BULRUSHFOLD_NET_BODYMEMORY_H
#define BULRUSHFOLD_NET_BODYMEMORY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** Decision on the memory of a request body. */
enum class BodyVerdict
{
  Granted,
  /** Reading stops until a later decision. */
  Waits,
  /** The request ends; its body frees its memory. */
  Refused,
};

/**
 * Account of the memory that the request bodies of a server use, from the head
 * of a request to the end of its exchange. Each body counts twice, because a
 * copy of it is sent to an endpoint.
 *
 * When the account is used up, a body that needs memory waits, and reading its
 * connection stops. An incomplete body that has made no progress for a while is
 * ended in favour of one that waits. What still waits after a while is refused.
 * A part of the account stays free for small bodies. A body that is complete
 * keeps its memory. A single body is always granted its memory.
 */
class BodyMemory
{
public:
  using BodyId = std::uint64_t;
  using DecisionHook = std::function<void(BodyVerdict)>;

  /** aLimit: in bytes. aOnChange: called when memory was freed or a body began
   * to wait, so that Decide is called soon. */
  BodyMemory(std::size_t aLimit, std::function<void()> aOnChange);

  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }
  /** Adds a body. aHook is called by Decide: Granted after Waits, or Refused.
   */
  BodyId Add(DecisionHook aHook, Instant aNow);
  /** The body has, or has announced, aBytes. */
  BodyVerdict Request(BodyId aBody, std::size_t aBytes, Instant aNow);
  /** The body has received aBytes so far. */
  void OnReceived(BodyId aBody, std::size_t aBytes, Instant aNow);
  /** The whole body was received. */
  void OnComplete(BodyId aBody);
  void Remove(BodyId aBody);

  /** Decides on the bodies that wait, and calls their hooks. */
  void Decide(Instant aNow);
  /** Time at which Decide must be called at the latest. */
  std::optional<Instant> NextWake() const;
  /** Bytes that all bodies use. */
  std::size_t Used() const { return mUsed; }

private:
  struct Body
  {
    DecisionHook mHook;
    std::size_t mBytes = 0;
    /** Bytes that the body waits for; 0: it does not wait. */
    std::size_t mWanted = 0;
    Instant mWaitsSince;
    std::size_t mReceivedAtProgress = 0;
    Instant mProgressAt;
    bool mIsComplete = false;
  };
  using Bodies = std::map<BodyId, Body>;
  struct Decision
  {
    BodyId mBody = 0;
    BodyVerdict mVerdict = BodyVerdict::Refused;
  };

  /** True when aBody may use aBytes. */
  bool Fits(const Body& aBody, std::size_t aBytes) const;
  void Charge(Body& aBody, std::size_t aBytes);
  /** Grants what aBody waits for if it fits. */
  bool TryGrant(Body& aBody);
  /** The incomplete body without progress for the longest time, if that is
   * long enough to end it. */
  Bodies::iterator FindStalled(Instant aNow);
  /** Decides on one waiting body; adds the decisions to aDecisions. */
  void DecideOn(BodyId aBody, Instant aNow, std::vector<Decision>& aDecisions);
  void RefuseBody(Bodies::iterator aBody, std::vector<Decision>& aDecisions);

  std::size_t mLimit;
  std::function<void()> mOnChange;
  std::size_t mUsed = 0;
  BodyId mNextId = 1;
  Bodies mBodies;
  /** Bodies that wait, the one that has waited longest first. */
  std::vector<BodyId> mWaiting;
};

/** A body in a BodyMemory; removes it when it is destroyed. */
class BodyTicket
{
public:
  BodyTicket() = default;
  BodyTicket(std::shared_ptr<BodyMemory> aMemory, BodyMemory::BodyId aBody)
    : mMemory(std::move(aMemory))
    , mBody(aBody)
  {
  }
  BodyTicket(BodyTicket&&) noexcept = default;
  BodyTicket& operator=(BodyTicket&& aOther) noexcept
  {
    Reset();
    mMemory = std::move(aOther.mMemory);
    mBody = aOther.mBody;
    return *this;
  }
  ~BodyTicket() { Reset(); }

  void Reset()
  {
    if (const auto memory = std::exchange(mMemory, nullptr); memory) {
      memory->Remove(mBody);
    }
  }
  explicit operator bool() const { return mMemory != nullptr; }
  BodyMemory* operator->() const { return mMemory.get(); }
  BodyMemory::BodyId Body() const { return mBody; }

private:
  std::shared_ptr<BodyMemory> mMemory;
  BodyMemory::BodyId mBody = 0;
};

} // namespace bulrushfold

#endif
