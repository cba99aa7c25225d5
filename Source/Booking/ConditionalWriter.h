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

/** State of the write in progress after a reply of the store. */
enum class WriteResult
{
  /** Not decided yet, or the reply belongs to another operation. */
  Pending,
  /** The write took effect. */
  Committed,
  /** Another writer changed the object; this write can no longer succeed. */
  Superseded,
};

/** One conditional write. */
struct PendingWrite
{
  std::string mKey;
  std::string mBody;
  /** Version that the object must have; empty if it must not exist. */
  std::optional<std::uint64_t> mExpected;
  /** Whether a body that was read back is the body of this write. */
  std::function<bool(std::string_view)> mIsSameBody;
};

/**
 * Executes one conditional write until it is certain whether it took effect.
 * After a lost reply or a conflict, the object is read back. If the object
 * still has the expected version, the same body is written again with the same
 * expected version. A delayed first attempt may still arrive after the read,
 * but only one of the attempts can succeed, and both have the same body.
 */
class ConditionalWriter
{
public:
  ConditionalWriter(const Clock& aClock, StoreOperation& aLastOperation);

  bool IsBusy() const { return mWrite.has_value(); }
  /** Starts a write; the previous one must be finished or abandoned. */
  void Start(PendingWrite aWrite, BookingActions& aActions);
  /** Stops tracking the write in progress. It may still take effect. */
  void Abandon();
  WriteResult OnWritten(StoreOperation aOperation,
                        const absl::StatusOr<std::uint64_t>& aReply,
                        BookingActions& aActions);
  WriteResult OnRead(StoreOperation aOperation,
                     const absl::StatusOr<StoredObject>& aReply);
  /** Repeats a failed call after its backoff. */
  void OnTimer(BookingActions& aActions);
  /** Version of the object after WriteResult::Committed. */
  std::uint64_t Version() const { return mVersion; }
  /** Number of writes sent, including retries. */
  std::uint64_t WriteCount() const { return mWriteCount; }

private:
  enum class Phase
  {
    Writing,
    ReadingBack,
  };

  void SendCall(BookingActions& aActions);
  void ScheduleRetry(Phase aPhase);
  WriteResult Finish(WriteResult aResult, std::uint64_t aVersion);

  const Clock& mClock;
  StoreOperation& mLastOperation;
  std::optional<PendingWrite> mWrite;
  Phase mPhase = Phase::Writing;
  /** Operation whose reply is awaited; 0 during the backoff before a retry. */
  StoreOperation mOperation = 0;
  Instant mRetryAt;
  Duration mBackoff;
  std::uint64_t mVersion = 0;
  std::uint64_t mWriteCount = 0;
};

} // namespace bulrushfold

#endif
