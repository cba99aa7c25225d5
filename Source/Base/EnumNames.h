#ifndef BULRUSHFOLD_BASE_ENUMNAMES_H
#define BULRUSHFOLD_BASE_ENUMNAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace bulrushfold {

/** Table of the values of an enumeration and their names. */
template<typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/** Name of aValue; "unknown" when the table has no entry for it. */
template<typename Enum, std::size_t Count>
constexpr std::string_view
FindEnumName(const EnumNames<Enum, Count>& aNames, Enum aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/** Value named aName; empty when the table has no such name. */
template<typename Enum, std::size_t Count>
constexpr std::optional<Enum>
FindEnumValue(const EnumNames<Enum, Count>& aNames, std::string_view aName)
{
  for (const auto& [value, name] : aNames) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace bulrushfold

#endif
