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

/** Tokens in one piece, the unit in which engines allocate KV cache memory. */
constexpr std::uint64_t kTokensPerPiece = 2000;

/** Number of pieces that a KV cache of aTokens occupies. */
std::uint64_t PieceCount(std::uint64_t aTokens);

/** A prefix of a prompt, identified by the same hash as in cache events. */
struct PromptPrefix
{
  std::uint64_t mHash = 0;
  std::uint64_t mTokens = 0;
};

/** The properties of a model request that routing decisions use. */
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
  /** Time after which the caller no longer waits for the answer. */
  Instant mDeadline;
};

/** The load of an engine at the time of its measurement. */
struct LoadReport
{
  std::uint64_t mRunning = 0;
  std::uint64_t mQueued = 0;
  std::uint64_t mSlots = 0;
  std::uint64_t mPiecesTotal = 0;
  std::uint64_t mPiecesUsed = 0;
  /** Age of the measurement when the report arrived. */
  Duration mAge{};
};

/** Which resource of an endpoint a reservation concerns. */
enum class WorkKind
{
  Prefill,
  Decode,
};

/** Requests a reservation from the owner of an endpoint. Times are relative to
 * receipt, because the clocks of two daemons differ. */
struct ReserveRequest
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  /** Entry daemon, as NAME/INCARNATION; filled in by the daemon. */
  std::string mDaemon;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  /** Expected time of use: computing time for a prefill, time in a slot for a
   * decode. */
  Duration mWork{};
  std::uint64_t mPieces = 0;
  /** Bytes that will arrive over the endpoint's link; 0 for prefill. */
  double mLinkBytes = 0;
  /** Earliest time at which the entry daemon can use the reservation. */
  Duration mReadyIn{};
  /** Latest start that the entry daemon accepts. */
  Duration mLatestIn{};
  /** Prefill: latest start to which work of a higher priority may delay the
   * prefill after it was granted; not before mLatestIn. */
  Duration mDueIn{};
  /** Prefill: 0 to 9; the engine computes higher priorities first. */
  int mPriority = 0;
  /** Decode slots that must stay free for other workspaces after the grant. */
  std::uint64_t mMinFreeSlots = 0;
};

/** The owner's reply that grants a reservation. */
struct Grant
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  /** Number of the owner's term; 0 when the endpoint is used without a
   * grant. */
  std::uint64_t mTerm = 0;
  Duration mExpiresIn{};
  /** Time until the reserved capacity is expected to be free. */
  Duration mFreeIn{};
  /** Prefill: total time of all granted work, this reservation included. */
  Duration mBacklog{};
};

/** Why an owner refused a reservation. */
enum class RefuseReason
{
  NotOwner,
  NoSlot,
  NoMemory,
  TooLate,
  /** Set by the entry daemon when the owner did not answer. */
  NoAnswer,
};

/** The owner's reply that refuses a reservation. */
struct Refusal
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  WorkKind mKind = WorkKind::Prefill;
  RefuseReason mReason = RefuseReason::NoSlot;
  /** Time after which a new reservation request may succeed. */
  Duration mFreeIn{};
  /** Prefill: total time of all granted work. */
  Duration mBacklog{};
};

/** Reports work in progress to an owner. It renews a grant, reports that the
 * use of the reservation started, or informs a new owner. */
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
  /** Decode: the stream occupies its slot. Prefill: the computation is
   * finished and only memory is still used. */
  bool mIsStarted = false;
};

/** Why the policy rejected a request. */
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

/** How a call to an endpoint failed. */
enum class FailureKind
{
  NoMemory,
  NoSlot,
  Evicted,
  /** A transfer makes no progress. */
  Stalled,
  /** The endpoint drains, has another role or lacks the model. */
  Unsuitable,
  /** The connection was lost or timed out, or the engine crashed. */
  Lost,
};

/** Answer the caller with a refusal that says "not run" or, after a failure,
 * with an error. The policy has removed the request. */
struct RejectAction
{
  std::string mRequest;
  RejectReason mReason = RejectReason::Failed;
  Duration mRetryAfter{};
};

/** The request waits in the queue for capacity; keep its connection open. */
struct QueueAction
{
  std::string mRequest;
};

/** Send mReserve to the owner of mReserve.mEndpoint. */
struct ReserveAction
{
  ReserveRequest mReserve;
};

/** Inform the owner that a reservation is no longer needed. */
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
  /** 0 to 9; the engine computes higher priorities first. */
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

/** Cancel one attempt at an endpoint; repeat it until the endpoint confirms. */
struct CancelAction
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
};

/** An action that the daemon carries out for the policy. */
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
