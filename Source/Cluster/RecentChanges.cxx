#include "Cluster/RecentChanges.h"

#include <nlohmann/json.hpp>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

constexpr const char* kRecentChanges = "recent_changes";
constexpr std::size_t kChangeDigestDigits = 16;

} // namespace

std::string
ChangeDigest(const std::string& aId)
{
  return DigestHex(aId).substr(0, kChangeDigestDigits);
}

std::vector<RecentChange>
RecentChanges(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  std::vector<RecentChange> recent;
  if (!json.is_object() || !json.contains(kRecentChanges) ||
      !json[kRecentChanges].is_array()) {
    return recent;
  }
  for (const auto& it : json[kRecentChanges]) {
    const bool isChange = it.is_array() && it.size() == 2 &&
                          it[0].is_string() && it[1].is_number_unsigned();
    if (isChange) {
      recent.push_back(
        { it[0].get<std::string>(), it[1].get<std::uint64_t>() });
    }
  }
  return recent;
}

std::string
AddChange(const std::string& aBody,
          const RecentChange& aChange,
          std::vector<RecentChange> aRecent)
{
  Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return aBody;
  }
  aRecent.insert(aRecent.begin(), aChange);
  if (aRecent.size() > kMaxRecentChanges) {
    aRecent.resize(kMaxRecentChanges);
  }
  Json list = Json::array();
  for (const auto& it : aRecent) {
    list.push_back(Json::array({ it.mDigest, it.mBase }));
  }
  json[kRecentChanges] = std::move(list);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bulrushfold
