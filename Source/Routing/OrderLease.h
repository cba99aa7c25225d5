#ifndef BULRUSHFOLD_ROUTING_ORDERLEASE_H
#define BULRUSHFOLD_ROUTING_ORDERLEASE_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Timing of the lease for sending orders to one endpoint. */
struct OrderTiming
{
  Duration mLease = std::chrono::seconds(10);
  /** No order is sent in this last part of the lease. A pause of the process
   * that is longer than this is detected as a clock gap. */
  Duration mClockGapLimit = std::chrono::seconds(1);
  /** Timeout of an order; an answer after it is ignored. */
  Duration mOrderTimeout = std::chrono::seconds(2);
  /** Minimum time between the orders of two holders. */
  Duration mHolderInterval{};
  Duration mRetryInterval = std::chrono::seconds(1);
  /** Time until the memory of an ended process is released at endpoints. */
  Duration mReleaseGrace = std::chrono::seconds(5);
};

/** The next call to the store that a lease needs. */
struct LeaseStep
{
  bool mNeedsRead = false;
  std::optional<std::string> mBodyToWrite;
  /** Number of the write, to be passed to OnWritten. */
  std::uint64_t mWriteNumber = 0;
  /** Version that the write expects; empty: the object must not exist. */
  std::optional<std::uint64_t> mExpectedVersion;
};

/**
 * A lease in the store for sending orders to one endpoint. The object
 * "orders/ENDPOINT" names the holder. The version that the store assigns to it
 * in a conditional update is the fencing number, which therefore increases with
 * each change of the holder and each renewal. Before a daemon takes over the
 * lease of another one, it waits, by its own clock, until that lease must have
 * ended. It need not wait if the lease was released or the endpoint checks
 * fencing numbers.
 *
 * A store that comes back from a copy may have lost a lease that its holder
 * still uses. Therefore the object names the era in which it was written. When
 * there is no object, or it is of an earlier era, a daemon waits until each
 * lease of the earlier eras must have ended.
 *
 * Events to deliver: OnEra before any other; Tick while an order waits or the
 * lease is held; OnRead and OnWritten with the store's replies; OnClockGap
 * after a pause of the process.
 */
class OrderLease
{
public:
  OrderLease(std::string aHolder, OrderTiming aTiming);

  /**
   * Returns the store call to make now. aIsNeeded: an order waits; a lease that
   * is not needed is released.
   */
  LeaseStep Tick(bool aIsNeeded, bool aChecksFencing, Instant aNow);
  void OnRead(const absl::StatusOr<StoredObject>& aObject, Instant aNow);
  /** aWrite: LeaseStep::mWriteNumber. Answers to earlier writes are ignored. */
  void OnWritten(std::uint64_t aWrite,
                 const absl::StatusOr<std::uint64_t>& aVersion,
                 Instant aNow);
  /** aEra: the newest era of the store. A lease of an earlier one is given up.
   */
  void OnEra(StoreEra aEra, Instant aNow);
  /** The process was paused. Stops using the lease; it is acquired again if it
   * is needed. */
  void OnClockGap(Instant aNow);
  /** An endpoint refused the fencing number as older than another one. */
  void OnStaleFencing(Instant aNow);

  /** True when an order may be sent now. */
  bool CanSendOrder(Instant aNow) const;
  /** Fencing number for orders; 0 when the lease was never acquired. */
  std::uint64_t FencingNumber() const { return mFencing; }

private:
  enum class State
  {
    Idle,
    Reading,
    /** The object was read; the write waits until another holder's lease has
     * ended. */
    Waiting,
    Writing,
    Held,
  };

  LeaseStep Read();
  LeaseStep Write(bool aIsReleased, Instant aNow);
  void Retry(Instant aNow);
  bool IsOwnWrite(const StoredObject& aObject) const;
  void RecordHolder(const StoredObject& aObject, Instant aNow);
  bool MustWait(Instant aNow) const;
  /** Time after which this daemon may send orders although another one may have
   * acquired a lease of aLease just now. The other one sends its last order,
   * and the order arrives, until mClockGapLimit before its end. */
  Duration WaitFor(Duration aLease) const
  {
    return aLease + std::max(mTiming.mClockGapLimit + mTiming.mOrderTimeout,
                             mTiming.mHolderInterval - mTiming.mClockGapLimit);
  }

  std::string mHolder;
  OrderTiming mTiming;
  State mState = State::Idle;
  Instant mNextStep;
  /** Version of the object in the last answer; empty: no object exists. */
  std::optional<std::uint64_t> mVersion;
  /** Whether another holder may still use the lease, and until when. */
  bool mIsHeldByOther = false;
  Instant mOtherLeaseEnd;
  StoreEra mEra = 0;
  /** The object was written in mEra, so that it shows who has the lease. */
  bool mIsOfEra = false;
  /** End of all leases of earlier eras. */
  Instant mEarlierLeasesEnd;
  std::uint64_t mFencing = 0;
  /** Number of the last write; identifies the write in the object if the
   * store's reply was lost. */
  std::uint64_t mWrites = 0;
  bool mIsReleasing = false;
  Instant mWrittenAt;
};

} // namespace bulrushfold

#endif
