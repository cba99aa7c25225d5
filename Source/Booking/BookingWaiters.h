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

/** A BookingBegin that has no reply yet. */
struct WaitingBegin
{
  ReplyToken mToken = 0;
  Instant mDeadline;
  wire::BookingBegin mBegin;
};

/** A BookingResult that has no reply yet. */
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
  /** Messages about aKey; removes them from here. */
  KeyWaiters Take(const std::string& aKey);
  /** Puts back what Take gave. */
  void Return(const std::string& aKey, KeyWaiters aWaiters);
  /** Removes and returns everything whose deadline has come. */
  KeyWaiters TakeExpired(Instant aNow);
  /** Removes and returns everything. */
  KeyWaiters TakeAll();
  std::vector<std::string> Keys() const;
  std::size_t Begins() const { return mBegins; }
  std::size_t Results() const { return mResults; }

private:
  std::map<std::string, KeyWaiters> mByKey;
  /** May hold entries of messages that are gone. */
  std::set<std::pair<Instant, std::string>> mDeadlines;
  std::size_t mBegins = 0;
  std::size_t mResults = 0;
};

} // namespace bulrushfold

#endif
