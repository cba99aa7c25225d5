#ifndef BULRUSHFOLD_CLUSTER_CONFIGURATION_H
#define BULRUSHFOLD_CLUSTER_CONFIGURATION_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Settings/Settings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Kind of an endpoint. */
enum class EndpointKind
{
  Engine,
  Service,
};

/** Work that a model engine performs. */
enum class EngineRole
{
  Prefill,
  Decode,
  Both,
};

/** Whether an endpoint receives new work. */
enum class EndpointState
{
  Live,
  Draining,
};

/** Urgency of a workspace's requests. */
enum class RequestClass
{
  Interactive,
  Patient,
};

/** Weights and targets that the routing policy reads. */
struct Preset
{
  Duration mFirstTokenTarget = std::chrono::milliseconds(900);
  Duration mTokenTarget = std::chrono::milliseconds(40);
  /** Cost of one wasted prefill token, relative to one second of delay. */
  double mWastedPrefillWeight = 1.0;
  /** Value of one request that meets its targets. */
  double mGoodputWeight = 1.0;
  /** Value of one cached prompt token, as a share of its prefill time. */
  double mPrefixWeight = 1.0;
  /** Requests that may wait for capacity at one daemon. */
  std::uint64_t mMaxQueue = 200;
  /** Maximum time for which a patient request waits for capacity. */
  Duration mMaxPatientWait = std::chrono::seconds(30);
  /** Share of decode slots that may be reserved at one time, 0 to 1. */
  double mSlotShare = 1.0;
};

/** All presets, of which exactly one is in force. */
struct PresetTable
{
  std::string mInForce;
  std::map<std::string, Preset> mPresets;
};

/** A tenant: identity, permissions and limits. */
struct Workspace
{
  std::string mName;
  /** SHA-256 digests of the tokens of the workspace, in hexadecimal. */
  std::vector<std::string> mTokenDigests;
  std::vector<std::string> mModels;
  /** Weight of the workspace when capacity is shared; positive. */
  double mShare = 1;
  double mRequestsPerSecond = 0;
  double mBurst = 0;
  std::uint64_t mMaxConcurrent = 0;
  RequestClass mClass = RequestClass::Interactive;
};

/** One call of a plain service. */
struct ServiceCall
{
  /** Path prefix. */
  std::string mPath;
  bool mIdempotent = false;
};

/** A plain service, reachable under /services/NAME. */
struct Service
{
  std::string mName;
  std::vector<ServiceCall> mCalls;

  /** The call with the longest prefix of aPath; null when none matches. */
  const ServiceCall* FindCall(std::string_view aPath) const;
};

/** A model engine or a plain service. */
struct Endpoint
{
  std::string mName;
  std::string mFailureDomain;
  SocketAddress mAddress;
  EndpointKind mKind = EndpointKind::Engine;
  EngineRole mRole = EngineRole::Both;
  std::vector<std::string> mModels;
  std::string mService;
  /** Network link whose bandwidth the KV cache transfers of this endpoint
   * share. */
  std::string mLink;
  /** Bandwidth of the link, in bytes per second. */
  double mLinkBytesPerSecond = 0;
  bool mChecksFencing = false;
  EndpointState mState = EndpointState::Live;

  bool CanPrefill() const { return mRole != EngineRole::Decode; }
  bool CanDecode() const { return mRole != EngineRole::Prefill; }
  bool Serves(std::string_view aModel) const;
};

std::string_view EndpointKindName(EndpointKind aKind);
std::string_view EngineRoleName(EngineRole aRole);
std::string_view EndpointStateName(EndpointState aState);
std::string_view RequestClassName(RequestClass aClass);

/** Keys of the configuration objects in the store. */
constexpr std::string_view kConfigPrefix = "config/";
constexpr std::string_view kPresetsKey = "config/presets";
constexpr std::string_view kWorkspacesKey = "config/workspaces";
constexpr std::string_view kServicesKey = "config/services";
constexpr std::string_view kEndpointsPrefix = "config/endpoints/";

/**
 * Parsers of the configuration objects. On InvalidArgument, the message lists
 * all problems, each with its JSON path, the expected and the found value.
 */
absl::StatusOr<PresetTable> ParsePresets(const std::string& aBody);
absl::StatusOr<std::map<std::string, Workspace>> ParseWorkspaces(
  const std::string& aBody);
absl::StatusOr<std::map<std::string, Service>> ParseServices(
  const std::string& aBody);
absl::StatusOr<std::map<std::string, Endpoint>> ParseEndpoints(
  const std::string& aBody,
  const std::string& aFailureDomain);

/** The configuration in force at a daemon, combined from all configuration
 * objects. */
class Configuration
{
public:
  /**
   * Replaces the part of the configuration that object aKey defines. Invalid
   * content changes nothing, and the error lists all problems.
   */
  absl::Status Apply(const std::string& aKey, const std::string& aBody);

  const PresetTable& Presets() const { return mPresets; }
  /** Returns the preset in force; default values before the first presets
   * object was applied. */
  const Preset& PresetInForce() const;
  const std::map<std::string, Workspace>& Workspaces() const
  {
    return mWorkspaces;
  }
  /** Returns the workspace of the token with SHA-256 digest aDigest; null
   * when there is none. */
  const Workspace* FindWorkspaceByToken(const std::string& aDigest) const;
  const Service* FindService(const std::string& aName) const;
  /** All endpoints by name. */
  const std::map<std::string, Endpoint>& Endpoints() const
  {
    return mEndpoints;
  }

private:
  void ReplaceEndpoints(const std::string& aFailureDomain,
                        std::map<std::string, Endpoint> aEndpoints);

  PresetTable mPresets;
  Preset mDefaultPreset;
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, std::string> mWorkspaceByToken;
  std::map<std::string, Service> mServices;
  std::map<std::string, Endpoint> mEndpoints;
};

} // namespace bulrushfold

#endif
