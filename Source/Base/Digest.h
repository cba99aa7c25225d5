#ifndef BULRUSHFOLD_BASE_DIGEST_H
#define BULRUSHFOLD_BASE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushfold {

/** 64-bit XXH3 hash of aData; the same in every process and version. */
std::uint64_t Hash64(std::string_view aData, std::uint64_t aSeed = 0);

/** 128-bit XXH3 hash of aData as 32 hexadecimal digits. */
std::string DigestHex(std::string_view aData);

} // namespace bulrushfold

#endif
