#ifndef BULRUSHFOLD_BOOKING_BOOKINGRECORD_H
#define BULRUSHFOLD_BOOKING_BOOKINGRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Booking_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Time in a key: milliseconds since 1970, as in a UUIDv7. */
using KeyTime = std::int64_t;

/**
 * Makes the key of a record. The key contains the workspace, so that two
 * workspaces that use the same Idempotency-Key never receive each other's
 * answers.
 */
std::string MakeRecordKey(std::string_view aWorkspace,
                          std::string_view aIdempotencyKey);

/** Time in the UUIDv7 of a record key; empty when the key has no UUIDv7. */
std::optional<KeyTime> RecordKeyTime(std::string_view aRecordKey);

/**
 * Shard of a record key, from 0 to aShards - 1. All daemons compute the same
 * shard for a key.
 */
std::uint64_t ShardOf(std::string_view aRecordKey, std::uint64_t aShards);

/** Store key of a shard's head object. */
std::string HeadObjectKey(std::uint64_t aShard);

/**
 * Store key of a segment object. It contains the owner's epoch, so that two
 * owners never write the same object.
 */
std::string SegmentObjectKey(std::uint64_t aShard,
                             const wire::BookingSegmentRef& aRef);

/** Approximate encoded size of aRecord in bytes, before base64. */
std::size_t RecordBytes(const wire::BookingRecord& aRecord);

/**
 * Encodes the body of a head or segment object: the Thrift compact encoding in
 * base64, because the object API transmits bodies inside JSON.
 */
std::string EncodeHead(const wire::BookingHead& aHead);
std::string EncodeSegment(const wire::BookingSegment& aSegment);

/** Decodes such a body; returns InvalidArgument when aBody is malformed. */
absl::StatusOr<wire::BookingHead> DecodeHead(std::string_view aBody);
absl::StatusOr<wire::BookingSegment> DecodeSegment(std::string_view aBody);

} // namespace bulrushfold

#endif
