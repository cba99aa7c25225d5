#include "Outcome/ReportPart.h"

#include <algorithm>

#include "Outcome/OutcomeCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr std::int32_t kCurrentWindow = 0;
constexpr std::int32_t kPreviousWindow = 1;

void
EncodeCounts(const OutcomeCounts& aCounts,
             std::int32_t aWindow,
             NameTable& aNames,
             wire::ReportPart& aPart)
{
  for (const auto& [key, count] : aCounts) {
    wire::ReportCount it;
    it.window = aWindow;
    it.cause = static_cast<std::int32_t>(key.mCause);
    it.status = static_cast<std::int32_t>(key.mStatus);
    it.hop = static_cast<std::int32_t>(key.mHop);
    it.endpoint = aNames.IndexOf(key.mEndpoint);
    it.failureDomain = aNames.IndexOf(key.mFailureDomain);
    it.workspace = aNames.IndexOf(key.mWorkspace);
    it.target = aNames.IndexOf(key.mTarget);
    it.count = static_cast<std::int64_t>(count);
    aPart.counts.push_back(it);
  }
}

/** Decodes parts and records whether all of them were valid. */
class PartDecoder
{
public:
  explicit PartDecoder(const std::vector<std::string>& aNames)
    : mNames(aNames)
  {
  }

  ReportPart Decode(const wire::ReportPart& aPart)
  {
    ReportPart part;
    part.mDaemon = aPart.daemon;
    part.mIncarnation = aPart.incarnation;
    part.mIsOwn = aPart.isOwn;
    for (const auto& it : aPart.counts) {
      AddCount(it, part);
    }
    for (const auto& it : aPart.minutes) {
      const auto cause = CauseOfNumber(it.cause);
      mIsValid = mIsValid && cause && it.count >= 0;
      part.mMinutes.push_back({ it.minute,
                                cause.value_or(Cause::InternalError),
                                static_cast<std::uint64_t>(it.count) });
    }
    return part;
  }

  bool IsValid() const { return mIsValid; }

private:
  const std::string& NameAt(std::int32_t aIndex)
  {
    static const std::string kEmpty;
    if (aIndex < 0 || static_cast<std::size_t>(aIndex) >= mNames.size()) {
      mIsValid = false;
      return kEmpty;
    }
    return mNames[static_cast<std::size_t>(aIndex)];
  }

  void AddCount(const wire::ReportCount& aCount, ReportPart& aPart)
  {
    const auto cause = CauseOfNumber(aCount.cause);
    const auto status = OutcomeStatusOfNumber(aCount.status);
    const auto hop = HopOfNumber(aCount.hop);
    if (!cause || !status || !hop || aCount.count < 0 ||
        aCount.window < kCurrentWindow || aCount.window > kPreviousWindow) {
      mIsValid = false;
      return;
    }
    OutcomeKey key;
    key.mCause = *cause;
    key.mStatus = *status;
    key.mHop = *hop;
    key.mEndpoint = NameAt(aCount.endpoint);
    key.mFailureDomain = NameAt(aCount.failureDomain);
    key.mWorkspace = NameAt(aCount.workspace);
    key.mTarget = NameAt(aCount.target);
    auto& counts =
      aCount.window == kCurrentWindow ? aPart.mCurrent : aPart.mPrevious;
    counts[key] += static_cast<std::uint64_t>(aCount.count);
  }

  const std::vector<std::string>& mNames;
  bool mIsValid = true;
};

} // namespace

ReportWindow
MakeReportWindow(Minute aLast, int aMinutes)
{
  const Minute n = std::clamp(aMinutes, 1, kMaxReportMinutes);
  ReportWindow window;
  window.mCurrent = { aLast - n + 1, aLast };
  window.mPrevious = { aLast - 2 * n + 1, aLast - n };
  return window;
}

wire::ReportReply
EncodeReportParts(const std::vector<ReportPart>& aParts)
{
  wire::ReportReply reply;
  NameTable names(reply.names);
  for (const auto& it : aParts) {
    wire::ReportPart part;
    part.daemon = it.mDaemon;
    part.incarnation = it.mIncarnation;
    part.isOwn = it.mIsOwn;
    EncodeCounts(it.mCurrent, kCurrentWindow, names, part);
    EncodeCounts(it.mPrevious, kPreviousWindow, names, part);
    for (const auto& minute : it.mMinutes) {
      wire::ReportMinute encoded;
      encoded.minute = minute.mMinute;
      encoded.cause = static_cast<std::int32_t>(minute.mCause);
      encoded.count = static_cast<std::int64_t>(minute.mCount);
      part.minutes.push_back(encoded);
    }
    reply.parts.push_back(std::move(part));
  }
  return reply;
}

absl::StatusOr<std::vector<ReportPart>>
DecodeReportParts(const wire::ReportReply& aReply)
{
  PartDecoder decoder(aReply.names);
  std::vector<ReportPart> parts;
  for (const auto& it : aReply.parts) {
    parts.push_back(decoder.Decode(it));
  }
  if (!decoder.IsValid()) {
    return absl::InvalidArgumentError("report reply: invalid index or number");
  }
  return parts;
}

} // namespace bulrushfold
