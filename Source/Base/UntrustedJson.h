#ifndef BULRUSHFOLD_BASE_UNTRUSTEDJSON_H
#define BULRUSHFOLD_BASE_UNTRUSTEDJSON_H

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace bulrushfold {

/** Nesting depth up to which ParseUntrustedJson keeps arrays and objects. The
 * library recurses when it copies, compares or writes a value. */
constexpr std::size_t kMaxJsonDepth = 64;

/**
 * Parses the JSON text of another process. A value that can't be represented
 * doesn't affect the values next to it: an array or object nested deeper than
 * kMaxJsonDepth, a number beyond 1e300 and a text that is not
 * Unicode become discarded values. The result itself is discarded if aText is
 * not JSON for another reason. Never throws.
 */
nlohmann::json ParseUntrustedJson(std::string_view aText);

/** True if aJson or a value in it is discarded. */
bool HasDiscardedValue(const nlohmann::json& aJson);

/** Value of a JSON number; empty if aJson is not a whole number in the range of
 * Integer. The library converts such values without a check. */
template<typename Integer>
std::optional<Integer>
IntegerOf(const nlohmann::json& aJson)
{
  using Limits = std::numeric_limits<Integer>;
  bool isInRange = false;
  if (aJson.is_number_unsigned()) {
    isInRange =
      aJson.get<std::uint64_t>() <= static_cast<std::uint64_t>(Limits::max());
  } else if (aJson.is_number_integer()) {
    const auto value = aJson.get<std::int64_t>();
    isInRange = value >= static_cast<std::int64_t>(Limits::min()) &&
                (value < 0 || static_cast<std::uint64_t>(value) <=
                                static_cast<std::uint64_t>(Limits::max()));
  } else if (aJson.is_number_float()) {
    const auto value = aJson.get<double>();
    isInRange = std::trunc(value) == value &&
                value >= static_cast<double>(Limits::min()) &&
                value < std::ldexp(1.0, Limits::digits);
  }
  return isInRange ? std::make_optional(aJson.get<Integer>()) : std::nullopt;
}

} // namespace bulrushfold

#endif
