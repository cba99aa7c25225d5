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

/** Daemons, token and timeouts of an AdminClient. */
struct AdminClientOptions
{
  /** Addresses of the daemons, tried in this order. */
  std::vector<SocketAddress> mDaemons;
  std::string mToken;
  /** Maximum time to wait for one answer. */
  Duration mCallTimeout = std::chrono::seconds(5);
  /** Maximum time to wait until a change is in force, or until its result is
   * known. */
  Duration mChangeTimeout = std::chrono::seconds(10);
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

/** Whether a version of an object is in force at the live daemons. */
struct ChangeCoverage
{
  bool mIsEverywhere = false;
  /** Number of live daemons. */
  std::size_t mDaemons = 0;
  /** "NAME (STATE)" of each daemon where the version is not in force. */
  std::vector<std::string> mMissing;
};

/**
 * Calls the administration API of several daemons, one after the other, on the
 * given loop. Errors:
 *
 * - Unavailable: no daemon could be reached; a change had no effect;
 * - PermissionDenied: 401 or 403;
 * - NotFound: 404;
 * - Aborted: 409; the message contains the current version;
 * - InvalidArgument: other refusals;
 * - Unknown: it is not known whether a change took effect;
 * - Internal: an answer that does not follow docs/admin-api.md.
 */
class AdminClient
{
public:
  AdminClient(EventLoop& aLoop,
              const Clock& aClock,
              Random& aRandom,
              AdminClientOptions aOptions);

  /** Sends the request to the daemons in turn until one answers. */
  absl::StatusOr<nlohmann::json> Read(const std::string& aTarget);

  /**
   * Sends a change. The next daemon is tried only if the change certainly had
   * no effect at the previous one. If an answer is lost, the audit records are
   * searched for the change until mChangeTimeout passes.
   */
  absl::StatusOr<AcceptedChange> Change(const AdminChangeRequest& aChange);

  /** Polls until the change is in force everywhere or mChangeTimeout passes. */
  absl::StatusOr<ChangeCoverage> WaitInForce(const AcceptedChange& aChange);

private:
  HttpCallReply Call(const SocketAddress& aDaemon,
                     HttpMethod aMethod,
                     const std::string& aTarget,
                     const std::string& aBody,
                     HttpHeaders aHeaders);
  /** Searches the audit records; Unknown if they do not contain the result. */
  absl::StatusOr<AcceptedChange> ResolveFromAudit(const std::string& aChangeId);
  absl::StatusOr<ChangeCoverage> ReadCoverage(const AcceptedChange& aChange);
  void Sleep(Duration aTime);

  EventLoop& mLoop;
  const Clock& mClock;
  Random& mRandom;
  AdminClientOptions mOptions;
  HttpClient mHttp;
};

/** Returns aText, one segment of a path, percent-encoded. */
std::string EncodePathSegment(const std::string& aText);

} // namespace bulrushfold

#endif
