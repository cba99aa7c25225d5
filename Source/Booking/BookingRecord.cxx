#include "Booking/BookingRecord.h"

#include "Base/Digest.h"
#include "Base/Identifiers.h"
#include "Wire/ThriftCodec.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

// Encoded size of one record's field headers, string lengths and numbers.
constexpr std::size_t kRecordOverheadBytes = 32;

template<typename Message>
absl::StatusOr<Message>
DecodeText(std::string_view aBody)
{
  std::string bytes;
  if (!absl::Base64Unescape({ aBody.data(), aBody.size() }, &bytes)) {
    return absl::InvalidArgumentError("booking object: not base64");
  }
  return DecodeThrift<Message>(bytes);
}

} // namespace

std::string
MakeRecordKey(std::string_view aWorkspace, std::string_view aIdempotencyKey)
{
  // UUIDs that differ only in letter case are equal.
  return absl::StrCat(std::string(aWorkspace),
                      "/",
                      absl::AsciiStrToLower(std::string(aIdempotencyKey)));
}

std::optional<KeyTime>
RecordKeyTime(std::string_view aRecordKey)
{
  const auto slash = aRecordKey.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto time = UuidV7Time(aRecordKey.substr(slash + 1));
  if (!time) {
    return std::nullopt;
  }
  return time->time_since_epoch().count();
}

std::uint64_t
ShardOf(std::string_view aRecordKey, std::uint64_t aShards)
{
  return Hash64(aRecordKey) % aShards;
}

std::string
HeadObjectKey(std::uint64_t aShard)
{
  return absl::StrCat("booking/shard-", aShard);
}

std::string
SegmentObjectKey(std::uint64_t aShard, const wire::BookingSegmentRef& aRef)
{
  return absl::StrCat(
    "booking/segment-", aShard, "-", aRef.epoch, "-", aRef.number);
}

std::size_t
RecordBytes(const wire::BookingRecord& aRecord)
{
  std::size_t bytes = kRecordOverheadBytes + aRecord.key.size() +
                      aRecord.digest.size() + aRecord.holder.size() +
                      aRecord.request.size();
  if (aRecord.__isset.answer) {
    bytes += aRecord.answer.body.size() + aRecord.answer.contentType.size();
  }
  return bytes;
}

std::string
EncodeHead(const wire::BookingHead& aHead)
{
  return absl::Base64Escape(EncodeThrift(aHead));
}

std::string
EncodeSegment(const wire::BookingSegment& aSegment)
{
  return absl::Base64Escape(EncodeThrift(aSegment));
}

absl::StatusOr<wire::BookingHead>
DecodeHead(std::string_view aBody)
{
  return DecodeText<wire::BookingHead>(aBody);
}

absl::StatusOr<wire::BookingSegment>
DecodeSegment(std::string_view aBody)
{
  return DecodeText<wire::BookingSegment>(aBody);
}

} // namespace bulrushfold
