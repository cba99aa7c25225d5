#ifndef BULRUSHFOLD_POLICY_ADMISSION_H
#define BULRUSHFOLD_POLICY_ADMISSION_H

#include <optional>
#include <string>
#include <unordered_map>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** What to do with a request at present. */
enum class AdmissionVerdict
{
  Dispatch,
  Wait,
  Reject,
};

/** Decision on one request. */
struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Dispatch;
  RejectReason mReason = RejectReason::TargetUnreachable;
  Duration mRetryAfter{};
};

/**
 * Rejects requests early that cannot meet their targets. Records each
 * workspace's recent use of capacity: a workspace above its fair share may wait
 * less for contended capacity and must leave slots free for the others. Without
 * contention no workspace is limited.
 */
class Admission
{
public:
  void SetPreset(const Preset& aPreset) { mPreset = aPreset; }

  /** Time at which the first token is due. */
  Instant FirstTokenDue(const ModelRequest& aRequest) const;
  /** Decides on aRequest. aFirstToken is the predicted time to the first token,
   * empty when no endpoint can be used at present. */
  AdmissionDecision Decide(const ModelRequest& aRequest,
                           std::optional<Duration> aFirstToken,
                           Instant aNow) const;

  /** Records that a request was dispatched; aCost is its work in seconds. */
  void OnDispatched(const ModelRequest& aRequest, double aCost, Instant aNow);
  /** Recent use of the request's workspace relative to its fair share of the
   * capacity used by all active workspaces; 1 is exactly its share. */
  double FairShareUsage(const ModelRequest& aRequest, Instant aNow) const;
  /** Fraction of its maximum waiting time that the request may use, 0 to 1. */
  double WaitShare(const ModelRequest& aRequest, Instant aNow) const;
  /** Decode slots, of aSlots, that must stay free after a grant to aRequest. */
  std::uint64_t MinFreeSlots(const ModelRequest& aRequest,
                             std::uint64_t aSlots,
                             Instant aNow) const;

private:
  struct Usage
  {
    double mShare = 1;
    /** Seconds of recent work, decayed exponentially up to mDecayedTo. */
    double mWork = 0;
    Instant mDecayedTo;
  };
  static double Decayed(const Usage& aUsage, Instant aNow);
  void EraseIdle(Instant aNow);
  /** Recomputes mTotal. */
  void UpdateTotal(Instant aNow);

  Preset mPreset;
  std::unordered_map<std::string, Usage> mUsages;
  /** Use of all active workspaces together, recomputed at intervals: a sum
   * over 330 workspaces took half of the time of each decision. */
  Usage mTotal;
  Instant mTotalUpdatedAt;
};

} // namespace bulrushfold

#endif
