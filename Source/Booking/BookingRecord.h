#ifndef BULRUSHFOLD_BOOKING_BOOKINGRECORD_H
#define BULRUSHFOLD_BOOKING_BOOKINGRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Booking_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Milliseconds since 1970, as in a UUIDv7. */
using KeyTime = std::int64_t;

/**
 * Key of a record. It contains the workspace, so that two workspaces that use
 * the same Idempotency-Key never see each other's answers.
 */
std::string MakeRecordKey(std::string_view aWorkspace,
                          std::string_view aIdempotencyKey);

/** Time inside the record key; empty when it holds no UUIDv7. */
std::optional<KeyTime> RecordKeyTime(std::string_view aRecordKey);

/** Shard of a record key, below aShards; the same in every daemon. */
std::uint64_t ShardOf(std::string_view aRecordKey, std::uint64_t aShards);

/** Store key of a shard's head object. */
std::string HeadObjectKey(std::uint64_t aShard);

/** Store key of a segment object; the epoch keeps two owners' names apart. */
std::string SegmentObjectKey(std::uint64_t aShard,
                             const wire::BookingSegmentRef& aRef);

/** About the encoded size of aRecord, in bytes. */
std::size_t RecordBytes(const wire::BookingRecord& aRecord);

/**
 * Text of a head or segment object: the Thrift compact encoding in base64,
 * because the object API passes bodies on inside JSON.
 */
std::string EncodeHead(const wire::BookingHead& aHead);
std::string EncodeSegment(const wire::BookingSegment& aSegment);

/** Inverse of the above; InvalidArgument when aBody is malformed. */
absl::StatusOr<wire::BookingHead> DecodeHead(std::string_view aBody);
absl::StatusOr<wire::BookingSegment> DecodeSegment(std::string_view aBody);

} // namespace bulrushfold

#endif
