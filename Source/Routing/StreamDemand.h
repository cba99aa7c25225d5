#ifndef BULRUSHFOLD_ROUTING_STREAMDEMAND_H
#define BULRUSHFOLD_ROUTING_STREAMDEMAND_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "Base/Clock.h"
#include "Routing/PlacementTerms.h"
#include "Routing/RoutingConfig.h"

namespace bulrushfold {

/** A stream that waits for engines, and what it needs of them. */
struct StreamDemand
{
  /** Unique in this daemon. */
  std::uint64_t mNumber = 0;
  std::string mService;
  EngineProfile mProfile;
  std::uint64_t mPromptTokens = 0;
  /** Tokens of the answer that the caller has already. Their KV cache is not
   * computed by a prefill engine but by the decode engine, in a local prefill
   * between the tokens of its runs. */
  std::uint64_t mGeneratedTokens = 0;
  /** Expected length of the rest of the answer, in tokens. */
  std::uint64_t mAnswerTokens = 0;
  /** Maximum length of the rest of the answer, in tokens. */
  std::uint64_t mMaxAnswerTokens = 0;
  /** Latest time at which the first event is on time. */
  Instant mFirstEventDeadline;
  /** Time since which the stream waits. */
  Instant mSubmittedAt;
  /** Time at which the stream is removed from the queue without service. */
  Instant mQueueDeadline;
  /** Engines at which an earlier attempt of this stream failed. */
  std::set<std::string> mFailedEndpoints;
  /** Key of the part of the prompt that only this stream has; 0: unknown. */
  std::uint64_t mPromptKey = 0;
  /** An earlier run was interrupted, so an engine may cache its prompt. */
  bool mWasInterrupted = false;
  /** The caller has retried or resumed the stream. */
  bool mIsRetry = false;
  /** Software version that began the answer, at which alone it may go on; empty
   * when the answer has not begun. */
  std::optional<std::string> mSoftware;
  /** Identifies the stream, also over the attempts of its caller; 0: the caller
   * may not resume it. */
  std::uint64_t mStream = 0;
  /** Time until which the caller may resume the stream. */
  Instant mResumableUntil;
  /** Hash of path, caller and body; equal for all attempts of a caller. */
  std::uint64_t mRequestHash = 0;
  PlacementTerms mTerms{};
};

/** Tokens whose KV cache aDemand needs before it can generate. */
std::uint64_t StartTokens(const StreamDemand& aDemand);

/** Expected memory use of aDemand, summed over the tokens that it generates. */
double MemoryTime(const StreamDemand& aDemand);

} // namespace bulrushfold

#endif
