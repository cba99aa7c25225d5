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

std::vector<std::string>
RecentChanges(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  std::vector<std::string> recent;
  if (!json.is_object() || !json.contains(kRecentChanges) ||
      !json[kRecentChanges].is_array()) {
    return recent;
  }
  for (const auto& it : json[kRecentChanges]) {
    if (it.is_string()) {
      recent.push_back(it.get<std::string>());
    }
  }
  return recent;
}

std::string
AddChange(const std::string& aBody,
          const std::string& aId,
          std::vector<std::string> aRecent)
{
  Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return aBody;
  }
  aRecent.insert(aRecent.begin(), ChangeDigest(aId));
  if (aRecent.size() > kMaxRecentChanges) {
    aRecent.resize(kMaxRecentChanges);
  }
  json[kRecentChanges] = aRecent;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bulrushfold
