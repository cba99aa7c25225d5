#ifndef BULRUSHFOLD_CLUSTER_CONFIGCOVERAGE_H
#define BULRUSHFOLD_CLUSTER_CONFIGCOVERAGE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Dissemination.h"
#include "Cluster/Membership.h"

namespace bulrushfold {

/** Where a version is in force. */
struct CoverageStatus
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  /** Daemons that hold the version or a higher one. */
  std::size_t mInForce = 0;
  /** Live daemons that have not confirmed it. */
  std::vector<std::string> mMissing;
  /** Daemons that the VM list names but that are believed dead; a region that
   * is cut off appears here. */
  std::vector<std::string> mUnreachable;
  /** True when every live daemon has confirmed, or the time to wait is over.
   */
  bool mIsFinal = false;
};

/**
 * Answers "in force everywhere, or where not" for accepted changes: asks every
 * other daemon for its version of the object, kBatch daemons at a time, again
 * after kAskAgain, for at most kMaxWait. The first question waits kFirstAsk,
 * in which the change normally spreads.
 *
 * Events to deliver: Start when a change is accepted; OnDigest with each
 * CONFIG_DIGEST; Tick every Dissemination::kTickInterval. Find gives the state
 * at any time; an entry is dropped kKeep after its end.
 */
class ConfigCoverage
{
public:
  static constexpr Duration kFirstAsk = std::chrono::milliseconds(500);
  static constexpr Duration kAskAgain = std::chrono::seconds(1);
  static constexpr Duration kMaxWait = std::chrono::seconds(30);
  static constexpr Duration kKeep = std::chrono::minutes(10);
  /** Questions a tick; at 100 ms a tick 3,500 daemons are asked in 1.2 s. */
  static constexpr std::size_t kBatch = 300;

  ConfigCoverage(const Membership& aMembership,
                 const Dissemination& aDissemination);

  void Start(const std::string& aChangeId,
             const std::string& aKey,
             std::uint64_t aVersion,
             Instant aNow);
  void OnDigest(const std::string& aFrom, const wire::ConfigDigest& aMessage);
  Outbox Tick(Instant aNow);
  /** State of the change; null when it is not known. */
  const CoverageStatus* Find(const std::string& aChangeId) const;

private:
  struct Question
  {
    CoverageStatus mStatus;
    std::set<std::string> mConfirmed;
    /** Daemons to ask in this round, the last one first. */
    std::vector<std::string> mToAsk;
    Instant mNextRound;
    Instant mEnd;
  };

  void Ask(Question& aQuestion, Instant aNow, Outbox& aOutbox) const;
  void Refresh(Question& aQuestion, Instant aNow) const;

  const Membership& mMembership;
  const Dissemination& mDissemination;
  std::map<std::string, Question> mQuestions;
};

} // namespace bulrushfold

#endif
