#include "Base/Identifiers.h"

#include <array>
#include <cstdint>

#include "Base/Secret.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kUuidLength = 36;
constexpr std::array<std::size_t, 4> kUuidDashes{ 8, 13, 18, 23 };
constexpr std::size_t kVersionDigit = 14;
constexpr std::size_t kVariantDigit = 19;
constexpr std::size_t kTimeDigits = 12;
constexpr std::uint64_t kRandomAMask = 0xfff;
constexpr std::uint64_t kVersion7 = 0x7000;
constexpr std::uint64_t kVariantBits = 0x8000000000000000;
constexpr std::uint64_t kVariantMask = 0x3fffffffffffffff;

std::string
Hex64(std::uint64_t aValue)
{
  return absl::StrCat(absl::Hex(aValue, absl::kZeroPad16));
}

bool
IsDash(std::size_t aIndex)
{
  for (const auto dash : kUuidDashes) {
    if (dash == aIndex) {
      return true;
    }
  }
  return false;
}
} // namespace

std::string
MakeUuidV7(WallTime aTime, Random& aRandom)
{
  const auto millis =
    static_cast<std::uint64_t>(aTime.time_since_epoch().count());
  const auto high =
    (millis << 16) | kVersion7 | (aRandom.Bits() & kRandomAMask);
  const auto low = kVariantBits | (aRandom.Bits() & kVariantMask);
  const auto digits = Hex64(high) + Hex64(low);
  return absl::StrCat(digits.substr(0, 8),
                      "-",
                      digits.substr(8, 4),
                      "-",
                      digits.substr(12, 4),
                      "-",
                      digits.substr(16, 4),
                      "-",
                      digits.substr(20));
}

std::optional<WallTime>
UuidV7Time(std::string_view aText)
{
  if (aText.size() != kUuidLength || aText[kVersionDigit] != '7') {
    return std::nullopt;
  }
  if (std::string_view("89abAB").find(aText[kVariantDigit]) ==
      std::string_view::npos) {
    return std::nullopt;
  }
  std::string digits;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (!IsDash(i)) {
      digits += aText[i];
    } else if (aText[i] != '-') {
      return std::nullopt;
    }
  }
  const auto bytes = FromHex(digits);
  if (!bytes) {
    return std::nullopt;
  }
  std::uint64_t millis = 0;
  for (std::size_t i = 0; i < kTimeDigits / 2; ++i) {
    millis = (millis << 8) | static_cast<unsigned char>((*bytes)[i]);
  }
  return WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(millis)));
}

std::string
MakeSpanId(Random& aRandom)
{
  return Hex64(aRandom.Bits() | 1);
}

std::string
MakeTraceId(Random& aRandom)
{
  return Hex64(aRandom.Bits()) + Hex64(aRandom.Bits() | 1);
}

} // namespace bulrushfold
