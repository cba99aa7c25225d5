#include "Outcome/Traceparent.h"

#include <algorithm>

#include "Base/Secret.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kVersionDigits = 2;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kFlagsOffset = 53;
constexpr std::size_t kFlagsDigits = 2;
constexpr std::size_t kVersion00Length = 55;
constexpr unsigned char kSampledBit = 1;

bool
IsLowerHex(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aIt) {
    return (aIt >= '0' && aIt <= '9') || (aIt >= 'a' && aIt <= 'f');
  });
}

bool
IsZero(std::string_view aText)
{
  return aText.find_first_not_of('0') == std::string_view::npos;
}
} // namespace

std::optional<TraceContext>
ParseTraceparent(std::string_view aValue)
{
  if (aValue.size() < kVersion00Length) {
    return std::nullopt;
  }
  const auto version = aValue.substr(0, kVersionDigits);
  const auto traceId = aValue.substr(kTraceIdOffset, kTraceIdDigits);
  const auto spanId = aValue.substr(kSpanIdOffset, kSpanIdDigits);
  const auto flags = aValue.substr(kFlagsOffset, kFlagsDigits);
  for (const auto& it : { version, traceId, spanId, flags }) {
    if (!IsLowerHex(it)) {
      return std::nullopt;
    }
  }
  const bool hasDashes = aValue[kTraceIdOffset - 1] == '-' &&
                         aValue[kSpanIdOffset - 1] == '-' &&
                         aValue[kFlagsOffset - 1] == '-';
  const bool hasValidEnd = aValue.size() == kVersion00Length ||
                           (version != "00" && aValue[kVersion00Length] == '-');
  if (!hasDashes || !hasValidEnd || version == "ff" || IsZero(traceId) ||
      IsZero(spanId)) {
    return std::nullopt;
  }
  const auto bits = FromHex(flags);
  TraceContext context;
  context.mTraceId = std::string(traceId);
  context.mParentSpanId = std::string(spanId);
  context.mIsSampled =
    bits && (static_cast<unsigned char>((*bits)[0]) & kSampledBit) != 0;
  return context;
}

std::string
FormatTraceparent(const TraceContext& aContext)
{
  return absl::StrCat("00-",
                      aContext.mTraceId,
                      "-",
                      aContext.mParentSpanId,
                      aContext.mIsSampled ? "-01" : "-00");
}

} // namespace bulrushfold
