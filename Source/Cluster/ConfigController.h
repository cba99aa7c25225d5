#ifndef BULRUSHFOLD_CLUSTER_CONFIGCONTROLLER_H
#define BULRUSHFOLD_CLUSTER_CONFIGCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Dissemination.h"
#include "Cluster/HashRings.h"
#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** A change that an operator asks for. */
struct ConfigChange
{
  /** UUIDv7 that names the change in answers and in the object. */
  std::string mId;
  std::string mKey;
  /** If-Match: version that the operator saw; 0: the object must not exist. */
  std::uint64_t mExpected = 0;
  /** The whole new object as JSON. */
  std::string mBody;
};

/** State of a change. */
enum class ChangeState
{
  /** The conditional update is under way. */
  Writing,
  /** The answer of the store was lost; the object is read back. */
  Unknown,
  /** In the store; copies in other failure domains are missing. */
  Copying,
  /** Final: in the store and copied. */
  Accepted,
  /** Final: the content is not valid; mDetail lists the problems. */
  Invalid,
  /** Final: another change won; mVersion is the current version. */
  Conflict,
  /** Final: the store did not apply it. */
  Refused,
  /** Final: later changes hide whether it took effect. */
  Undecided,
};

std::string_view ChangeStateName(ChangeState aState);
/** True when the state of the change does not alter any more. */
bool IsFinal(ChangeState aState);

/** What is known of a change; HTTP 200, 202, 409, 422 or 503 follows. */
struct ChangeStatus
{
  std::string mId;
  std::string mKey;
  ChangeState mState = ChangeState::Writing;
  /** The version written, or the current one after a conflict. */
  std::uint64_t mVersion = 0;
  std::string mDetail;
};

/** ObjectStore::Put to call; the answer goes to OnPut with mChangeId. */
struct StorePutAction
{
  std::string mChangeId;
  std::string mKey;
  std::string mBody;
  std::optional<std::uint64_t> mExpected;
};

/** ObjectStore::Get to call; the answer goes to OnGet with mChangeId. */
struct StoreGetAction
{
  std::string mChangeId;
  std::string mKey;
};

/** What an event decided. */
struct ConfigControllerResult
{
  std::vector<StorePutAction> mPuts;
  std::vector<StoreGetAction> mGets;
  /** Messages and adopted objects, as from Dissemination. */
  DisseminationResult mDisseminated;
  /** Changes whose state altered. */
  std::vector<ChangeStatus> mChanged;
};

/**
 * The changes that operators make at this daemon, from the request until they
 * are accepted: validate, conditional update in the store, copy acknowledged by
 * peers in two other failure domains (or by all live peers if there are fewer).
 * A lost store answer is resolved by reading the object back: each object names
 * its latest changes, with the versions they were based on, in
 * "recent_changes".
 *
 * Events to deliver: Propose for each change of an operator; OnPut and OnGet
 * with the store's answers; OnDigest with each CONFIG_DIGEST (after
 * Dissemination::OnDigest); Tick every Dissemination::kTickInterval. The
 * operator is answered when the state is final; while it is Writing, Unknown or
 * Copying after the time that the operator waits, the answer is "unknown" with
 * the id of the change.
 */
class ConfigController
{
public:
  using Validator = std::function<absl::Status(const std::string& aKey,
                                               const std::string& aBody)>;

  /** Failure domains other than this daemon's that must hold a copy. */
  static constexpr std::size_t kMinCopyDomains = 2;
  static constexpr Duration kCopyRetryInterval = std::chrono::milliseconds(200);
  static constexpr Duration kReadBackRetryInterval = std::chrono::seconds(1);
  /** Time for which a finished change is remembered. */
  static constexpr Duration kFinishedRetention = std::chrono::hours(1);

  ConfigController(std::string aSelf,
                   std::string aFailureDomain,
                   const HashRings& aRings,
                   Dissemination& aDissemination,
                   Validator aValidator);

  ConfigControllerResult Propose(const ConfigChange& aChange, Instant aNow);
  ConfigControllerResult OnPut(const std::string& aChangeId,
                               const absl::StatusOr<std::uint64_t>& aVersion,
                               Instant aNow);
  ConfigControllerResult OnGet(const std::string& aChangeId,
                               const absl::StatusOr<StoredObject>& aObject,
                               Instant aNow);
  ConfigControllerResult OnDigest(const std::string& aFrom,
                                  const wire::ConfigDigest& aMessage,
                                  Instant aNow);
  ConfigControllerResult Tick(Instant aNow);

  /** State of a change made at this daemon; null when it is not known. */
  const ChangeStatus* Find(const std::string& aChangeId) const;

private:
  struct Change
  {
    ChangeStatus mStatus;
    std::uint64_t mExpected = 0;
    std::string mBody;
    /** True when mBody names the change in "recent_changes". */
    bool mIsInRecentChanges = false;
    /** True while the store owes an answer. */
    bool mIsStoreCallPending = false;
    /** True when a write may have taken effect without an answer. */
    bool mHasLostAnswer = false;
    Instant mNextStep;
    std::uint64_t mCopyAttempts = 0;
    /** Peers that hold the copy, with their failure domain. */
    std::map<std::string, std::string> mAcknowledged;
    /** Time of the last change of state. */
    Instant mStateChangedAt;
  };

  void SetState(Change& aChange,
                ChangeState aState,
                const std::string& aDetail,
                Instant aNow,
                ConfigControllerResult& aResult);
  static void AddToRecentChanges(Change& aChange, const std::string& aBase);
  void ReadBase(Change& aChange,
                const absl::StatusOr<StoredObject>& aObject,
                Instant aNow,
                ConfigControllerResult& aResult);
  void Write(Change& aChange, ConfigControllerResult& aResult);
  void ReadBack(Change& aChange, ConfigControllerResult& aResult);
  void OnCommitted(Change& aChange,
                   std::uint64_t aVersion,
                   Instant aNow,
                   ConfigControllerResult& aResult);
  void ResolveReadBack(Change& aChange,
                       const StoredObject& aObject,
                       Instant aNow,
                       ConfigControllerResult& aResult);
  static std::optional<std::uint64_t> VersionOf(const Change& aChange,
                                                const StoredObject& aObject);
  static void AppendResult(ConfigControllerResult& aResult,
                           DisseminationResult aMore);
  void SendCopies(Change& aChange,
                  Instant aNow,
                  ConfigControllerResult& aResult);
  bool HasCopies(const Change& aChange) const;
  void FinishIfCopied(Change& aChange,
                      Instant aNow,
                      ConfigControllerResult& aResult);

  std::string mSelf;
  std::string mFailureDomain;
  const HashRings& mRings;
  Dissemination& mDissemination;
  Validator mValidator;
  std::map<std::string, Change> mChanges;
};

} // namespace bulrushfold

#endif
