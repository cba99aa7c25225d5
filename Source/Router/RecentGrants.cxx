#include "Router/RecentGrants.h"

#include <cstddef>

#include "Base/Digest.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kMaxGrants = 8192;
} // namespace

bool
RecentGrants::Add(std::string_view aStep,
                  const std::string& aEndpoint,
                  const std::string& aHandle)
{
  const std::uint64_t hash =
    Hash64(absl::StrCat(std::string(aStep), " ", aEndpoint, " ", aHandle));
  if (!mGrants.insert(hash).second) {
    return false;
  }
  mOrder.push_back(hash);
  if (mOrder.size() > kMaxGrants) {
    mGrants.erase(mOrder.front());
    mOrder.pop_front();
  }
  return true;
}

} // namespace bulrushfold
