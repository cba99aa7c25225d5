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

/** Outcome of a non-idempotent call, as reported to its caller. */
enum class BookingOutcome
{
  /** Executed. AnswerCaller::mAnswer is the endpoint's answer to this request
   * or the recorded answer to an earlier one. */
  Done,
  /** This request was not executed and will not be. */
  NotRun,
  /** The call may or may not have been executed. */
  Unknown,
  /** Refused, because the key was used with another body. This request was not
   * executed. */
  BodyDiffers,
};

/** Name of aOutcome in log lines. */
std::string_view BookingOutcomeName(BookingOutcome aOutcome);

/** Sends a BOOKING_BEGIN message to the owner of the key's shard. */
struct SendBegin
{
  std::string mRequest;
  std::uint64_t mShard = 0;
  wire::BookingBegin mBegin;
};

/** Sends a BOOKING_RESULT message to the owner of the key's shard. */
struct SendResult
{
  std::string mRequest;
  std::uint64_t mShard = 0;
  wire::BookingResult mResult;
};

/** Sends the call to one endpoint, without retries. */
struct DispatchCall
{
  std::string mRequest;
  /** Fencing number for endpoints that check it. */
  std::int32_t mAttempt = 0;
};

/** Answers the caller. Returned at most once for each request. */
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

/** Configuration of a BookingRegistry. */
struct BookingRegistryOptions
{
  /** DAEMON/INCARNATION of this process, which receives the permits. */
  std::string mHolder;
  BookingSettings mBookings;
};

/** Counters since the start of the process. */
struct BookingRegistryCounters
{
  /** Calls of callers. */
  std::uint64_t mBegun = 0;
  std::uint64_t mDispatched = 0;
  /** Requests reported to the owner as not run. */
  std::uint64_t mReleased = 0;
  /** Endpoint answers that arrived after OnInterrupted. */
  std::uint64_t mLateResults = 0;
  /** Results removed without the owner's confirmation, after the retention. */
  std::uint64_t mUnconfirmedDropped = 0;
};

/**
 * State machine of the entry daemon for non-idempotent calls. An entry daemon
 * requests a permit from the owner of the key's shard, dispatches the call and
 * reports the result to the owner.
 *
 * The daemon delivers these events and executes the returned actions in order,
 * in the same loop iteration:
 * - Begin, when a caller's non-idempotent call has passed the earlier filters.
 *   aRequest must be a new identifier for each call, also for a retry;
 * - OnBeginReply and OnResultReply, for each SendBegin and SendResult, with the
 *   status of PeerTransport::Call when there was no reply. When the owner is
 *   this daemon, the message goes to its own BookingShard;
 * - OnAnswer, when the endpoint's complete answer arrived, also after
 *   OnInterrupted;
 * - OnNotSent, only when it is certain that no byte of the call was written to
 *   a connection;
 * - OnInterrupted, when the connection was lost or its read timeout passed
 *   after the first byte was written;
 * - OnCallerDisconnected, when the caller closed its connection. The registry
 *   then returns no AnswerCaller, but still reports the result to the owner;
 * - OnTimer, about every 50 ms; it handles the timeouts of all requests.
 *
 * The daemon uses a reply timeout of about 2 s for SendBegin, so that it
 * detects the death of an owner. The registry then sends the message again,
 * which is safe, because a request is dispatched at most once.
 *
 * The daemon must execute DispatchCall immediately or report OnNotSent. A pause
 * of the process between the decision and the first byte is safe.
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

  /** Whether a request waits for its verdict, its endpoint or the confirmation
   * of its result. A graceful shutdown waits for these requests. */
  bool HasUnfinishedRequests() const;
  /** Number of requests that have an entry. */
  std::size_t Size() const { return mRequests.size(); }
  const BookingRegistryCounters& Counters() const { return mCounters; }

private:
  enum class Phase
  {
    /** Waits for the owner's verdict. */
    AwaitingVerdict,
    /** The call was dispatched; the endpoint may have received bytes of it. */
    Dispatched,
    /** Dispatched, but the connection was lost or its read timeout passed. */
    Interrupted,
    /** Waits for the owner's confirmation of the result or the release. */
    Reporting,
    /** Not dispatched and never will be. The entry is retained to release a
     * permit that arrives late. */
    Closed,
  };

  struct Entry
  {
    Phase mPhase = Phase::AwaitingVerdict;
    std::string mKey;
    std::string mDigest;
    Instant mDeadline;
    /** Time of the next retry of a message, or of the removal of the entry. */
    Instant mNextEventAt;
    Duration mBackoff{};
    /** End of the last wait for a verdict; set by the first OnTimer after the
     * deadline. */
    std::optional<Instant> mGraceEnd;
    bool mAnswered = false;
    bool mAwaitsReply = false;
    wire::BookingResult mResult;
  };

  Entry* Find(const std::string& aRequest);
  void RequestVerdict(const std::string& aRequest, Entry& aEntry);
  void OnPermit(const std::string& aRequest,
                Entry& aEntry,
                std::int32_t aAttempt);
  void ApplyVerdict(const std::string& aRequest,
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
  void UpdateAwaitingVerdict(const std::string& aRequest, Entry& aEntry);
  bool UpdateEntry(const std::string& aRequest, Entry& aEntry);
  RegistryActions CollectActions();

  BookingRegistryOptions mOptions;
  const Clock& mClock;
  RegistryActions mActions;
  std::map<std::string, Entry> mRequests;
  BookingRegistryCounters mCounters;
};

} // namespace bulrushfold

#endif
