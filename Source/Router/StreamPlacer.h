#ifndef BULRUSHFOLD_ROUTER_STREAMPLACER_H
#define BULRUSHFOLD_ROUTER_STREAMPLACER_H

#include <cstdint>
#include <string>

#include "Base/Clock.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** A stream that is placed and moved. */
class DispatchedStream
{
public:
  virtual ~DispatchedStream() = default;
  /** aPlacement: null when the stream expired in the queue. */
  virtual void HandlePlacement(const StreamPlacement* aPlacement) = 0;
  /** No engine will accept the stream in time. aRetryAfter: time until one
   * accepts streams again; zero when it is unknown. */
  virtual void HandleUnservable(Duration aRetryAfter) = 0;
  /** The workspace has used up its quota until aRetryAfter. */
  virtual void HandleOverQuota(Duration aRetryAfter) = 0;
  /** The stream is refused, because it could not begin in time. */
  virtual void HandleOverload() = 0;
  /** The scheduler proposes to move the run to aTarget. */
  virtual void HandleMove(const std::string& aTarget) = 0;
};

/** Places streams on engines, and follows the runs that it placed. */
class StreamPlacer
{
public:
  virtual ~StreamPlacer() = default;

  /** False when aDemand is not expected to begin in time. */
  virtual bool Admits(const StreamDemand& aDemand) = 0;
  /** Queues aStream, which must stay valid until Unregister is called. */
  virtual void Submit(StreamDemand aDemand, DispatchedStream& aStream) = 0;
  /** Follows a run of aStream that another daemon placed. */
  virtual void Adopt(const StreamRun& aRun, DispatchedStream& aStream) = 0;
  virtual void Withdraw(std::uint64_t aNumber) = 0;
  virtual void Unregister(std::uint64_t aNumber) = 0;
  virtual void OnPrefillEnded(std::uint64_t aNumber, Duration aDuration) = 0;
  virtual void OnDecodeStarted(std::uint64_t aNumber) = 0;
  virtual void OnDecodeEnded(std::uint64_t aNumber) = 0;
  /** The daemon that served the run is gone; the prompt may still be in the
   * cache of its engine. To be called before OnDecodeEnded. */
  virtual void OnRunAbandoned(std::uint64_t aNumber) = 0;
  virtual void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint) = 0;
  virtual void OnProgress(const std::string& aService,
                          std::uint64_t aEvents,
                          std::uint32_t aTokensPerEvent,
                          Duration aDuration) = 0;
  virtual void OnReservationRefused(const std::string& aEndpoint,
                                    std::uint64_t aTokens) = 0;
  /** The run of a stream with this prompt was interrupted at aPrompt's engine,
   * which may still have it in its cache. */
  virtual void OnInterrupted(const CachedPrompt& aPrompt) = 0;
  virtual std::size_t WaitingCount() const = 0;
};

} // namespace bulrushfold

#endif
