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

/** Messages and state changes that result from an event. */
struct ReadinessResult
{
  Outbox mMessages;
  /** True when this event made the daemon ready. */
  bool mBecameReady = false;
};

/**
 * Decides whether this daemon may accept new work. After a start or a pause, a
 * daemon first compares its versions with a ready peer in every failure domain
 * of the VM list, or with the store, and adopts newer versions. A daemon that
 * has just started cannot confirm the versions of another one, because it may
 * lack every change. A daemon that was paused can, once digests were exchanged
 * for kSettleTime. Therefore daemons that all restart together need the store
 * to become ready, and daemons that were all paused together do not.
 *
 * Events to deliver: OnClockGap when MembershipResult::mHasClockGap is set;
 * OnDigest with each CONFIG_DIGEST (after Dissemination::OnDigest);
 * OnStoreListing with the time of the request, after all objects of a listing
 * of "config/" were passed to Dissemination::OnStoredObject; Tick every
 * Dissemination::kTickInterval. /readyz is successful and changes of operators
 * are accepted only while IsReady is true.
 */
class ConfigReadiness
{
public:
  /** Time after which another peer of a failure domain is queried. It
   * doubles up to kMaxQueryInterval, so that 3,500 daemons can restart
   * together. */
  static constexpr Duration kQueryInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMaxQueryInterval = std::chrono::seconds(4);
  /** Time after the end of a pause from which paused peers can confirm
   * versions. A change reaches all daemons within this time. */
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
  /** Failure domains whose versions were not compared yet, for /readyz and
   * the log. */
  std::set<std::string> MissingDomains() const;

private:
  bool CanConfirm(wire::ConfigReadiness::type aPeer, Instant aNow) const;
  bool HasTargetVersions() const;
  void Update(ReadinessResult& aResult);
  std::string PickPeer(const std::string& aDomain);

  Membership& mMembership;
  Dissemination& mDissemination;
  wire::ConfigReadiness::type mState = wire::ConfigReadiness::STARTING;
  /** Start of the process or end of its last pause. */
  Instant mRoundStart;
  /** Identifies the answers to queries sent since mRoundStart; never 0. */
  std::int64_t mRound = 1;
  Instant mNextQuery;
  Duration mQueryInterval = kQueryInterval;
  std::uint64_t mAttempt = 0;
  bool mIsStoreCompared = false;
  std::set<std::string> mComparedDomains;
  /** Versions reported by peers that this daemon must have before it is
   * ready, by key. */
  std::map<std::string, std::uint64_t> mTargetVersions;
};

} // namespace bulrushfold

#endif
