#ifndef BULRUSHFOLD_BOOKING_BOOKINGACTIONS_H
#define BULRUSHFOLD_BOOKING_BOOKINGACTIONS_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Booking/BookingRecord.h"

namespace bulrushfold {

/** Identifies one store call; its reply is delivered with the same number. */
using StoreOperation = std::uint64_t;

/** Identifies one message that waits for a reply; the daemon chooses it. */
using ReplyToken = std::uint64_t;

/** Calls ObjectStore::Get; its reply goes to BookingShard::OnRead. */
struct ReadObject
{
  StoreOperation mOperation = 0;
  std::string mKey;
};

/** Calls ObjectStore::Put; its reply goes to BookingShard::OnWritten. */
struct WriteObject
{
  StoreOperation mOperation = 0;
  std::string mKey;
  std::string mBody;
  /** Version that the object must have; empty if it must not exist. */
  std::optional<std::uint64_t> mExpected;
};

/** Calls ObjectStore::Delete; its reply goes to BookingShard::OnDeleted. */
struct DeleteObject
{
  StoreOperation mOperation = 0;
  std::string mKey;
};

/** Replies to a BookingBegin message. */
struct ReplyToBegin
{
  ReplyToken mToken = 0;
  wire::BookingBeginReply mReply;
};

/** Replies to a BookingResult message. */
struct ReplyToResult
{
  ReplyToken mToken = 0;
  wire::BookingResultReply mReply;
};

using BookingAction = std::
  variant<ReadObject, WriteObject, DeleteObject, ReplyToBegin, ReplyToResult>;
using BookingActions = std::vector<BookingAction>;

} // namespace bulrushfold

#endif
