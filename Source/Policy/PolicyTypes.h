#ifndef BULRUSHFOLD_POLICY_POLICYTYPES_H
#define BULRUSHFOLD_POLICY_POLICYTYPES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"

namespace bulrushfold {

/** Tokens in one piece of engine memory. */
constexpr std::uint64_t kTokensPerPiece = 2000;

/** Pieces that hold aTokens. */
std::uint64_t PieceCount(std::uint64_t aTokens);

/** A leading part of a prompt, as named by cache events. */
struct PromptPrefix
{
  std::uint64_t mHash = 0;
  std::uint64_t mTokens = 0;
};

/** A model request as the policy sees it. */
struct ModelRequest
{
  std::string mId;
  std::string mWorkspace;
  std::string mModel;
  /** Weight of the workspace; positive. */
  double mShare = 1;
  RequestClass mClass = RequestClass::Interactive;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mMaxTokens = 0;
  /** Prefixes of the prompt, shortest first; see HashPrefixes. */
  std::vector<PromptPrefix> mPrefixes;
  Instant mArrival;
  /** The caller gives up at this time. */
  Instant mDeadline;
};

/** An engine's load, as it was when the engine took the reading. */
struct LoadReport
{
  std::uint64_t mRunning = 0;
  std::uint64_t mQueued = 0;
  std::uint64_t mSlots = 0;
  std::uint64_t mPiecesTotal = 0;
  std::uint64_t mPiecesUsed = 0;
  /** Age of the reading when it arrived. */
  Duration mAge{};
};

/** Which resource of an endpoint a reservation concerns. */
enum class WorkKind
{
  Prefill,
  Decode,
};

/** Asks the owner of an endpoint for room. Times are relative to receipt,
 * because the clocks of two daemons differ. */
struct ReserveRequest
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  /** Entry daemon, as NAME/INCARNATION; filled in by the daemon. */
  std::string mDaemon;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  /** Expected time of use: computing for prefill, in a slot for decode. */
  Duration mWork{};
  std::uint64_t mPieces = 0;
  /** Bytes that will arrive over the endpoint's link; 0 for prefill. */
  double mLinkBytes = 0;
  /** Earliest time at which the entry daemon can use the room. */
  Duration mReadyIn{};
  /** Latest start that is still useful. */
  Duration mLatestIn{};
  /** Prefill: until then a granted start may be put off by work of a higher
   * priority; not before mLatestIn. */
  Duration mDueIn{};
  /** Prefill: the engine computes higher ones first, 0 to 9. */
  int mPriority = 0;
  /** Slots that must stay free for other workspaces after this grant. */
  std::uint64_t mMinFreeSlots = 0;
};

/** The owner's reply that gives a reservation. */
struct Grant
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  /** Period of ownership; 0 when the room is used without a grant. */
  std::uint64_t mTerm = 0;
  Duration mExpiresIn{};
  /** Time until the room is expected to be free. */
  Duration mFreeIn{};
  /** Prefill: time that all work granted so far takes, this one included. */
  Duration mBacklog{};
};

/** Why an owner gave no reservation. */
enum class RefuseReason
{
  NotOwner,
  NoSlot,
  NoMemory,
  TooLate,
  /** Set by the entry daemon when the owner did not answer. */
  NoAnswer,
};

/** The owner's reply that gives no reservation. */
struct Refusal
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  RefuseReason mReason = RefuseReason::NoSlot;
  /** Time after which asking again may help. */
  Duration mFreeIn{};
  /** Prefill: time that all work granted so far takes. */
  Duration mBacklog{};
};

/** States work in progress to an owner: a renewal, the start of use, or the
 * report to a new owner. */
struct Claim
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mDaemon;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  std::uint64_t mPieces = 0;
  /** Expected remaining time of use. */
  Duration mRemaining{};
  /** Decode: it runs in its slot. Prefill: it is computed, and only memory is
   * still used. */
  bool mIsStarted = false;
};

/** Why a request got no answer from the policy. */
enum class RejectReason
{
  DeadlinePassed,
  TargetUnreachable,
  QueueFull,
  WaitedTooLong,
  NoEndpoint,
  RetryBudget,
  Failed,
};

/** Name of aReason, for problem codes and logs. */
std::string_view RejectReasonName(RejectReason aReason);
/** Name of aReason, for logs. */
std::string_view RefuseReasonName(RefuseReason aReason);

/** What went wrong at an endpoint or on the way to it. */
enum class FailureKind
{
  NoMemory,
  NoSlot,
  Evicted,
  /** A transfer makes no progress. */
  Stalled,
  /** The endpoint drains, has another role or lacks the model. */
  Unsuitable,
  /** The connection broke, timed out, or the engine crashed. */
  Lost,
};

/** Answer the caller with a refusal that says "not run" or, after a failure,
 * with an error. The request is forgotten. */
struct RejectAction
{
  std::string mRequest;
  RejectReason mReason = RejectReason::Failed;
  Duration mRetryAfter{};
};

/** The request waits for capacity; nothing to do but to keep it. */
struct QueueAction
{
  std::string mRequest;
};

/** Send mReserve to the owner of mReserve.mEndpoint. */
struct ReserveAction
{
  ReserveRequest mReserve;
};

/** Tell the owner that a reservation is no longer needed. */
struct ReleaseAction
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
};

/** Send mClaim to the owner of mClaim.mEndpoint. */
struct ClaimAction
{
  Claim mClaim;
};

/** Call /engine/prefill. */
struct StartPrefillAction
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  /** 0 to 9, 9 first. */
  int mPriority = 0;
};

/** Call /engine/transfer at mTo. */
struct StartTransferAction
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mFrom;
  std::string mTo;
};

/** Call /engine/decode, not before mDelay has passed. */
struct StartDecodeAction
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  Duration mDelay{};
};

/** Cancel one attempt at an endpoint, until the endpoint confirms it. */
struct CancelAction
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
};

/** What the daemon must do. */
using Action = std::variant<RejectAction,
                            QueueAction,
                            ReserveAction,
                            ReleaseAction,
                            ClaimAction,
                            StartPrefillAction,
                            StartTransferAction,
                            StartDecodeAction,
                            CancelAction>;
using Actions = std::vector<Action>;

} // namespace bulrushfold

#endif
