#include "Cluster/MergePatch.h"

#include <nlohmann/json.hpp>

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

/** Returns the patch from object aBase to object aTarget. */
Json
Difference(const Json& aBase, const Json& aTarget)
{
  Json patch = Json::object();
  for (const auto& [key, value] : aBase.items()) {
    if (!aTarget.contains(key)) {
      patch[key] = nullptr;
    }
  }
  for (const auto& [key, value] : aTarget.items()) {
    const auto it = aBase.find(key);
    if (it != aBase.end() && *it == value) {
      continue;
    }
    const bool isNested =
      it != aBase.end() && it->is_object() && value.is_object();
    patch[key] = isNested ? Difference(*it, value) : value;
  }
  return patch;
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::optional<std::string>
MakeMergePatch(const std::string& aBase, const std::string& aTarget)
{
  const Json base = Json::parse(aBase, nullptr, false);
  const Json target = Json::parse(aTarget, nullptr, false);
  if (!base.is_object() || !target.is_object()) {
    return std::nullopt;
  }
  const Json patch = Difference(base, target);
  std::string text = Dump(patch);
  // A merge patch cannot express a null inside the target.
  Json applied = base;
  applied.merge_patch(patch);
  if (applied != target || text.size() >= aTarget.size()) {
    return std::nullopt;
  }
  return text;
}

std::optional<std::string>
ApplyMergePatch(const std::string& aBase, const std::string& aPatch)
{
  Json base = Json::parse(aBase, nullptr, false);
  const Json patch = Json::parse(aPatch, nullptr, false);
  if (base.is_discarded() || patch.is_discarded()) {
    return std::nullopt;
  }
  base.merge_patch(patch);
  return Dump(base);
}

std::string
CanonicalJson(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  return json.is_discarded() ? aBody : Dump(json);
}

} // namespace bulrushfold
