#ifndef BULRUSHFOLD_POLICY_ADMISSION_H
#define BULRUSHFOLD_POLICY_ADMISSION_H

#include <optional>
#include <string>
#include <unordered_map>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** What to do with a request for now. */
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
 * Refuses early what cannot meet its targets. Keeps each workspace's recent use
 * of capacity: a workspace above its fair share may wait less for contended
 * capacity and must leave slots free for the others. Without contention
 * nothing is held back.
 */
class Admission
{
public:
  void SetPreset(const Preset& aPreset) { mPreset = aPreset; }

  /** Time at which the first token is due. */
  Instant FirstTokenDue(const ModelRequest& aRequest) const;
  /** aFirstToken: predicted time to the first token, empty when no endpoint
   * can be used now. */
  AdmissionDecision Decide(const ModelRequest& aRequest,
                           std::optional<Duration> aFirstToken,
                           Instant aNow) const;

  /** A request was given capacity; aCost is its work in seconds. */
  void OnDispatched(const ModelRequest& aRequest, double aCost, Instant aNow);
  /** Recent use of the request's workspace relative to its fair share of the
   * capacity used by all active workspaces; 1 is exactly its share. */
  double UseOfShare(const ModelRequest& aRequest, Instant aNow) const;
  /** The part of its waiting time that the request may use, 0 to 1. */
  double WaitShare(const ModelRequest& aRequest, Instant aNow) const;
  /** Decode slots of aSlots that must stay free after its grant. */
  std::uint64_t SpareSlots(const ModelRequest& aRequest,
                           std::uint64_t aSlots,
                           Instant aNow) const;

private:
  struct Use
  {
    double mShare = 1;
    /** Seconds of work, decayed to mAt. */
    double mWork = 0;
    Instant mAt;
  };
  static double Decayed(const Use& aUse, Instant aNow);
  void DropIdle(Instant aNow);
  /** Adds up the uses of all active workspaces. */
  void SumUp(Instant aNow);

  Preset mPreset;
  std::unordered_map<std::string, Use> mUses;
  /** All active workspaces together, summed up now and then: a sum over 330
   * workspaces at each decision took half of its time. */
  Use mTotal;
  Instant mSummedAt;
};

} // namespace bulrushfold

#endif
