#ifndef BULRUSHFOLD_ROUTING_SERVICEREACH_H
#define BULRUSHFOLD_ROUTING_SERVICEREACH_H

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "Base/Clock.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"

namespace bulrushfold {

/** A service became unreachable for this daemon, or reachable again. */
struct ReachChange
{
  std::string mService;
  bool mIsReachable = false;
  /** Endpoint and result of the send that led to the change. */
  std::string mEndpoint;
  SendResult mResult = SendResult::Answered;
  /** Endpoints without an answer, of those that are usable. */
  std::size_t mFailed = 0;
  std::size_t mUsable = 0;
  /** Time since the last answer of the service; when it is reachable again, the
   * time for which it was not. */
  Duration mSpan{};
};

/**
 * Whether this daemon reaches any endpoint of a service, by its own sends: it
 * does not when two endpoints, or the only one, gave no answer and none has
 * answered since. Unlike EndpointHealth, which may hold what other daemons
 * report, it concerns the paths of this daemon.
 */
class ServiceReach
{
public:
  using ChangeHook = std::function<void(const ReachChange&)>;

  ServiceReach(const EndpointDirectory& aDirectory, ChangeHook aOnChange)
    : mDirectory(aDirectory)
    , mOnChange(std::move(aOnChange))
  {
  }

  /** A send of this daemon that began at aSentAt ended. Without an answer, it
   * says nothing if the service has answered since it began. */
  void OnResult(const std::string& aService,
                const std::string& aEndpoint,
                SendResult aResult,
                Instant aSentAt,
                Instant aNow);
  bool IsReachable(const std::string& aService) const;

private:
  struct State
  {
    /** Endpoints without an answer since the last answer of the service. */
    std::set<std::string> mFailed;
    Instant mAnsweredAt;
    Instant mLostAt;
    bool mIsReachable = true;
  };

  void OnAnswer(State& aState, ReachChange aChange, Instant aNow);
  void OnFailure(State& aState, ReachChange aChange, Instant aNow);
  std::size_t UsableCount(const std::string& aService) const;

  const EndpointDirectory& mDirectory;
  ChangeHook mOnChange;
  std::map<std::string, State> mServices;
};

} // namespace bulrushfold

#endif
