#ifndef BULRUSHFOLD_BOOKING_BOOKINGREGISTRY_H
#define BULRUSHFOLD_BOOKING_BOOKINGREGISTRY_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Base/Clock.h"
#include "Booking/BookingRecord.h"
#include "Settings/Settings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** What the caller of a non-idempotent call is told. */
enum class BookingOutcome
{
  /** Ran; mAnswer is the endpoint's answer, now or recorded earlier. */
  Done,
  /** This request was not executed and never will be. */
  NotRun,
  /** The call may or may not have been executed. */
  Unknown,
  /** Refused: the key was used with another body. Not run by this request. */
  BodyDiffers,
};

/** Name of aOutcome in logs. */
std::string_view BookingOutcomeName(BookingOutcome aOutcome);

/** Sends a BOOKING_BEGIN to the owner of the key's shard. */
struct SendBegin
{
  std::string mRequest;
  std::uint64_t mShard = 0;
  wire::BookingBegin mBegin;
};

/** Sends a BOOKING_RESULT to the owner of the key's shard. */
struct SendResult
{
  std::string mRequest;
  std::uint64_t mShard = 0;
  wire::BookingResult mResult;
};

/** Sends the call to one endpoint, once. */
struct DispatchCall
{
  std::string mRequest;
  /** Fencing number for endpoints that check it. */
  std::int32_t mAttempt = 0;
};

/** Answers the caller; at most one for each request. */
struct AnswerCaller
{
  std::string mRequest;
  BookingOutcome mOutcome = BookingOutcome::Unknown;
  /** Code for problem+json and the outcome record. */
  std::string mReason;
  std::optional<wire::BookingAnswer> mAnswer;
};

using RegistryAction =
  std::variant<SendBegin, SendResult, DispatchCall, AnswerCaller>;
using RegistryActions = std::vector<RegistryAction>;

/** What the entry daemon's side needs to know. */
struct BookingRegistryOptions
{
  /** DAEMON/INCARNATION of this process. */
  std::string mHolder;
  BookingSettings mBookings;
};

/** Counters since the start of the process. */
struct BookingRegistryCounters
{
  std::uint64_t mBegun = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mReleased = 0;
  std::uint64_t mLateResults = 0;
  std::uint64_t mUnconfirmedDropped = 0;
};

/**
 * The entry daemon's decisions about non-idempotent calls.
 *
 * The daemon delivers these events and carries out the returned actions in
 * order, in the same turn:
 * - Begin, when a caller's non-idempotent call has passed the earlier filters.
 *   aRequest must be new for each call of a caller, also for a retry;
 * - OnBeginReply and OnResultReply, for each SendBegin and SendResult, with the
 *   status of PeerTransport::Call when there was no reply. When the owner is
 * this daemon, the message goes to its own BookingShard;
 * - OnAnswer, when the endpoint's whole answer arrived, also after
 * OnInterrupted;
 * - OnNotSent, only when it is certain that no byte of the call was written to
 *   a connection;
 * - OnInterrupted, when the connection broke or stayed silent after the first
 * byte;
 * - OnCallerDisconnected, when the caller closed its connection: nothing more
 * is answered, the record is still completed;
 * - OnTimer, every 50 ms or so; it looks at every open request.
 *
 * The daemon gives a SendBegin a reply timeout of about 2 s, so that the death
 * of an owner is noticed; the registry then asks again, which is harmless.
 *
 * DispatchCall must be carried out at once or reported by OnNotSent. A pause
 * of the process between the decision and the first byte is harmless.
 */
class BookingRegistry
{
public:
  BookingRegistry(BookingRegistryOptions aOptions, const Clock& aClock);

  RegistryActions Begin(const std::string& aRequest,
                        const std::string& aRecordKey,
                        const std::string& aDigest,
                        Instant aDeadline);
  RegistryActions OnBeginReply(
    const std::string& aRequest,
    const absl::StatusOr<wire::BookingBeginReply>& aReply);
  RegistryActions OnAnswer(const std::string& aRequest,
                           wire::BookingAnswer aAnswer);
  RegistryActions OnNotSent(const std::string& aRequest,
                            const std::string& aReason);
  RegistryActions OnInterrupted(const std::string& aRequest,
                                const std::string& aReason);
  RegistryActions OnCallerDisconnected(const std::string& aRequest);
  RegistryActions OnResultReply(
    const std::string& aRequest,
    const absl::StatusOr<wire::BookingResultReply>& aReply);
  RegistryActions OnTimer();

  /** True while a call is at its endpoint or its result is unconfirmed; a
   * planned stop waits for it. */
  bool HasUnfinishedRequests() const;
  /** Requests that are not forgotten yet. */
  std::size_t Size() const { return mRequests.size(); }
  const BookingRegistryCounters& Counters() const { return mCounters; }

private:
  enum class Phase
  {
    /** Waits for the owner's verdict. */
    Asking,
    /** Bytes may have reached the endpoint. */
    Dispatched,
    /** As Dispatched, but the connection is lost. */
    Lost,
    /** The result or release waits for the owner's confirmation. */
    Reporting,
    /** Never dispatched and never will be; kept to reject a late permit. */
    Closed,
  };

  struct Entry
  {
    Phase mPhase = Phase::Asking;
    std::string mKey;
    std::string mDigest;
    Instant mDeadline;
    /** Next repetition of a message, or the end of the entry. */
    Instant mNextAt;
    Duration mBackoff{};
    /** Set at the first turn after the deadline: the last wait for a verdict.
     */
    std::optional<Instant> mGraceEnd;
    bool mAnswered = false;
    bool mAwaitsReply = false;
    wire::BookingResult mResult;
  };

  Entry* Find(const std::string& aRequest);
  void Ask(const std::string& aRequest, Entry& aEntry);
  void OnPermit(const std::string& aRequest,
                Entry& aEntry,
                std::int32_t aNumber);
  void TakeVerdict(const std::string& aRequest,
                   Entry& aEntry,
                   const wire::BookingBeginReply& aReply);
  void Answer(const std::string& aRequest,
              Entry& aEntry,
              BookingOutcome aOutcome,
              const std::string& aReason,
              const wire::BookingAnswer* aAnswer = nullptr);
  void Close(Entry& aEntry);
  void Report(const std::string& aRequest, Entry& aEntry, bool aRan);
  void SendReport(const std::string& aRequest, Entry& aEntry);
  void TurnAsking(const std::string& aRequest, Entry& aEntry);
  bool TurnEntry(const std::string& aRequest, Entry& aEntry);
  RegistryActions TakeActions();

  BookingRegistryOptions mOptions;
  const Clock& mClock;
  RegistryActions mActions;
  std::map<std::string, Entry> mRequests;
  BookingRegistryCounters mCounters;
};

} // namespace bulrushfold

#endif
