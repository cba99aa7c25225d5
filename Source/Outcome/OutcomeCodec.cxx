#include "Outcome/OutcomeCodec.h"

#include <optional>
#include <utility>

#include "Base/Identifiers.h"
#include "Base/Secret.h"
#include "Outcome/RequestId.h"
#include "Wire/ThriftCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr Duration kTimeUnit = std::chrono::microseconds(100);
constexpr std::size_t kIdBytes = 16;
constexpr std::size_t kMaxEndpointsPerRecord = 64;

std::int64_t
ToUnits(Duration aTime)
{
  return (aTime + kTimeUnit / 2) / kTimeUnit;
}

/** Returns the bytes of a request id; empty when aId is not a UUIDv7. */
std::optional<std::string>
IdToBytes(const std::string& aId)
{
  return UuidV7Time(aId) ? FromHex(TraceIdOf(aId)) : std::nullopt;
}

/** Inverse of IdToBytes. */
std::optional<std::string>
BytesToId(const std::string& aBytes)
{
  if (aBytes.size() != kIdBytes) {
    return std::nullopt;
  }
  std::string id = ToHex(aBytes);
  for (const std::size_t it : { 8, 13, 18, 23 }) {
    id.insert(it, "-");
  }
  return UuidV7Time(id) ? std::make_optional(id) : std::nullopt;
}

std::int64_t
StartOffset(const std::string& aId, WallTime aStart)
{
  return (aStart - UuidV7Time(aId).value_or(aStart)).count();
}

/** Adds records to a batch and to its tables of names and endpoints. */
class Encoder
{
public:
  explicit Encoder(wire::OutcomeBatch& aBatch)
    : mBatch(aBatch)
    , mNames(aBatch.names)
  {
  }

  void Add(const BeginRecord& aRecord)
  {
    wire::OutcomeBegin begin;
    if (EncodeCommon(aRecord, begin)) {
      mBatch.begins.push_back(std::move(begin));
    }
  }

  void Add(const OutcomeRecord& aRecord)
  {
    wire::OutcomeEnd end;
    if (!EncodeCommon(aRecord, end)) {
      return;
    }
    const auto traceId = FromHex(aRecord.mTraceId);
    if (traceId && *traceId != end.id) {
      end.__set_traceId(*traceId);
    }
    EncodeEndpoints(aRecord, end);
    EncodeTimes(aRecord, end);
    EncodeResult(aRecord, end);
    mBatch.ends.push_back(std::move(end));
  }

private:
  template<typename Record, typename Message>
  bool EncodeCommon(const Record& aRecord, Message& aMessage)
  {
    const auto id = IdToBytes(aRecord.mRequestId);
    if (!id) {
      return false;
    }
    aMessage.id = *id;
    aMessage.workspace = mNames.IndexOf(aRecord.mWorkspace);
    aMessage.target = mNames.IndexOf(aRecord.mTarget);
    const auto offset = StartOffset(aRecord.mRequestId, aRecord.mStart);
    if (offset != 0) {
      aMessage.__set_startOffset(offset);
    }
    return true;
  }

  void EncodeEndpoints(const OutcomeRecord& aRecord, wire::OutcomeEnd& aEnd)
  {
    for (const auto& it : aRecord.mEndpoints) {
      aEnd.endpoints.push_back(EndpointIndex(it));
    }
    aEnd.__isset.endpoints = !aEnd.endpoints.empty();
    if (aRecord.BlamedEndpoint() != nullptr) {
      aEnd.__set_blamed(static_cast<std::int32_t>(*aRecord.mBlamedIndex));
    }
  }

  void EncodeTimes(const OutcomeRecord& aRecord, wire::OutcomeEnd& aEnd)
  {
    aEnd.total = ToUnits(aRecord.mTotal);
    if (aRecord.mFirstToken) {
      aEnd.__set_firstToken(ToUnits(*aRecord.mFirstToken));
    }
    if (aRecord.mStatus == OutcomeStatus::Served) {
      return;
    }
    for (std::size_t i = 0; i < kHopCount; ++i) {
      if (const auto n = ToUnits(aRecord.mHopTimes[i]); n > 0) {
        aEnd.hopTimes.push_back(static_cast<std::int32_t>(i));
        aEnd.hopTimes.push_back(static_cast<std::int32_t>(n));
      }
    }
    aEnd.__isset.hopTimes = !aEnd.hopTimes.empty();
  }

  void EncodeResult(const OutcomeRecord& aRecord, wire::OutcomeEnd& aEnd)
  {
    if (aRecord.mTokens > 0) {
      aEnd.__set_tokens(static_cast<std::int64_t>(aRecord.mTokens));
    }
    if (aRecord.mAttempts != 1) {
      aEnd.__set_attempts(static_cast<std::int64_t>(aRecord.mAttempts));
    }
    if (aRecord.mStatus != OutcomeStatus::Served) {
      aEnd.__set_status(static_cast<std::int32_t>(aRecord.mStatus));
    }
    if (aRecord.mCause != Cause::ServedInTime) {
      aEnd.__set_cause(static_cast<std::int32_t>(aRecord.mCause));
    }
    aEnd.hop = static_cast<std::int32_t>(aRecord.mHop);
    aEnd.preset = mNames.IndexOf(aRecord.mPreset);
    aEnd.presetVersion = static_cast<std::int64_t>(aRecord.mPresetVersion);
  }

  std::int32_t EndpointIndex(const EndpointUse& aUse)
  {
    const auto key = std::make_pair(aUse.mName, aUse.mFailureDomain);
    const auto next = static_cast<std::int32_t>(mBatch.endpoints.size());
    const auto [it, isNew] = mEndpoints.emplace(key, next);
    if (isNew) {
      wire::OutcomeEndpoint endpoint;
      endpoint.name = mNames.IndexOf(aUse.mName);
      endpoint.failureDomain = mNames.IndexOf(aUse.mFailureDomain);
      mBatch.endpoints.push_back(endpoint);
    }
    return it->second;
  }

  wire::OutcomeBatch& mBatch;
  NameTable mNames;
  std::map<std::pair<std::string, std::string>, std::int32_t> mEndpoints;
};

/** Decodes a batch and records the first error. */
class Decoder
{
public:
  explicit Decoder(const wire::OutcomeBatch& aBatch)
    : mBatch(aBatch)
  {
  }

  absl::StatusOr<OutcomeRecords> Decode()
  {
    OutcomeRecords records;
    records.mDaemon = mBatch.daemon;
    records.mIncarnation = mBatch.incarnation;
    for (const auto& it : mBatch.begins) {
      BeginRecord begin;
      DecodeCommon(it, begin);
      begin.mIncarnation = mBatch.incarnation;
      records.mBegins.push_back(std::move(begin));
    }
    for (const auto& it : mBatch.ends) {
      records.mEnds.push_back(DecodeEnd(it));
    }
    if (!mError.empty()) {
      return absl::InvalidArgumentError("outcome batch: " + mError);
    }
    return records;
  }

private:
  void RecordError(std::string_view aWhat)
  {
    if (mError.empty()) {
      mError = absl::StrCat("invalid ", std::string(aWhat));
    }
  }

  std::string NameAt(std::int32_t aIndex)
  {
    if (aIndex < 0 || static_cast<std::size_t>(aIndex) >= mBatch.names.size()) {
      RecordError("name index");
      return {};
    }
    return mBatch.names[static_cast<std::size_t>(aIndex)];
  }

  EndpointUse EndpointAt(std::int32_t aIndex)
  {
    if (aIndex < 0 ||
        static_cast<std::size_t>(aIndex) >= mBatch.endpoints.size()) {
      RecordError("endpoint index");
      return {};
    }
    const auto& it = mBatch.endpoints[static_cast<std::size_t>(aIndex)];
    return { NameAt(it.name), NameAt(it.failureDomain) };
  }

  Duration DecodeTime(std::int64_t aUnits)
  {
    constexpr std::int64_t kMaxUnits = 7LL * 24 * 3600 * 10'000;
    if (aUnits < 0 || aUnits > kMaxUnits) {
      RecordError("time");
      return {};
    }
    return aUnits * kTimeUnit;
  }

  std::uint64_t DecodeCount(std::int64_t aCount)
  {
    if (aCount < 0) {
      RecordError("count");
      return 0;
    }
    return static_cast<std::uint64_t>(aCount);
  }

  template<typename Message, typename Record>
  void DecodeCommon(const Message& aMessage, Record& aRecord)
  {
    constexpr std::int64_t kMaxOffset = 24LL * 3600 * 1000;
    const auto id = BytesToId(aMessage.id);
    if (!id) {
      RecordError("request id");
      return;
    }
    const std::int64_t offset =
      aMessage.__isset.startOffset ? aMessage.startOffset : 0;
    if (offset < -kMaxOffset || offset > kMaxOffset) {
      RecordError("start");
      return;
    }
    aRecord.mRequestId = *id;
    aRecord.mWorkspace = NameAt(aMessage.workspace);
    aRecord.mTarget = NameAt(aMessage.target);
    aRecord.mDaemon = mBatch.daemon;
    aRecord.mStart = *UuidV7Time(*id) + std::chrono::milliseconds(offset);
  }

  OutcomeRecord DecodeEnd(const wire::OutcomeEnd& aEnd)
  {
    OutcomeRecord record;
    DecodeCommon(aEnd, record);
    record.mTraceId = TraceIdOf(record.mRequestId);
    if (aEnd.__isset.traceId) {
      if (aEnd.traceId.size() != kIdBytes) {
        RecordError("trace id");
      }
      record.mTraceId = ToHex(aEnd.traceId);
    }
    DecodeEndpoints(aEnd, record);
    DecodeTimes(aEnd, record);
    DecodeResult(aEnd, record);
    return record;
  }

  void DecodeEndpoints(const wire::OutcomeEnd& aEnd, OutcomeRecord& aRecord)
  {
    if (aEnd.endpoints.size() > kMaxEndpointsPerRecord) {
      RecordError("number of endpoints");
      return;
    }
    for (const auto it : aEnd.endpoints) {
      aRecord.mEndpoints.push_back(EndpointAt(it));
    }
    if (aEnd.__isset.blamed) {
      aRecord.mBlamedIndex = static_cast<std::size_t>(aEnd.blamed);
      if (aRecord.BlamedEndpoint() == nullptr) {
        RecordError("blamed endpoint");
      }
    }
  }

  void DecodeTimes(const wire::OutcomeEnd& aEnd, OutcomeRecord& aRecord)
  {
    aRecord.mTotal = DecodeTime(aEnd.total);
    if (aEnd.__isset.firstToken) {
      aRecord.mFirstToken = DecodeTime(aEnd.firstToken);
    }
    const auto& times = aEnd.hopTimes;
    if (times.size() % 2 != 0 || times.size() > 2 * kHopCount) {
      RecordError("times by hop");
      return;
    }
    for (std::size_t i = 0; i < times.size(); i += 2) {
      const auto hop = HopOfNumber(times[i]);
      if (!hop) {
        RecordError("hop");
        return;
      }
      aRecord.mHopTimes[HopIndex(*hop)] = DecodeTime(times[i + 1]);
    }
  }

  void DecodeResult(const wire::OutcomeEnd& aEnd, OutcomeRecord& aRecord)
  {
    aRecord.mTokens = DecodeCount(aEnd.__isset.tokens ? aEnd.tokens : 0);
    aRecord.mAttempts = DecodeCount(aEnd.__isset.attempts ? aEnd.attempts : 1);
    const auto status =
      OutcomeStatusOfNumber(aEnd.__isset.status ? aEnd.status : 0);
    const auto cause = CauseOfNumber(aEnd.__isset.cause ? aEnd.cause : 0);
    const auto hop = HopOfNumber(aEnd.hop);
    if (!status || !cause || !hop) {
      RecordError("status, cause or hop");
      return;
    }
    aRecord.mStatus = *status;
    aRecord.mCause = *cause;
    aRecord.mHop = *hop;
    aRecord.mPreset = NameAt(aEnd.preset);
    aRecord.mPresetVersion = DecodeCount(aEnd.presetVersion);
  }

  const wire::OutcomeBatch& mBatch;
  std::string mError;
};

} // namespace

std::int32_t
NameTable::IndexOf(const std::string& aName)
{
  const auto next = static_cast<std::int32_t>(mNames.size());
  const auto [it, isNew] = mIndices.emplace(aName, next);
  if (isNew) {
    mNames.push_back(aName);
  }
  return it->second;
}

wire::OutcomeBatch
EncodeOutcomes(const OutcomeRecords& aRecords)
{
  wire::OutcomeBatch batch;
  batch.daemon = aRecords.mDaemon;
  batch.incarnation = aRecords.mIncarnation;
  Encoder encoder(batch);
  for (const auto& it : aRecords.mBegins) {
    encoder.Add(it);
  }
  for (const auto& it : aRecords.mEnds) {
    encoder.Add(it);
  }
  return batch;
}

std::string
PackOutcome(const OutcomeRecord& aRecord)
{
  wire::OutcomeBatch batch;
  Encoder(batch).Add(aRecord);
  return batch.ends.empty() ? std::string() : EncodeThrift(batch);
}

std::optional<OutcomeRecord>
UnpackOutcome(const std::string& aPacked, const std::string& aDaemon)
{
  auto batch = DecodeThrift<wire::OutcomeBatch>(aPacked);
  if (!batch.ok()) {
    return std::nullopt;
  }
  batch->daemon = aDaemon;
  auto records = DecodeOutcomes(*batch);
  if (!records.ok() || records->mEnds.empty()) {
    return std::nullopt;
  }
  return std::move(records->mEnds.front());
}

absl::StatusOr<OutcomeRecords>
DecodeOutcomes(const wire::OutcomeBatch& aBatch)
{
  return Decoder(aBatch).Decode();
}

} // namespace bulrushfold
