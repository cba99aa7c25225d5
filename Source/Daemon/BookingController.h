#ifndef BULRUSHFOLD_DAEMON_BOOKINGCONTROLLER_H
#define BULRUSHFOLD_DAEMON_BOOKINGCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Base/Clock.h"
#include "Booking/BookingRegistry.h"
#include "Booking/BookingShard.h"
#include "Daemon/ClusterController.h"
#include "Daemon/FilterChain.h"
#include "Daemon/ServiceClient.h"
#include "Net/EventLoop.h"
#include "Net/PeerTransport.h"
#include "Platform/ObjectStore.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/**
 * Runs non-idempotent calls: connects the booking registry and the shards that
 * this daemon owns to callers, peers, services and the store.
 */
class BookingController
{
public:
  BookingController(EventLoop& aLoop,
                    const Clock& aClock,
                    PeerTransport& aTransport,
                    ClusterController& aCluster,
                    ObjectStore& aStore,
                    ServiceClient& aServiceClient,
                    const Settings& aSettings,
                    const std::string& aOwnerId);

  void Start();
  void Begin(const RequestPointer& aRequest);
  /** Releases all shards. Calls in progress still report their results. */
  void BeginShutdown();
  /** True if no call is in progress and every result is confirmed. */
  bool IsIdle() const { return !mRegistry.HasUnfinishedRequests(); }
  /** Number of calls, over all owned shards, that wait for the store. */
  std::size_t WaitingCount() const;

private:
  struct Session
  {
    RequestPointer mRequest;
    ServiceClient::Call mCall;
    bool mHasCall = false;
    /** The caller was answered or has disconnected. */
    bool mIsFinished = false;
  };
  using ReplyCallback =
    std::variant<std::function<void(const wire::BookingBeginReply&)>,
                 std::function<void(const wire::BookingResultReply&)>>;

  void RegisterBeginHandler();
  void RegisterResultHandler();
  void AssignShards();
  void TickShards();
  std::string OwnerOf(std::uint64_t aShard) const;

  void ExecuteActions(std::uint64_t aShard, const BookingActions& aActions);
  void Execute(std::uint64_t aShard, const ReadObject& aAction);
  void Execute(std::uint64_t aShard, const WriteObject& aAction);
  void Execute(std::uint64_t aShard, const DeleteObject& aAction);
  void Execute(std::uint64_t aShard, const ReplyToBegin& aAction);
  void Execute(std::uint64_t aShard, const ReplyToResult& aAction);

  void ExecuteActions(const RegistryActions& aActions);
  void Execute(const SendBegin& aAction);
  void Execute(const SendResult& aAction);
  void Execute(const DispatchCall& aAction);
  void Execute(const AnswerCaller& aAction);
  void HandleReply(const std::string& aRequest, const HttpCallReply& aReply);
  /** Erases the session if its request and its call have both ended. */
  void EraseIfFinished(const std::string& aRequest);
  ReplyToken AddReplyCallback(ReplyCallback aCallback);

  EventLoop& mLoop;
  PeerTransport& mTransport;
  ClusterController& mCluster;
  ObjectStore& mStore;
  ServiceClient& mServiceClient;
  BookingSettings mSettings;
  std::vector<std::unique_ptr<BookingShard>> mShards;
  BookingRegistry mRegistry;
  std::map<std::string, Session> mSessions;
  ReplyToken mNextToken = 1;
  std::map<ReplyToken, ReplyCallback> mReplyCallbacks;
  bool mIsShuttingDown = false;
  EventHandle mAssignTimer;
  EventHandle mTickTimer;
  EventHandle mRegistryTimer;
};

/** Runs non-idempotent service calls; passes others to the next filter. */
class BookingFilter : public Filter
{
public:
  explicit BookingFilter(BookingController& aController)
    : mController(aController)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  BookingController& mController;
};

} // namespace bulrushfold

#endif
