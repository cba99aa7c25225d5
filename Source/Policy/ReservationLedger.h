#ifndef BULRUSHFOLD_POLICY_RESERVATIONLEDGER_H
#define BULRUSHFOLD_POLICY_RESERVATIONLEDGER_H

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** Constants of a ledger. */
struct LedgerOptions
{
  /** A grant that is not started or renewed by then ends. */
  Duration mGrantTerm = std::chrono::seconds(15);
  /** A pause of the owner longer than this ends its term. */
  Duration mClockGapLimit = std::chrono::milliseconds(1000);
  /** A new owner collects claims this long before it grants. */
  Duration mClaimWindow = std::chrono::milliseconds(200);
  /** Share of the expected completions that may be promised again. */
  double mAheadShare = 0.8;
  /** Grants beyond the slots, as a share of the slots. */
  double mMaxAhead = 0.5;
  /** Share of the slots that may be used, from the preset. */
  double mSlotShare = 1.0;
};

/**
 * Reservations of one endpoint, kept by its owner. Gives out decode slots,
 * memory pieces and prefill time. A slot may be promised before it is free when
 * running work is expected to end before the new work arrives.
 */
class ReservationLedger
{
public:
  /** Whether the ledger gives grants. */
  enum class State
  {
    /** Not the owner, or no longer certain to be it. */
    NotOwner,
    /** New owner: collects claims of earlier work first. */
    Collecting,
    Owning,
  };

  ReservationLedger(std::string aEndpoint, const LedgerOptions& aOptions);

  void SetSlotShare(double aShare) { mOptions.mSlotShare = aShare; }
  /** Starts period aTerm, which must be higher than all earlier ones. */
  void Acquire(std::uint64_t aTerm, Instant aNow);
  /** Ends the term and drops all grants: ownership is lost or uncertain. */
  void Depose();

  std::variant<Grant, Refusal> Reserve(const ReserveRequest& aRequest,
                                       Instant aNow);
  void Release(const std::string& aRequest,
               std::uint32_t aAttempt,
               WorkKind aKind,
               Instant aNow);
  /** Renews a grant, or adopts work granted by an earlier owner. */
  void Adopt(const Claim& aClaim, Instant aNow);
  void OnLoadReport(const LoadReport& aReport, Instant aNow);
  void ReleaseDaemon(const std::string& aDaemon, Instant aNow);
  /** Ends grants whose time has passed. */
  void Expire(Instant aNow);

  State CurrentState(Instant aNow) const;
  std::uint64_t Term() const { return mTerm; }
  /** Decode slots that may be given out. */
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
    /** Prefill: order at the engine and latest useful start. */
    int mPriority = 0;
    std::uint64_t mOrder = 0;
    Instant mLatest;
    /** Decode: runs in its slot. Prefill: computed, only memory is held. */
    bool mIsStarted = false;
  };
  /** Request, attempt, kind. */
  using Key = std::pair<std::string, std::pair<std::uint32_t, WorkKind>>;
  using Entries = std::map<Key, Entry>;

  Refusal MakeRefusal(const ReserveRequest& aRequest,
                      RefuseReason aReason,
                      Duration aFreeIn,
                      Instant aNow) const;
  /** The grant as it stands, without its times. */
  Grant DescribeGrant(const ReserveRequest& aRequest, Instant aNow) const;
  Grant MakeGrant(const ReserveRequest& aRequest,
                  Duration aFreeIn,
                  Instant aNow);
  std::variant<Grant, Refusal> ReservePrefill(const ReserveRequest& aRequest,
                                              Instant aNow);
  std::variant<Grant, Refusal> ReserveDecode(const ReserveRequest& aRequest,
                                             Instant aNow);
  /** Decodes that are expected to end within aSpan, and their pieces. */
  struct Completions
  {
    double mSlots = 0;
    double mPieces = 0;
    double mRatePerSecond = 0;
  };
  Completions ExpectCompletions(Duration aSpan) const;
  /** Time until a prefill of aPriority would start, and whether all prefills
   * that it overtakes still start in time. */
  struct PrefillPlan
  {
    Duration mWait{};
    bool mKeepsOthers = true;
  };
  PrefillPlan PlanPrefill(const ReserveRequest& aRequest, Instant aNow) const;
  static bool IsWaitingPrefill(const Entry& aEntry);
  /** Time that the prefill in progress still needs. */
  Duration HeadRemaining(Instant aNow) const;
  /** The next prefill begins; the oldest one of the highest priority. */
  void NextHead(Instant aNow);
  /** Running streams that no grant or claim explains. */
  double Foreign() const;
  void NoteStarted(Instant aNow);
  double StartedAt(Instant aTime) const;
  void Add(const Key& aKey, const Entry& aEntry, Instant aNow);
  Entries::iterator Remove(Entries::iterator aEntry, Instant aNow);

  std::string mEndpoint;
  LedgerOptions mOptions;
  std::uint64_t mTerm = 0;
  bool mIsOwner = false;
  Instant mCollectUntil;
  LoadReport mReport;
  bool mHasReport = false;
  /** Started decodes over time, to compare with readings of the past. */
  std::deque<std::pair<Instant, double>> mStartedHistory;
  /** Streams of the last two readings that the ledger did not grant. */
  double mForeign = 0;
  double mForeignBefore = 0;
  Entries mGrants;
  std::size_t mDecodeCount = 0;
  std::size_t mStartedCount = 0;
  std::uint64_t mPieces = 0;
  /** The prefill that the engine is taken to compute, since mHeadSince. */
  Key mHead;
  bool mHasHead = false;
  Instant mHeadSince;
  std::uint64_t mNextOrder = 0;
};

} // namespace bulrushfold

#endif
