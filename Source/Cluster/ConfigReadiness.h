#ifndef BULRUSHFOLD_CLUSTER_CONFIGREADINESS_H
#define BULRUSHFOLD_CLUSTER_CONFIGREADINESS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Base/Clock.h"
#include "Cluster/Dissemination.h"
#include "Cluster/Membership.h"

namespace bulrushfold {

/** What an event changed and what has to be sent. */
struct ReadinessResult
{
  Outbox mMessages;
  /** True when the daemon became ready by this event. */
  bool mBecameReady = false;
};

/**
 * Whether this daemon may take new work. One that started or was paused first
 * compares its versions with a ready peer of every failure domain that the VM
 * list names, or with the store, and adopts what it lacks. A daemon that has
 * just started knows nothing that could confirm another one; a daemon that was
 * paused can, after kSettleTime in which digests were exchanged. Therefore all
 * daemons that restart together wait for the store, and all that were paused
 * together do not.
 *
 * Events to deliver: OnClockGap when MembershipResult::mHasClockGap is set;
 * OnDigest with each CONFIG_DIGEST (after Dissemination::OnDigest);
 * OnStoreListing after all objects of a listing of "config/" were passed to
 * Dissemination::OnStoredObject, with the time at which it was asked for; Tick
 * every Dissemination::kTickInterval. /readyz and the acceptance of operators'
 * changes follow IsReady.
 */
class ConfigReadiness
{
public:
  /** Time after which another peer of a failure domain is asked; doubled up to
   * kMaxQueryInterval, so that 3,500 daemons may restart together. */
  static constexpr Duration kQueryInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMaxQueryInterval = std::chrono::seconds(4);
  /** Time from the end of a pause until paused peers count: a change spreads
   * within it. */
  static constexpr Duration kSettleTime = std::chrono::seconds(3);

  ConfigReadiness(Membership& aMembership,
                  Dissemination& aDissemination,
                  Instant aNow);

  ReadinessResult Tick(Instant aNow);
  ReadinessResult OnDigest(const std::string& aFrom,
                           const wire::ConfigDigest& aMessage,
                           Instant aNow);
  ReadinessResult OnStoreListing(Instant aRequestedAt);
  void OnClockGap(Instant aNow);

  bool IsReady() const { return mState == wire::ConfigReadiness::READY; }
  wire::ConfigReadiness::type State() const { return mState; }
  /** Failure domains that were not compared yet, for /readyz and the log. */
  std::set<std::string> MissingDomains() const;

private:
  bool CanConfirm(wire::ConfigReadiness::type aPeer, Instant aNow) const;
  bool HasTargetVersions() const;
  void Update(ReadinessResult& aResult);
  std::string PickPeer(const std::string& aDomain);

  Membership& mMembership;
  Dissemination& mDissemination;
  wire::ConfigReadiness::type mState = wire::ConfigReadiness::STARTING;
  /** Start of the process or end of the last pause. */
  Instant mRoundStart;
  /** Distinguishes answers to questions asked since mRoundStart; never 0. */
  std::int64_t mRound = 1;
  Instant mNextQuery;
  Duration mQueryInterval = kQueryInterval;
  std::uint64_t mAttempt = 0;
  bool mIsStoreCompared = false;
  std::set<std::string> mComparedDomains;
  /** Versions that peers named and that must be held, by key. */
  std::map<std::string, std::uint64_t> mTargetVersions;
};

} // namespace bulrushfold

#endif
