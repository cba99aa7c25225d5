#ifndef BULRUSHFOLD_BASE_UNTRUSTEDJSON_H
#define BULRUSHFOLD_BASE_UNTRUSTEDJSON_H

#include <cstddef>
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

} // namespace bulrushfold

#endif
