#ifndef BULRUSHFOLD_ROUTER_STREAMORIGINEXCHANGE_H
#define BULRUSHFOLD_ROUTER_STREAMORIGINEXCHANGE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Net/PeerTransport.h"
#include "Router/PlacementMessages.h"
#include "Router/WakeTimer.h"
#include "Routing/SoftwareHistory.h"
#include "Routing/StreamOrigins.h"
#include "Routing/StreamVersion.h"

namespace bulrushfold {

/** A stream that a caller resumes. */
struct ResumedStream
{
  /** See RoutedRequest::StreamKey. */
  std::uint64_t mStream = 0;
  std::string mService;
  /** The caller names the attempt that brought the first event. */
  bool mIsNamed = false;
  /** Time since the earliest possible begin of the stream. */
  Duration mWindow{};
};

/**
 * Finds the software version at which a resumed stream may go on, and tells
 * other daemons what this one knows. Nothing is asked while all engines that
 * may have begun the stream have one version.
 */
class StreamOriginExchange
{
public:
  struct Hooks
  {
    /** The daemons that may have the record of a stream: all live peers in a
     * small fleet, the owner and its possible successors in a large one. */
    std::function<std::vector<FleetMember>()> mRecordHolders;
    /** This daemon places for the fleet, so it tells its possible successors
     * what it knows. */
    std::function<bool()> mIsOwner;
  };
  /** How many other daemons were asked, and how many of them answered. */
  struct QuestionCounts
  {
    std::size_t mAsked = 0;
    std::size_t mAnswered = 0;
  };
  using DecisionHook =
    std::function<void(const VersionDecision&, const QuestionCounts&)>;

  StreamOriginExchange(EventLoop& aLoop,
                       const Clock& aClock,
                       StreamOrigins& aOrigins,
                       const SoftwareHistory& aHistory,
                       PlacementLink aLink,
                       Hooks aHooks);
  StreamOriginExchange(const StreamOriginExchange&) = delete;
  StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;
  ~StreamOriginExchange();

  /** The links to other daemons are open: answers their questions. */
  void HandleLinksOpen(PeerTransport& aTransport);
  /** aService has engines of several versions, or had lately. */
  bool IsMixed(const std::string& aService) const;
  /** Calls aHook with the decision for aStream; at once unless other daemons
   * have to be asked. The hook may be called after the caller has left. */
  void Resolve(const ResumedStream& aStream, DecisionHook aHook);

private:
  struct PendingQuestion;

  VersionFacts FactsOf(const ResumedStream& aStream) const;
  /** The record of aStream at this daemon; null when it has none. */
  const StreamOrigin* RecordOf(const ResumedStream& aStream) const;
  /** The only version that may have begun aStream, if it is known. */
  std::optional<std::string> SoleVersion(const ResumedStream& aStream) const;
  void Ask(const std::shared_ptr<PendingQuestion>& aQuestion);
  void AskWaiting();
  /** Calls the hook of aQuestion with the decision. */
  void Finish(PendingQuestion& aQuestion);
  void HandleReply(PendingQuestion& aQuestion,
                   const absl::StatusOr<std::string>& aReply);
  absl::StatusOr<std::string> Answer(const std::string& aPayload) const;
  void HandleOrigins(const std::string& aPayload);
  /** Tells the possible successors of this owner what is new. */
  void Forward();

  EventLoop& mLoop;
  const Clock& mClock;
  StreamOrigins& mOrigins;
  const SoftwareHistory& mHistory;
  PlacementLink mLink;
  Hooks mHooks;
  /** Questions that have not ended. */
  std::size_t mPending = 0;
  /** This daemon has found the others by then. */
  Instant mStartEnd;
  /** Questions that wait until the others are found. */
  std::vector<std::shared_ptr<PendingQuestion>> mWaiting;
  EventHandle mStartTimer;
  WakeTimer mForwardTimer;
  /** When the successors were told last; zero: never. */
  Instant mForwardedAt;
  std::vector<std::string> mForwardedTo;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
