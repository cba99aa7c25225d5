#ifndef BULRUSHFOLD_DAEMON_ADMINCHANGES_H
#define BULRUSHFOLD_DAEMON_ADMINCHANGES_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Daemon/AdminProblem.h"
#include "Daemon/ClusterController.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** Kinds of change that operators make. */
enum class AdminAction
{
  PutPreset,
  PutInForce,
  PutEndpoint,
  DrainEndpoint,
  PutWorkspace,
};

/** An operator's change of one configuration object. */
struct AdminChange
{
  AdminAction mAction = AdminAction::PutPreset;
  std::string mKey;
  /** Name of the preset, endpoint or workspace. */
  std::string mName;
  /** Body of the request; empty where the action needs none. */
  std::string mBody;
  /** First digits of the SHA-256 of the operator's token. */
  std::string mOperator;
};

/**
 * Applies operators' changes in three steps. First an audit record is created,
 * so that a change is applied only once even if its change id is sent again.
 * Then the configuration object is changed. Finally the result is written to
 * the audit record. Audit records are the store objects "audit/CHANGE-ID".
 */
class AdminChanges
{
public:
  AdminChanges(EventLoop& aLoop,
               const Clock& aClock,
               Random& aRandom,
               ClusterController& aCluster,
               ObjectStore& aStore,
               std::string aDaemon);

  void Start();
  /** Validates the headers, applies the change and answers. */
  void Run(std::shared_ptr<HttpExchange> aExchange, const AdminChange& aChange);
  /** Answers with audit records, newest first. */
  void ListAudit(std::shared_ptr<HttpExchange> aExchange);

private:
  struct Pending
  {
    std::shared_ptr<HttpExchange> mExchange;
    AdminChange mChange;
    std::uint64_t mExpected = 0;
    std::uint64_t mAuditVersion = 0;
    WallTime mTime;
    EventHandle mTimer;
    /** True after the operator was answered because of the timeout; only the
     * audit record is still to be written. */
    bool mIsAnswered = false;
  };

  bool ReadHeaders(HttpExchange& aExchange,
                   std::uint64_t& aExpected,
                   std::string& aId) const;
  void HandleAuditCreated(const std::string& aId,
                          const absl::StatusOr<std::uint64_t>& aVersion);
  void ReplyFromAuditRecord(const std::string& aId);
  void Propose(const std::string& aId);
  void HandleChange(const ChangeStatus& aStatus);
  void HandleTimeout(const std::string& aId);
  void WriteAudit(const std::string& aId,
                  const Pending& aPending,
                  const ChangeStatus& aStatus);
  void Refuse(const std::string& aId, const AdminProblem& aProblem);

  EventLoop& mLoop;
  const Clock& mClock;
  Random& mRandom;
  ClusterController& mCluster;
  ObjectStore& mStore;
  std::string mDaemon;
  std::map<std::string, Pending> mPending;
};

/**
 * Returns the new body of the object that aChange modifies, given its current
 * body. NotFound: the preset or endpoint does not exist. InvalidArgument: the
 * body of the request is not a JSON object.
 */
absl::StatusOr<std::string> EditObject(const AdminChange& aChange,
                                       const std::string& aCurrent);

} // namespace bulrushfold

#endif
