#ifndef BULRUSHFOLD_ROUTING_ORDERLEASE_H
#define BULRUSHFOLD_ROUTING_ORDERLEASE_H

#include <cstdint>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Times of the right to send orders to one endpoint. */
struct OrderTiming
{
  Duration mLease = std::chrono::seconds(10);
  /** No order is sent in this last part of the lease; a pause longer than this
   * is noticed as a clock gap. */
  Duration mClockGapLimit = std::chrono::seconds(1);
  /** Timeout of an order; a later answer is not waited for. */
  Duration mOrderTimeout = std::chrono::seconds(2);
  Duration mRetryInterval = std::chrono::seconds(1);
  /** Time for which memory of a process that is gone stays untouched. */
  Duration mReleaseGrace = std::chrono::seconds(5);
};

/** Store call that a lease needs next. */
struct LeaseStep
{
  bool mNeedsRead = false;
  std::optional<std::string> mBodyToWrite;
  /** Number of the write, for OnWritten. */
  std::uint64_t mWriteNumber = 0;
  /** Version that the object must have for the write; empty: none exists. */
  std::optional<std::uint64_t> mExpectedVersion;
};

/**
 * The right to send orders to one endpoint. The object "orders/ENDPOINT" names
 * the holder; the version that a conditional update gave it is the fencing
 * number, which therefore increases with each change of the holder and each
 * renewal. A new holder waits, on its own clock, until a lease that it read
 * must have ended, unless it was released or the endpoint checks the numbers.
 *
 * Events to deliver: Tick while an order waits or the lease is held; OnRead and
 * OnWritten with the store's answers; OnClockGap after a pause.
 */
class OrderLease
{
public:
  OrderLease(std::string aHolder, OrderTiming aTiming);

  /** aIsNeeded: an order waits. A lease that is not needed is released. */
  LeaseStep Tick(bool aIsNeeded, bool aChecksFencing, Instant aNow);
  void OnRead(const absl::StatusOr<StoredObject>& aObject, Instant aNow);
  /** aWrite: LeaseStep::mWriteNumber. Answers to earlier writes are ignored. */
  void OnWritten(std::uint64_t aWrite,
                 const absl::StatusOr<std::uint64_t>& aVersion,
                 Instant aNow);
  /** Gives the lease up; it is taken again if it is needed. */
  void OnClockGap(Instant aNow);
  /** An endpoint refused the number: another holder exists. */
  void OnStaleFencing(Instant aNow);

  /** True when an order may be sent now. */
  bool CanSendOrder(Instant aNow) const;
  /** Number that orders carry; 0 when none was obtained. */
  std::uint64_t FencingNumber() const { return mFencing; }

private:
  enum class State
  {
    Idle,
    Reading,
    /** Another holder's lease must end first. */
    Waiting,
    Writing,
    Held,
  };

  LeaseStep Read();
  LeaseStep Write(bool aIsReleased, Instant aNow);
  void Retry(Instant aNow);
  bool IsOwnWrite(const StoredObject& aObject) const;
  void NoteHolder(const StoredObject& aObject, Instant aNow);

  std::string mHolder;
  OrderTiming mTiming;
  State mState = State::Idle;
  Instant mNextStep;
  /** Version of the object as last read; empty: there is none. */
  std::optional<std::uint64_t> mVersion;
  /** Whether the lease last read may still be in use, and until when. */
  bool mIsForeign = false;
  Instant mForeignUntil;
  std::uint64_t mFencing = 0;
  /** Number of the last write, which recognises it after a lost answer. */
  std::uint64_t mWrites = 0;
  bool mIsReleasing = false;
  Instant mWrittenAt;
};

} // namespace bulrushfold

#endif
