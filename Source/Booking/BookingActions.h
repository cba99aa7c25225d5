#ifndef BULRUSHFOLD_BOOKING_BOOKINGACTIONS_H
#define BULRUSHFOLD_BOOKING_BOOKINGACTIONS_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Booking/BookingRecord.h"

namespace bulrushfold {

/** Names one store call; its answer is passed back with the same number. */
using StoreOperation = std::uint64_t;

/** Names one message that waits for a reply; chosen by the daemon. */
using ReplyToken = std::uint64_t;

/** ObjectStore::Get, then BookingShard::OnRead. */
struct ReadObject
{
  StoreOperation mOperation = 0;
  std::string mKey;
};

/** ObjectStore::Put, then BookingShard::OnWritten. */
struct WriteObject
{
  StoreOperation mOperation = 0;
  std::string mKey;
  std::string mBody;
  /** Empty: the object must not exist. */
  std::optional<std::uint64_t> mExpected;
};

/** ObjectStore::Delete, then BookingShard::OnDeleted. */
struct DeleteObject
{
  StoreOperation mOperation = 0;
  std::string mKey;
};

/** Replies to a BookingBegin. */
struct ReplyToBegin
{
  ReplyToken mToken = 0;
  wire::BookingBeginReply mReply;
};

/** Replies to a BookingResult. */
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
