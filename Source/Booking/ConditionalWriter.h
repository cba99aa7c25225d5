#ifndef BULRUSHFOLD_BOOKING_CONDITIONALWRITER_H
#define BULRUSHFOLD_BOOKING_CONDITIONALWRITER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Booking/BookingActions.h"
#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** What an answer of the store means for the write in progress. */
enum class WriteResult
{
  /** Not decided yet, or the answer belongs to another operation. */
  Pending,
  /** The object holds this write. */
  Committed,
  /** Another writer changed the object; this write can no longer win. */
  Superseded,
};

/** One conditional write. */
struct PendingWrite
{
  std::string mKey;
  std::string mBody;
  std::optional<std::uint64_t> mExpected;
  /** Whether a body that was read back is the one of this write. */
  std::function<bool(std::string_view)> mIsOwn;
};

/**
 * Carries one conditional write through until it is known whether it took
 * effect. A lost answer or a conflict is resolved by reading the object back.
 * When the object still has the expected version, the same body is written
 * again under the same version: a delayed first copy may arrive after the read,
 * but only one of the copies can win, and both say the same.
 */
class ConditionalWriter
{
public:
  ConditionalWriter(const Clock& aClock, StoreOperation& aLastOperation);

  bool IsBusy() const { return mWrite.has_value(); }
  /** Starts a write; the previous one must be finished or abandoned. */
  void Start(PendingWrite aWrite, BookingActions& aActions);
  /** Forgets the write in progress. It may still take effect. */
  void Abandon();
  WriteResult OnWritten(StoreOperation aOperation,
                        const absl::StatusOr<std::uint64_t>& aAnswer,
                        BookingActions& aActions);
  WriteResult OnRead(StoreOperation aOperation,
                     const absl::StatusOr<StoredObject>& aAnswer);
  /** Repeats a failed call when its time has come. */
  void OnTimer(BookingActions& aActions);
  /** Version after WriteResult::Committed. */
  std::uint64_t Version() const { return mVersion; }
  /** Writes sent, including repetitions. */
  std::uint64_t Writes() const { return mWrites; }

private:
  enum class Phase
  {
    Writing,
    ReadingBack,
  };

  void SendCurrent(BookingActions& aActions);
  void RetryLater(Phase aPhase);
  WriteResult Finish(WriteResult aResult, std::uint64_t aVersion);

  const Clock& mClock;
  StoreOperation& mLastOperation;
  std::optional<PendingWrite> mWrite;
  Phase mPhase = Phase::Writing;
  /** Operation whose answer is awaited; 0 while waiting to repeat. */
  StoreOperation mOperation = 0;
  Instant mRetryAt;
  Duration mBackoff;
  std::uint64_t mVersion = 0;
  std::uint64_t mWrites = 0;
};

} // namespace bulrushfold

#endif
