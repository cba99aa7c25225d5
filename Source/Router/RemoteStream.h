#ifndef BULRUSHFOLD_ROUTER_REMOTESTREAM_H
#define BULRUSHFOLD_ROUTER_REMOTESTREAM_H

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "Router/PlacementOwner.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

/** A stream of a client, as the stream placer of this daemon sees it. */
class PlacementOwner::RemoteStream : public DispatchedStream
{
public:
  RemoteStream(PlacementOwner& aOwner,
               std::string aClient,
               std::uint64_t aNumber,
               std::uint64_t aLocalNumber)
    : mOwner(aOwner)
    , mClient(std::move(aClient))
    , mNumber(aNumber)
    , mLocalNumber(aLocalNumber)
    , mCreatedAt(aOwner.mClock.Now())
  {
  }
  ~RemoteStream() override
  {
    *mIsAlive = false;
    StreamPlacer& streams = mOwner.mTables.mStreams;
    if (mResponder) {
      mOwner.mTables.mQuotas.Refund(mTerms);
      streams.Withdraw(mLocalNumber);
    } else {
      streams.OnPrefillEnded(mLocalNumber, Duration::zero());
      streams.OnDecodeEnded(mLocalNumber);
    }
    streams.Unregister(mLocalNumber);
  }

  void Submit(StreamDemand aDemand, Responder aResponder)
  {
    mResponder = std::move(aResponder);
    mRequestHash = aDemand.mRequestHash;
    mFirstArrival = aDemand.mSubmittedAt;
    const Instant now = mOwner.mClock.Now();
    if (const auto first =
          mOwner.mTables.mDeferredRequests.FirstArrival(mRequestHash, now);
        first && mRequestHash != 0) {
      mFirstArrival = *first;
      aDemand.mIsRetry = true;
      aDemand.mFirstEventDeadline -= now - *first;
    }
    aDemand.mNumber = mLocalNumber;
    mOrigin = { aDemand.mStream,
                aDemand.mService,
                "",
                aDemand.mResumableUntil,
                aDemand.mSoftware.has_value() };
    mTerms = aDemand.mTerms;
    if (const auto wait = mOwner.mTables.mQuotas.Take(mTerms, now); wait) {
      mTerms.mCost = 0;
      HandleOverQuota(*wait);
      return;
    }
    if (!aDemand.mIsRetry && !mOwner.mTables.mStreams.Admits(aDemand)) {
      Refuse(wire::StreamPlacementResult::OVERLOAD, Duration::zero());
      return;
    }
    if (!aDemand.mWasInterrupted) {
      mOwner.mTables.mStreams.Submit(std::move(aDemand), *this);
      return;
    }
    mOwner.mHooks.mFindCachedPrompt(
      aDemand, [this, alive = mIsAlive, demand = aDemand] {
        if (*alive) {
          mOwner.mTables.mStreams.Submit(demand, *this);
        }
      });
  }

  void HandlePlacement(const StreamPlacement* aPlacement) override
  {
    if (aPlacement == nullptr) {
      Refuse(wire::StreamPlacementResult::EXPIRED, Duration::zero());
    } else {
      RecordOrigin(aPlacement->mDecode);
      Respond(ToWire(*aPlacement));
    }
  }
  void HandleUnservable(Duration aRetryAfter) override
  {
    Refuse(wire::StreamPlacementResult::UNSERVABLE, aRetryAfter);
  }
  void HandleOverQuota(Duration aRetryAfter) override
  {
    wire::StreamPlacementReply reply;
    reply.result = wire::StreamPlacementResult::OVER_QUOTA;
    reply.retryAfterMs = WholeMilliseconds(aRetryAfter);
    Respond(reply);
  }
  void HandleOverload() override
  {
    Refuse(wire::StreamPlacementResult::OVERLOAD, Duration::zero());
  }
  void HandleMove(const std::string& aTarget) override
  {
    Client& client = mOwner.mClients.at(mClient);
    wire::MoveProposal move;
    move.number = static_cast<std::int64_t>(mNumber);
    move.target = aTarget;
    client.mMoves.push_back(std::move(move));
    mOwner.AnswerPoll(client);
  }
  std::uint64_t LocalNumber() const { return mLocalNumber; }
  Instant CreatedAt() const { return mCreatedAt; }

private:
  /** The next event comes from aEngine, as far as the owner knows. */
  void RecordOrigin(const std::string& aEngine)
  {
    if (mOrigin.mStream != 0) {
      mOrigin.mSoftware = mOwner.mTables.mDirectory.SoftwareOf(aEngine);
      mOwner.mTables.mOrigins.Merge({ mOrigin }, mOwner.mClock.Now());
    }
  }
  void Refuse(wire::StreamPlacementResult::type aResult, Duration aRetryAfter)
  {
    mOwner.mTables.mQuotas.Refund(mTerms);
    mOwner.mTables.mDeferredRequests.OnDeferred(
      mRequestHash, mFirstArrival, mOwner.mClock.Now());
    wire::StreamPlacementReply reply;
    reply.result = aResult;
    reply.retryAfterMs = static_cast<std::int32_t>(ToMilliseconds(aRetryAfter));
    Respond(reply);
  }
  void Respond(const wire::StreamPlacementReply& aReply)
  {
    if (const auto responder = std::exchange(mResponder, nullptr); responder) {
      responder(EncodeThrift(aReply));
    }
  }

  PlacementOwner& mOwner;
  std::string mClient;
  std::uint64_t mNumber;
  std::uint64_t mLocalNumber;
  Instant mCreatedAt;
  StreamOrigin mOrigin;
  std::uint64_t mRequestHash = 0;
  PlacementTerms mTerms;
  Instant mFirstArrival;
  /** Set while the stream waits. */
  Responder mResponder;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
