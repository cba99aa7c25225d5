#ifndef BULRUSHFOLD_ROUTER_TRACKEDSTREAM_H
#define BULRUSHFOLD_ROUTER_TRACKEDSTREAM_H

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "Router/StreamPlacer.h"

namespace bulrushfold {

/** A stream of this daemon, with what another placer needs to take it over. */
class TrackedStream : public DispatchedStream
{
public:
  enum class State
  {
    Idle,
    Waiting,
    Placed,
  };

  TrackedStream(StreamDemand aDemand, DispatchedStream& aStream)
    : mDemand(std::move(aDemand))
    , mStream(&aStream)
  {
  }

  // The stream may be unregistered in the call, which destroys this object.
  void HandlePlacement(const StreamPlacement* aPlacement) override
  {
    mState = aPlacement == nullptr ? State::Idle : State::Placed;
    if (aPlacement == nullptr) {
      Refund();
    } else {
      mRun = { mDemand.mNumber,          aPlacement->mDecode,
               StartTokens(mDemand),     mDemand.mAnswerTokens,
               mDemand.mMaxAnswerTokens, std::nullopt,
               mDemand.mPromptKey };
      mIsPrefilling = !aPlacement->mPrefill.empty();
      mRefund = nullptr;
    }
    mStream->HandlePlacement(aPlacement);
  }
  void HandleUnservable(Duration aRetryAfter) override
  {
    mState = State::Idle;
    Refund();
    mStream->HandleUnservable(aRetryAfter);
  }
  void HandleOverQuota(Duration aRetryAfter) override
  {
    mState = State::Idle;
    mStream->HandleOverQuota(aRetryAfter);
  }
  void HandleOverload() override
  {
    mState = State::Idle;
    Refund();
    mStream->HandleOverload();
  }
  void HandleMove(const std::string& aTarget) override
  {
    mStream->HandleMove(aTarget);
  }

  /** The stream was not placed; returns the cost that this daemon took from the
   * quota. */
  void Refund()
  {
    if (const auto refund = std::exchange(mRefund, nullptr); refund) {
      refund(mDemand.mTerms);
    }
  }

  StreamDemand mDemand;
  /** Set while the stream waits and its cost was taken by this daemon. */
  std::function<void(const PlacementTerms&)> mRefund;
  DispatchedStream* mStream;
  State mState = State::Waiting;
  /** Submitted to the owner, not to the placer of this daemon. */
  bool mIsRemote = false;
  bool mIsPrefilling = false;
  /** Valid when the stream is placed. */
  StreamRun mRun;
};

} // namespace bulrushfold

#endif
