#ifndef BULRUSHFOLD_CONTROL_ADMINCLIENT_H
#define BULRUSHFOLD_CONTROL_ADMINCLIENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Daemons, token and waits of an AdminClient. */
struct AdminClientOptions
{
  /** Asked in this order. */
  std::vector<SocketAddress> mDaemons;
  std::string mToken;
  /** Longest wait for one answer. */
  Duration mCallTimeout = std::chrono::seconds(5);
  /** Longest wait for a change to be in force, or to be known. */
  Duration mWait = std::chrono::seconds(10);
  Duration mPollInterval = std::chrono::milliseconds(200);
};

/** A request that changes the configuration. */
struct AdminChangeRequest
{
  HttpMethod mMethod = HttpMethod::Put;
  /** Encoded path, for example "/admin/v1/presets/night". */
  std::string mTarget;
  std::string mBody;
  /** Version of the configuration object that the change is based on. */
  std::uint64_t mVersion = 0;
};

/** A change that the daemons accepted. */
struct AcceptedChange
{
  std::string mChangeId;
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/** Where a version is in force. */
struct ChangeSpread
{
  bool mIsEverywhere = false;
  /** Number of live daemons. */
  std::size_t mDaemons = 0;
  /** "NAME (STATE)" of the daemons where it is not in force. */
  std::vector<std::string> mMissing;
};

/**
 * Calls the administration API of several daemons, one after the other, on the
 * given loop. Errors:
 *
 * - Unavailable: no daemon could be reached; a change had no effect;
 * - PermissionDenied: 401 or 403;
 * - NotFound: 404;
 * - Aborted: 409, names the current version;
 * - InvalidArgument: other refusals;
 * - Unknown: only for changes: it is not known whether it took effect;
 * - Internal: an answer that does not follow docs/admin-api.md.
 */
class AdminClient
{
public:
  AdminClient(EventLoop& aLoop,
              const Clock& aClock,
              Random& aRandom,
              AdminClientOptions aOptions);

  /** Asks the daemons in turn until one answers. */
  absl::StatusOr<nlohmann::json> Read(const std::string& aTarget);

  /**
   * Sends a change. The next daemon is tried only when the change certainly
   * had no effect at the one before. After a lost answer the audit records are
   * searched for the change until the wait is over.
   */
  absl::StatusOr<AcceptedChange> Change(const AdminChangeRequest& aChange);

  /** Polls until the change is in force everywhere or the wait is over. */
  absl::StatusOr<ChangeSpread> WaitInForce(const AcceptedChange& aChange);

private:
  HttpCallReply Call(const SocketAddress& aDaemon,
                     HttpMethod aMethod,
                     const std::string& aTarget,
                     const std::string& aBody,
                     HttpHeaders aHeaders);
  /** Searches the audit records; Unknown when they do not tell. */
  absl::StatusOr<AcceptedChange> Resolve(const std::string& aChangeId);
  absl::StatusOr<ChangeSpread> ReadSpread(const AcceptedChange& aChange);
  void Sleep(Duration aTime);

  EventLoop& mLoop;
  const Clock& mClock;
  Random& mRandom;
  AdminClientOptions mOptions;
  HttpClient mHttp;
};

/** One segment of a path in percent-encoding. */
std::string EncodePathSegment(const std::string& aText);

} // namespace bulrushfold

#endif
