#include "Base/Digest.h"

#include <xxhash.h>

#include "Base/Secret.h"

namespace bulrushfold {

std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

std::string
DigestHex(std::string_view aData)
{
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical,
                           XXH3_128bits(aData.data(), aData.size()));
  const auto* bytes = reinterpret_cast<const char*>(canonical.digest);
  return ToHex(std::string_view(bytes, sizeof(canonical.digest)));
}

} // namespace bulrushfold
