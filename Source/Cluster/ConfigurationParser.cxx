#include "Cluster/Configuration.h"

#include <cmath>
#include <functional>

#include <nlohmann/json.hpp>

#include "Base/EnumNames.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr EnumNames<EndpointKind, 2> kKindNames{ {
  { EndpointKind::Engine, "engine" },
  { EndpointKind::Service, "service" },
} };
constexpr EnumNames<EngineRole, 3> kRoleNames{ {
  { EngineRole::Prefill, "prefill" },
  { EngineRole::Decode, "decode" },
  { EngineRole::Both, "both" },
} };
constexpr EnumNames<EndpointState, 2> kStateNames{ {
  { EndpointState::Live, "live" },
  { EndpointState::Draining, "draining" },
} };
constexpr EnumNames<RequestClass, 2> kClassNames{ {
  { RequestClass::Interactive, "interactive" },
  { RequestClass::Patient, "patient" },
} };

constexpr std::size_t kSha256HexDigits = 64;
constexpr std::size_t kMaxFoundLength = 60;

/** Reads the members of a JSON object and collects problems with their
 * paths. */
class ObjectReader
{
public:
  ObjectReader(const Json& aJson,
               std::string aPath,
               std::vector<std::string>& aProblems)
    : mJson(aJson)
    , mPath(std::move(aPath))
    , mProblems(aProblems)
  {
    if (!mJson.is_object()) {
      AddProblem("", "an object", mJson);
    }
  }

  bool Has(const char* aKey) const
  {
    return mJson.is_object() && mJson.contains(aKey);
  }

  void AddProblem(const std::string& aKey,
                  const std::string& aExpected,
                  const Json& aFound)
  {
    mProblems.push_back(
      absl::StrCat(mPath,
                   aKey.empty() ? "" : "/",
                   aKey,
                   ": expected ",
                   aExpected,
                   ", found ",
                   aFound.dump(-1, ' ', false, Json::error_handler_t::replace)
                     .substr(0, kMaxFoundLength)));
  }

  void ReadText(const char* aKey, std::string& aValue, bool aRequired)
  {
    if (const Json* it = Member(aKey, aRequired, "a text"); it != nullptr) {
      if (!it->is_string() || it->get<std::string>().empty()) {
        AddProblem(aKey, "a text", *it);
        return;
      }
      aValue = it->get<std::string>();
    }
  }

  void ReadNumber(const char* aKey, double& aValue, double aMin, double aMax)
  {
    if (const Json* it = Member(aKey, false, ""); it != nullptr) {
      const double value = it->is_number() ? it->get<double>() : NAN;
      if (!(value >= aMin && value <= aMax)) {
        AddProblem(aKey, absl::StrCat("a number, ", aMin, " to ", aMax), *it);
        return;
      }
      aValue = value;
    }
  }

  void ReadCount(const char* aKey, std::uint64_t& aValue)
  {
    if (const Json* it = Member(aKey, false, ""); it != nullptr) {
      if (!it->is_number_unsigned()) {
        AddProblem(aKey, "a count", *it);
        return;
      }
      aValue = it->get<std::uint64_t>();
    }
  }

  void ReadMilliseconds(const char* aKey, Duration& aValue)
  {
    std::uint64_t n = 0;
    if (Has(aKey)) {
      constexpr std::uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;
      ReadCount(aKey, n);
      if (n == 0 || n > kMaxMilliseconds) {
        AddProblem(aKey, "milliseconds, 1 to 86400000", mJson[aKey]);
        return;
      }
      aValue = std::chrono::milliseconds(n);
    }
  }

  void ReadFlag(const char* aKey, bool& aValue)
  {
    if (const Json* it = Member(aKey, false, ""); it != nullptr) {
      if (!it->is_boolean()) {
        AddProblem(aKey, "true or false", *it);
        return;
      }
      aValue = it->get<bool>();
    }
  }

  void ReadTexts(const char* aKey, std::vector<std::string>& aValues)
  {
    if (const Json* it = Member(aKey, false, ""); it != nullptr) {
      const bool isValid =
        it->is_array() &&
        std::all_of(it->begin(), it->end(), [](const Json& aItem) {
          return aItem.is_string();
        });
      if (!isValid) {
        AddProblem(aKey, "a list of texts", *it);
        return;
      }
      aValues = it->get<std::vector<std::string>>();
    }
  }

  template<typename Enum, std::size_t Count>
  void ReadName(const char* aKey,
                const EnumNames<Enum, Count>& aNames,
                Enum& aValue)
  {
    if (const Json* it = Member(aKey, false, ""); it != nullptr) {
      const auto value = it->is_string()
                           ? FindEnumValue(aNames, it->get<std::string>())
                           : std::nullopt;
      if (!value) {
        AddProblem(
          aKey,
          absl::StrCat("one of ",
                       absl::StrJoin(aNames,
                                     ", ",
                                     [](std::string* aOut, const auto& aPair) {
                                       aOut->append(aPair.second);
                                     })),
          *it);
        return;
      }
      aValue = *value;
    }
  }

  /** Calls aVisit with each member of the object aKey. */
  void ForEach(
    const char* aKey,
    const std::function<void(const std::string&, ObjectReader&)>& aVisit)
  {
    const Json* table = Member(aKey, true, "an object");
    if (table == nullptr) {
      return;
    }
    if (!table->is_object()) {
      AddProblem(aKey, "an object", *table);
      return;
    }
    for (const auto& [name, value] : table->items()) {
      ObjectReader reader(
        value, absl::StrCat(mPath, "/", aKey, "/", name), mProblems);
      aVisit(name, reader);
    }
  }

  const Json& Value() const { return mJson; }
  const std::string& Path() const { return mPath; }
  std::vector<std::string>& Problems() { return mProblems; }

private:
  const Json* Member(const char* aKey, bool aRequired, const char* aExpected)
  {
    if (!Has(aKey)) {
      if (aRequired && mJson.is_object()) {
        AddProblem(aKey, aExpected, Json());
      }
      return nullptr;
    }
    return &mJson[aKey];
  }

  const Json& mJson;
  std::string mPath;
  std::vector<std::string>& mProblems;
};

/** Parses aBody with aRead. The error contains all problems. */
template<typename Result>
absl::StatusOr<Result>
ParseObject(const std::string& aBody,
            const std::function<void(ObjectReader&, Result&)>& aRead)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (json.is_discarded()) {
    return absl::InvalidArgumentError("expected JSON");
  }
  std::vector<std::string> problems;
  ObjectReader reader(json, "", problems);
  Result result;
  aRead(reader, result);
  if (!problems.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(problems, "; "));
  }
  return result;
}

Preset
ReadPreset(ObjectReader& aReader)
{
  constexpr double kMaxWeight = 1e6;
  Preset preset;
  aReader.ReadMilliseconds("first_token_target_ms", preset.mFirstTokenTarget);
  aReader.ReadMilliseconds("token_target_ms", preset.mTokenTarget);
  aReader.ReadNumber(
    "wasted_prefill_weight", preset.mWastedPrefillWeight, 0, kMaxWeight);
  aReader.ReadNumber("goodput_weight", preset.mGoodputWeight, 0, kMaxWeight);
  aReader.ReadNumber("prefix_weight", preset.mPrefixWeight, 0, kMaxWeight);
  aReader.ReadCount("max_queue", preset.mMaxQueue);
  aReader.ReadMilliseconds("max_patient_wait_ms", preset.mMaxPatientWait);
  aReader.ReadNumber("slot_share", preset.mSlotShare, 0, 1);
  return preset;
}

Workspace
ReadWorkspace(const std::string& aName, ObjectReader& aReader)
{
  constexpr double kMaxShare = 1e6;
  constexpr double kMaxRate = 1e9;
  Workspace workspace;
  workspace.mName = aName;
  aReader.ReadTexts("token_sha256", workspace.mTokenDigests);
  for (const auto& it : workspace.mTokenDigests) {
    if (it.size() != kSha256HexDigits) {
      aReader.AddProblem("token_sha256", "64 hexadecimal digits each", it);
    }
  }
  aReader.ReadTexts("models", workspace.mModels);
  aReader.ReadNumber("share", workspace.mShare, 1e-6, kMaxShare);
  aReader.ReadNumber(
    "requests_per_s", workspace.mRequestsPerSecond, 0, kMaxRate);
  aReader.ReadNumber("burst", workspace.mBurst, 0, kMaxRate);
  aReader.ReadCount("max_concurrent", workspace.mMaxConcurrent);
  aReader.ReadName("class", kClassNames, workspace.mClass);
  return workspace;
}

Service
ReadService(const std::string& aName, ObjectReader& aReader)
{
  Service service;
  service.mName = aName;
  if (!aReader.Has("calls") || !aReader.Value()["calls"].is_array()) {
    aReader.AddProblem("calls", "a list", Json());
    return service;
  }
  std::size_t n = 0;
  for (const auto& it : aReader.Value()["calls"]) {
    ObjectReader reader(
      it, absl::StrCat(aReader.Path(), "/calls/", n++), aReader.Problems());
    ServiceCall call;
    reader.ReadText("path", call.mPath, true);
    reader.ReadFlag("idempotent", call.mIdempotent);
    service.mCalls.push_back(call);
  }
  return service;
}

Endpoint
ReadEndpoint(const std::string& aName, ObjectReader& aReader)
{
  constexpr double kMaxLinkRate = 1e13;
  Endpoint endpoint;
  endpoint.mName = aName;
  std::string address;
  aReader.ReadText("address", address, true);
  if (!address.empty() && !ParseAddress(address, endpoint.mAddress)) {
    aReader.AddProblem("address", "IP:PORT", address);
  }
  aReader.ReadName("kind", kKindNames, endpoint.mKind);
  aReader.ReadName("role", kRoleNames, endpoint.mRole);
  aReader.ReadTexts("models", endpoint.mModels);
  aReader.ReadText(
    "service", endpoint.mService, endpoint.mKind == EndpointKind::Service);
  aReader.ReadText("link", endpoint.mLink, false);
  aReader.ReadNumber(
    "link_bytes_per_s", endpoint.mLinkBytesPerSecond, 0, kMaxLinkRate);
  aReader.ReadFlag("checks_fencing", endpoint.mChecksFencing);
  aReader.ReadName("state", kStateNames, endpoint.mState);
  return endpoint;
}

} // namespace

std::string_view
EndpointKindName(EndpointKind aKind)
{
  return FindEnumName(kKindNames, aKind);
}

std::string_view
EngineRoleName(EngineRole aRole)
{
  return FindEnumName(kRoleNames, aRole);
}

std::string_view
EndpointStateName(EndpointState aState)
{
  return FindEnumName(kStateNames, aState);
}

std::string_view
RequestClassName(RequestClass aClass)
{
  return FindEnumName(kClassNames, aClass);
}

absl::StatusOr<PresetTable>
ParsePresets(const std::string& aBody)
{
  return ParseObject<PresetTable>(
    aBody, [](ObjectReader& aReader, PresetTable& aTable) {
      aReader.ReadText("in_force", aTable.mInForce, true);
      aReader.ForEach("presets",
                      [&aTable](const std::string& aName, ObjectReader& aItem) {
                        aTable.mPresets[aName] = ReadPreset(aItem);
                      });
      if (aTable.mPresets.count(aTable.mInForce) == 0) {
        aReader.AddProblem("in_force", "the name of a preset", aTable.mInForce);
      }
    });
}

absl::StatusOr<std::map<std::string, Workspace>>
ParseWorkspaces(const std::string& aBody)
{
  using Table = std::map<std::string, Workspace>;
  return ParseObject<Table>(aBody, [](ObjectReader& aReader, Table& aTable) {
    aReader.ForEach("workspaces",
                    [&aTable](const std::string& aName, ObjectReader& aItem) {
                      aTable[aName] = ReadWorkspace(aName, aItem);
                    });
  });
}

absl::StatusOr<std::map<std::string, Service>>
ParseServices(const std::string& aBody)
{
  using Table = std::map<std::string, Service>;
  return ParseObject<Table>(aBody, [](ObjectReader& aReader, Table& aTable) {
    aReader.ForEach("services",
                    [&aTable](const std::string& aName, ObjectReader& aItem) {
                      aTable[aName] = ReadService(aName, aItem);
                    });
  });
}

absl::StatusOr<std::map<std::string, Endpoint>>
ParseEndpoints(const std::string& aBody, const std::string& aFailureDomain)
{
  using Table = std::map<std::string, Endpoint>;
  return ParseObject<Table>(
    aBody, [&aFailureDomain](ObjectReader& aReader, Table& aTable) {
      aReader.ForEach("endpoints",
                      [&](const std::string& aName, ObjectReader& aItem) {
                        Endpoint endpoint = ReadEndpoint(aName, aItem);
                        endpoint.mFailureDomain = aFailureDomain;
                        aTable[aName] = endpoint;
                      });
    });
}

} // namespace bulrushfold
