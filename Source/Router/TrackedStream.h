#ifndef BULRUSHFOLD_ROUTER_TRACKEDSTREAM_H
#define BULRUSHFOLD_ROUTER_TRACKEDSTREAM_H

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
    if (aPlacement != nullptr) {
      mRun = { mDemand.mNumber,          aPlacement->mDecode,
               StartTokens(mDemand),     mDemand.mAnswerTokens,
               mDemand.mMaxAnswerTokens, std::nullopt,
               mDemand.mPromptKey };
      mIsPrefilling = !aPlacement->mPrefill.empty();
    }
    mStream->HandlePlacement(aPlacement);
  }
  void HandleUnservable(Duration aRetryAfter) override
  {
    mState = State::Idle;
    mStream->HandleUnservable(aRetryAfter);
  }
  void HandleOverload() override
  {
    mState = State::Idle;
    mStream->HandleOverload();
  }
  void HandleMove(const std::string& aTarget) override
  {
    mStream->HandleMove(aTarget);
  }

  StreamDemand mDemand;
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
