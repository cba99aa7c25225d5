#ifndef BULRUSHFOLD_BOOKING_BOOKINGLEDGER_H
#define BULRUSHFOLD_BOOKING_BOOKINGLEDGER_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Booking/BookingActions.h"
#include "Booking/BookingTable.h"
#include "Booking/BookingWaiters.h"

namespace bulrushfold {

/**
 * Decides the reply to each BookingBegin and BookingResult message from the
 * records of one shard. A reply that depends on a record is sent only after the
 * batch that contains the record is committed.
 */
class BookingLedger
{
public:
  BookingLedger(const Clock& aClock, BookingTable& aTable);

  /**
   * Starts to reply to messages. Called when this daemon has written the head
   * object under its own epoch.
   */
  void StartOwnership(BookingActions& aActions);
  /** Ends ownership: replies NOT_OWNER to every waiting message. */
  void EndOwnership(BookingActions& aActions);

  void Add(WaitingBegin aBegin, BookingActions& aActions);
  void Add(WaitingResult aResult, BookingActions& aActions);
  /** Replies to the messages whose deadline has passed. */
  void Expire(BookingActions& aActions);
  /** Evaluates all waiting messages again, after a segment was read. */
  void EvaluateAll(BookingActions& aActions);

  bool HasQueuedChanges() const { return !mQueue.empty(); }
  /** Size of the first queued change in bytes; 0 when there is none. */
  std::size_t NextChangeBytes() const;
  /**
   * Moves queued changes into the table as part of aBatch, while the head's
   * records stay within aMaxBytes.
   */
  void Apply(std::int64_t aBatch, std::size_t aMaxBytes);
  /** Sends the replies that waited for aBatch, which is now durable. */
  void OnCommitted(std::int64_t aBatch, BookingActions& aActions);

  /**
   * Returns and clears the segment that must be read before a waiting message
   * can be decided; empty when there is none.
   */
  std::optional<wire::BookingSegmentRef> CollectNeededSegment();
  std::vector<std::string> WaitingKeys() const { return mWaiters.Keys(); }
  std::size_t BeginCount() const { return mWaiters.BeginCount(); }
  std::size_t ResultCount() const { return mWaiters.ResultCount(); }
  /** Whether the records prove that aKey was never used. */
  bool IsUnused(const std::string& aKey);
  std::uint64_t PermitCount() const { return mPermitCount; }
  std::uint64_t IntentCount() const { return mIntentCount; }
  std::uint64_t RecordedCount() const { return mRecordedCount; }

private:
  void Evaluate(const std::string& aKey, BookingActions& aActions);
  /**
   * Replies to aWaiting if its outcome is decided. Returns true when the
   * message must keep waiting.
   */
  bool Decide(const WaitingBegin& aWaiting,
              const HeadRecord* aHeadRecord,
              BookingActions& aActions);
  bool Decide(const WaitingResult& aWaiting,
              const HeadRecord* aHeadRecord,
              BookingActions& aActions);
  bool DecideFromRecord(const WaitingBegin& aWaiting,
                        const wire::BookingRecord& aRecord,
                        BookingActions& aActions);
  bool QueueOrRefuse(const WaitingBegin& aWaiting,
                     std::int32_t aAttempt,
                     BookingActions& aActions);
  void QueueIntent(const wire::BookingBegin& aBegin, std::int32_t aAttempt);
  void QueueFinalState(wire::BookingRecord aRecord,
                       const wire::BookingResult* aResult);
  void Queue(const wire::BookingRecord& aRecord);
  void ExpireBegin(const WaitingBegin& aWaiting, BookingActions& aActions);
  /**
   * Cancels the intent of aBegin if it is not committed yet. Returns false when
   * there is no such intent, or when a permit may have been granted for it.
   */
  bool Withdraw(const wire::BookingBegin& aBegin);
  bool WithdrawQueued(const wire::BookingBegin& aBegin);
  bool IsTrimmed(const std::string& aKey) const;

  const Clock& mClock;
  BookingTable& mTable;
  bool mIsOwner = false;
  std::int64_t mCommittedBatch = 0;
  /** Changed records that wait for the next batch. */
  std::deque<wire::BookingRecord> mQueue;
  std::set<std::string> mQueuedKeys;
  /** Keys of the records that the last Apply moved into the table. */
  std::vector<std::string> mBatchKeys;
  BookingWaiters mWaiters;
  /**
   * Requests by key whose intent is part of the uncommitted batch and whose
   * holder has already received NOT_RUN.
   */
  std::map<std::string, std::string> mWithdrawn;
  std::optional<wire::BookingSegmentRef> mNeededSegment;
  std::uint64_t mPermitCount = 0;
  std::uint64_t mIntentCount = 0;
  std::uint64_t mRecordedCount = 0;
};

/** Makes a reply without a recorded answer. */
wire::BookingBeginReply MakeBeginReply(wire::BookingVerdict::type aVerdict,
                                       const std::string& aReason);

} // namespace bulrushfold

#endif
