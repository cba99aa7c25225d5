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
                    ServiceClient& aServices,
                    const Settings& aSettings,
                    const std::string& aOwnerId);

  void Start();
  void Begin(const RequestPointer& aRequest);
  /** Gives all shards up; calls in progress still report their results. */
  void BeginStop();
  /** True when no call is in progress and every result is confirmed. */
  bool IsIdle() const { return !mRegistry.HasUnfinishedRequests(); }
  /** Calls of all owned shards that wait for the store. */
  std::size_t WaitingCount() const;

private:
  struct Session
  {
    RequestPointer mRequest;
    ServiceClient::Call mCall;
    bool mHasCall = false;
    /** The caller was answered or is gone. */
    bool mIsOver = false;
  };
  using Replier =
    std::variant<std::function<void(const wire::BookingBeginReply&)>,
                 std::function<void(const wire::BookingResultReply&)>>;

  void HandleBegin();
  void HandleResult();
  void AssignShards();
  void TurnShards();
  std::string OwnerOf(std::uint64_t aShard) const;

  void Carry(std::uint64_t aShard, const BookingActions& aActions);
  void Do(std::uint64_t aShard, const ReadObject& aAction);
  void Do(std::uint64_t aShard, const WriteObject& aAction);
  void Do(std::uint64_t aShard, const DeleteObject& aAction);
  void Do(std::uint64_t aShard, const ReplyToBegin& aAction);
  void Do(std::uint64_t aShard, const ReplyToResult& aAction);

  void Carry(const RegistryActions& aActions);
  void Do(const SendBegin& aAction);
  void Do(const SendResult& aAction);
  void Do(const DispatchCall& aAction);
  void Do(const AnswerCaller& aAction);
  void TakeReply(const std::string& aRequest, const HttpCallReply& aReply);
  /** Forgets a session whose request and call have both ended. */
  void DropIfOver(const std::string& aRequest);
  ReplyToken AddReplier(Replier aReplier);

  EventLoop& mLoop;
  PeerTransport& mTransport;
  ClusterController& mCluster;
  ObjectStore& mStore;
  ServiceClient& mServices;
  BookingSettings mSettings;
  std::vector<std::unique_ptr<BookingShard>> mShards;
  BookingRegistry mRegistry;
  std::map<std::string, Session> mSessions;
  ReplyToken mNextToken = 1;
  std::map<ReplyToken, Replier> mRepliers;
  bool mIsStopping = false;
  EventHandle mAssignTimer;
  EventHandle mTurnTimer;
  EventHandle mRegistryTimer;
};

/** Runs non-idempotent service calls; passes other requests on. */
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
