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
 * Decides what each message about a key receives, from the records of one
 * shard. A reply that depends on a record is given only after the batch that
 * contains the record is committed.
 */
class BookingLedger
{
public:
  BookingLedger(const Clock& aClock, BookingTable& aTable);

  /** The records are those of a head that this daemon wrote. */
  void Open(BookingActions& aActions);
  /** Ends ownership: every waiting message is told to ask another owner. */
  void Close(BookingActions& aActions);

  void Add(WaitingBegin aBegin, BookingActions& aActions);
  void Add(WaitingResult aResult, BookingActions& aActions);
  /** Refuses what waited too long. */
  void Expire(BookingActions& aActions);
  /** A segment was read: looks at every waiting message again. */
  void Reconsider(BookingActions& aActions);

  bool HasChanges() const { return !mQueue.empty(); }
  /** Size of the first queued change. */
  std::size_t NextBytes() const;
  /** Puts queued changes into the table as aBatch, up to aMaxBytes. */
  void Apply(std::int64_t aBatch, std::size_t aMaxBytes);
  /** The batch of the last Apply is durable. */
  void OnCommitted(std::int64_t aBatch, BookingActions& aActions);

  /** Segment that some message needs; empty when there is none. */
  std::optional<wire::BookingSegmentRef> TakeWantedSegment();
  std::vector<std::string> WaitingKeys() const { return mWaiters.Keys(); }
  std::size_t Begins() const { return mWaiters.Begins(); }
  std::size_t Results() const { return mWaiters.Results(); }
  /** Whether the table shows that aKey was never used. */
  bool IsUnused(const std::string& aKey);
  std::uint64_t Permits() const { return mPermits; }
  std::uint64_t Intents() const { return mIntents; }
  std::uint64_t Recorded() const { return mRecorded; }

private:
  void Evaluate(const std::string& aKey, BookingActions& aActions);
  /** Both return true when the message keeps waiting. */
  bool Decide(const WaitingBegin& aWaiting,
              const BookingSlot* aSlot,
              BookingActions& aActions);
  bool Decide(const WaitingResult& aWaiting,
              const BookingSlot* aSlot,
              BookingActions& aActions);
  bool DecideIntent(const WaitingBegin& aWaiting,
                    const wire::BookingRecord& aRecord,
                    BookingActions& aActions);
  bool QueueOrRefuse(const WaitingBegin& aWaiting,
                     std::int32_t aAttempt,
                     BookingActions& aActions);
  void QueueIntent(const wire::BookingBegin& aBegin, std::int32_t aAttempt);
  void QueueEnd(wire::BookingRecord aRecord,
                const wire::BookingResult* aResult);
  void Queue(const wire::BookingRecord& aRecord);
  void ExpireBegin(const WaitingBegin& aWaiting, BookingActions& aActions);
  /** Whether the begin could be undone before any permit was given. */
  bool Withdraw(const wire::BookingBegin& aBegin);
  bool WithdrawQueued(const wire::BookingBegin& aBegin);
  bool IsTrimmed(const std::string& aKey) const;

  const Clock& mClock;
  BookingTable& mTable;
  bool mOpen = false;
  std::int64_t mCommittedBatch = 0;
  std::deque<wire::BookingRecord> mQueue;
  std::set<std::string> mQueuedKeys;
  std::vector<std::string> mBatchKeys;
  BookingWaiters mWaiters;
  /** Request by key, of intents that were refused before their commit. */
  std::map<std::string, std::string> mWithdrawn;
  std::optional<wire::BookingSegmentRef> mWantedSegment;
  std::uint64_t mPermits = 0;
  std::uint64_t mIntents = 0;
  std::uint64_t mRecorded = 0;
};

/** A reply without an answer. */
wire::BookingBeginReply MakeBeginReply(wire::BookingVerdict::type aVerdict,
                                       const std::string& aReason);

} // namespace bulrushfold

#endif
