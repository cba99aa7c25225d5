#ifndef BULRUSHFOLD_POLICY_RESERVATIONLEDGER_H
#define BULRUSHFOLD_POLICY_RESERVATIONLEDGER_H

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** Settings of a ledger. */
struct LedgerOptions
{
  /** Lifetime of a grant that is neither started nor renewed. */
  Duration mGrantTerm = std::chrono::seconds(15);
  /** A pause of the owner longer than this ends its term. */
  Duration mClockGapLimit = std::chrono::milliseconds(1000);
  /** Time for which a new owner collects claims before it grants
   * reservations. */
  Duration mClaimWindow = std::chrono::milliseconds(200);
  /** Share of the expected completions whose slots may be granted in
   * advance. */
  double mCompletionShare = 0.8;
  /** Maximum of the grants in advance, as a share of the slots. */
  double mMaxAdvanceShare = 0.5;
  /** Share of the slots that may be used, from the preset. */
  double mSlotShare = 1.0;
};

/**
 * Reservations of one endpoint, managed by its owner. Grants decode slots,
 * memory pieces and prefill time. A slot may be granted before it is free when
 * a running decode is expected to end before the new one arrives.
 */
class ReservationLedger
{
public:
  /** Whether the ledger grants reservations. */
  enum class State
  {
    /** This daemon is not the owner, or a pause made its ownership
     * uncertain. */
    NotOwner,
    /** The daemon is a new owner and collects claims of earlier work. */
    Collecting,
    Owning,
  };

  ReservationLedger(std::string aEndpoint, const LedgerOptions& aOptions);

  void SetSlotShare(double aShare) { mOptions.mSlotShare = aShare; }
  /** Starts term aTerm, which must be higher than all earlier ones. */
  void Acquire(std::uint64_t aTerm, Instant aNow);
  /** Ends the term and removes all grants, because the ownership is lost or
   * uncertain. */
  void EndTerm();

  std::variant<Grant, Refusal> Reserve(const ReserveRequest& aRequest,
                                       Instant aNow);
  void Release(const std::string& aRequest,
               std::uint32_t aAttempt,
               WorkKind aKind,
               Instant aNow);
  /** Renews a grant, or adds the grant of an earlier owner. */
  void ApplyClaim(const Claim& aClaim, Instant aNow);
  void OnLoadReport(const LoadReport& aReport, Instant aNow);
  void ReleaseDaemon(const std::string& aDaemon, Instant aNow);
  /** Removes expired grants. */
  void Expire(Instant aNow);

  State CurrentState(Instant aNow) const;
  std::uint64_t Term() const { return mTerm; }
  /** Decode slots that may be granted. */
  std::uint64_t Slots() const;
  std::size_t DecodeGrants() const { return mDecodeCount; }
  std::size_t PrefillGrants() const { return mGrants.size() - mDecodeCount; }
  std::uint64_t PiecesReserved() const { return mPieces; }
  /** Time until the granted prefill work is done. */
  Duration PrefillBacklog(Instant aNow) const;

private:
  struct Entry
  {
    std::string mDaemon;
    WorkKind mKind = WorkKind::Prefill;
    std::uint64_t mPieces = 0;
    Duration mWork{};
    Instant mExpires;
    /** Prefill: determines, with mOrder, the order at the engine. */
    int mPriority = 0;
    std::uint64_t mOrder = 0;
    /** Prefill: latest start that the entry daemon accepts. */
    Instant mLatest;
    /** Decode: the stream occupies its slot. Prefill: the computation is
     * finished and only memory is still used. */
    bool mIsStarted = false;
  };
  /** Request, attempt, kind. */
  using Key = std::pair<std::string, std::pair<std::uint32_t, WorkKind>>;
  using Entries = std::map<Key, Entry>;

  Refusal MakeRefusal(const ReserveRequest& aRequest,
                      RefuseReason aReason,
                      Duration aFreeIn,
                      Instant aNow) const;
  /** The reply for an existing grant, without mFreeIn. */
  Grant DescribeGrant(const ReserveRequest& aRequest, Instant aNow) const;
  Grant MakeGrant(const ReserveRequest& aRequest,
                  Duration aFreeIn,
                  Instant aNow);
  std::variant<Grant, Refusal> ReservePrefill(const ReserveRequest& aRequest,
                                              Instant aNow);
  std::variant<Grant, Refusal> ReserveDecode(const ReserveRequest& aRequest,
                                             Instant aNow);
  /** Decodes that are expected to end within a period, and the rate at which
   * decodes end. */
  struct Completions
  {
    double mSlots = 0;
    double mRatePerSecond = 0;
  };
  Completions ExpectCompletions(Duration aPeriod) const;
  /** Time until a new prefill would start, and whether all granted prefills of
   * a lower priority would still start in time. */
  struct PrefillPlan
  {
    Duration mWait{};
    bool mOthersInTime = true;
  };
  PrefillPlan PlanPrefill(const ReserveRequest& aRequest, Instant aNow) const;
  static bool IsWaitingPrefill(const Entry& aEntry);
  /** Remaining time of the prefill in progress. */
  Duration CurrentPrefillRemaining(Instant aNow) const;
  /** Makes the oldest waiting prefill of the highest priority the one in
   * progress. */
  void StartNextPrefill(Instant aNow);
  /** Running streams that neither a grant nor a claim accounts for. */
  double Unaccounted() const;
  void RecordStarted(Instant aNow);
  double StartedCountAt(Instant aTime) const;
  void Add(const Key& aKey, const Entry& aEntry, Instant aNow);
  Entries::iterator Remove(Entries::iterator aEntry, Instant aNow);

  std::string mEndpoint;
  LedgerOptions mOptions;
  std::uint64_t mTerm = 0;
  bool mIsOwner = false;
  Instant mCollectUntil;
  LoadReport mReport;
  bool mHasReport = false;
  /** Number of started decodes over time, to be compared with load reports,
   * whose measurements lie in the past. */
  std::deque<std::pair<Instant, double>> mStartedHistory;
  /** Streams in the last two load reports that no grant or claim accounts
   * for. */
  double mUnaccounted = 0;
  double mPreviousUnaccounted = 0;
  Entries mGrants;
  std::size_t mDecodeCount = 0;
  std::size_t mStartedCount = 0;
  std::uint64_t mPieces = 0;
  /** The prefill that the engine presumably computes since
   * mCurrentPrefillSince. */
  Key mCurrentPrefill;
  bool mHasCurrentPrefill = false;
  Instant mCurrentPrefillSince;
  std::uint64_t mNextOrder = 0;
};

} // namespace bulrushfold

#endif
