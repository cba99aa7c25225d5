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

/** A change that an operator requests. */
struct ConfigChange
{
  /** UUIDv7 that identifies the change in answers and in the object. */
  std::string mId;
  std::string mKey;
  /** Version from If-Match that the operator based the change on; 0 when the
   * object must not exist. */
  std::uint64_t mExpected = 0;
  /** The complete new object as JSON. */
  std::string mBody;
};

/** State of a change. */
enum class ChangeState
{
  /** The conditional update was sent to the store. */
  Writing,
  /** The reply of the store was lost. The object is read back. */
  Unknown,
  /** The store has the change; copies in other failure domains are missing. */
  Copying,
  /** Final: the store has the change, and enough failure domains have
   * copies. */
  Accepted,
  /** Final: the content is invalid. mDetail lists the problems. */
  Invalid,
  /** Final: another change was written first. mVersion is the current
   * version. */
  Conflict,
  /** Final: the store did not apply the change. */
  Refused,
  /** Final: the reply of the store was lost, and later changes hide whether
   * the change took effect. */
  Undecided,
};

std::string_view ChangeStateName(ChangeState aState);
/** Returns true when the state can no longer change. */
bool IsFinal(ChangeState aState);

/** Current state of a change. It determines the HTTP status: 200, 202, 409,
 * 422 or 503. */
struct ChangeStatus
{
  std::string mId;
  std::string mKey;
  ChangeState mState = ChangeState::Writing;
  /** The written version, or the current version after a conflict. */
  std::uint64_t mVersion = 0;
  std::string mDetail;
};

/** A call to ObjectStore::Put. Its reply must be passed to OnPut with
 * mChangeId. */
struct StorePutAction
{
  std::string mChangeId;
  std::string mKey;
  std::string mBody;
  std::optional<std::uint64_t> mExpected;
};

/** A call to ObjectStore::Get. Its reply must be passed to OnGet with
 * mChangeId. */
struct StoreGetAction
{
  std::string mChangeId;
  std::string mKey;
};

/** Actions that result from an event. */
struct ConfigControllerResult
{
  std::vector<StorePutAction> mPuts;
  std::vector<StoreGetAction> mGets;
  /** Messages and adopted objects of Dissemination. */
  DisseminationResult mDisseminated;
  /** Changes whose state changed. */
  std::vector<ChangeStatus> mChanged;
};

/**
 * Processes the changes that operators request at this daemon. Each change is
 * validated, written to the store by a conditional update, and copied to peers.
 * It is accepted when peers in two other failure domains have acknowledged the
 * copy, or all live peers if there are fewer such domains. When a reply of
 * the store is lost, the object is read back: the member "recent_changes" of
 * each object lists its latest changes and the versions on which they were
 * based.
 *
 * Events to deliver: Propose for each change of an operator; OnPut and OnGet
 * with the replies of the store; OnDigest with each CONFIG_DIGEST (after
 * Dissemination::OnDigest); Tick every Dissemination::kTickInterval. The
 * operator receives the answer when the state is final. If the state is still
 * Writing, Unknown or Copying when the operator's timeout expires, the answer
 * is "unknown" with the id of the change.
 */
class ConfigController
{
public:
  using Validator = std::function<absl::Status(const std::string& aKey,
                                               const std::string& aBody)>;

  /** Failure domains other than that of this daemon in which a peer must
   * have acknowledged a copy. */
  static constexpr std::size_t kMinCopyDomains = 2;
  static constexpr Duration kCopyRetryInterval = std::chrono::milliseconds(200);
  static constexpr Duration kReadBackRetryInterval = std::chrono::seconds(1);
  /** Retention of a change whose state is final. */
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

  /** Returns the state of a change requested at this daemon; null when there
   * is no such change. */
  const ChangeStatus* Find(const std::string& aChangeId) const;

private:
  struct Change
  {
    ChangeStatus mStatus;
    std::uint64_t mExpected = 0;
    std::string mBody;
    /** True when "recent_changes" in mBody lists this change. */
    bool mIsInRecentChanges = false;
    /** True while a call to the store has no reply yet. */
    bool mIsStoreCallPending = false;
    /** True when the reply to a write was lost, so that the write may have
     * taken effect. */
    bool mHasLostReply = false;
    Instant mNextStep;
    std::uint64_t mCopyAttempts = 0;
    /** Peers that have acknowledged the copy, with their failure domains. */
    std::map<std::string, std::string> mAcknowledged;
    /** Time of the last state change. */
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
