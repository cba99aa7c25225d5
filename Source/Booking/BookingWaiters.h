#ifndef BULRUSHFOLD_BOOKING_BOOKINGWAITERS_H
#define BULRUSHFOLD_BOOKING_BOOKINGWAITERS_H

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Booking/BookingActions.h"

namespace bulrushfold {

/** A BookingBegin message without a reply. */
struct WaitingBegin
{
  ReplyToken mToken = 0;
  Instant mDeadline;
  wire::BookingBegin mBegin;
};

/** A BookingResult message without a reply. */
struct WaitingResult
{
  ReplyToken mToken = 0;
  Instant mDeadline;
  wire::BookingResult mResult;
};

/** Messages about one key that wait for a reply. */
struct KeyWaiters
{
  std::vector<WaitingBegin> mBegins;
  std::vector<WaitingResult> mResults;

  bool IsEmpty() const { return mBegins.empty() && mResults.empty(); }
};

/** Messages without a reply, by key, with their deadlines. */
class BookingWaiters
{
public:
  void Add(WaitingBegin aBegin);
  void Add(WaitingResult aResult);
  /** Removes and returns the messages about aKey. */
  KeyWaiters Extract(const std::string& aKey);
  /** Adds messages again that Extract returned. */
  void Reinsert(const std::string& aKey, KeyWaiters aWaiters);
  /** Removes and returns the messages whose deadline is at most aNow. */
  KeyWaiters ExtractExpired(Instant aNow);
  /** Removes and returns all messages. */
  KeyWaiters ExtractAll();
  std::vector<std::string> Keys() const;
  std::size_t BeginCount() const { return mBeginCount; }
  std::size_t ResultCount() const { return mResultCount; }

private:
  std::map<std::string, KeyWaiters> mByKey;
  /** Deadlines with their keys; may include messages that were extracted. */
  std::set<std::pair<Instant, std::string>> mDeadlines;
  std::size_t mBeginCount = 0;
  std::size_t mResultCount = 0;
};

} // namespace bulrushfold

#endif
