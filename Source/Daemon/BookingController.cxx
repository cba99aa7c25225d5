#include "Daemon/BookingController.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"
#include "Base/Log.h"
#include "Daemon/LookupSession.h"
#include "Wire/ThriftCodec.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

// The first call after a quiet time waits at most this long for its commit.
constexpr Duration kMaxTurnInterval = std::chrono::milliseconds(10);
constexpr Duration kAssignInterval = std::chrono::milliseconds(250);
constexpr Duration kRegistryInterval = std::chrono::milliseconds(50);
// The death of an owner is noticed within this time; asking again is harmless.
constexpr Duration kReplyTimeout = std::chrono::seconds(2);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr int kStatusPreconditionFailed = 412;

Cause
CauseOfRefusal(const std::string& aReason)
{
  if (aReason == "booking_queue_full" || aReason == "too_many_bookings") {
    return Cause::BookingQueueFull;
  }
  if (aReason == "key_time_in_future" || aReason == "key_malformed") {
    return Cause::BadIdempotencyKey;
  }
  if (aReason == "no_endpoint") {
    return Cause::NoCapacity;
  }
  if (aReason == "not_sent") {
    return Cause::EndpointDied;
  }
  return Cause::StoreDown;
}

Problem
ProblemOf(const AnswerCaller& aAnswer)
{
  Problem problem;
  problem.mDetail = absl::StrCat("booking record: ", aAnswer.mReason);
  switch (aAnswer.mOutcome) {
    case BookingOutcome::BodyDiffers:
      problem.mCause = Cause::KeyReused;
      break;
    case BookingOutcome::NotRun:
      problem.mCause = CauseOfRefusal(aAnswer.mReason);
      problem.mRetryAfter = kRetryAfter;
      break;
    default:
      problem.mCause = aAnswer.mReason == "key_older_than_records"
                         ? Cause::KeyTooOld
                         : Cause::BookingUnknown;
      problem.mRan = RanState::Unknown;
      break;
  }
  return problem;
}

} // namespace

BookingController::BookingController(EventLoop& aLoop,
                                     const Clock& aClock,
                                     PeerTransport& aTransport,
                                     ClusterController& aCluster,
                                     ObjectStore& aStore,
                                     ServiceClient& aServices,
                                     const Settings& aSettings,
                                     const std::string& aOwnerId)
  : mLoop(aLoop)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mStore(aStore)
  , mServices(aServices)
  , mSettings(aSettings.mBookings)
  , mRegistry({ aOwnerId, aSettings.mBookings }, aClock)
{
  for (std::uint64_t n = 0; n < mSettings.mShards; ++n) {
    BookingShardOptions options;
    options.mShard = n;
    options.mWriter = aOwnerId;
    options.mBookings = mSettings;
    options.mClockGapLimit = aSettings.mPeers.mClockGapLimit;
    mShards.push_back(std::make_unique<BookingShard>(options, aClock));
  }
}

void
BookingController::Start()
{
  HandleBegin();
  HandleResult();
  mCluster.mMembersChanged.connect(
    [this](const MemberChanges&) { AssignShards(); });
  mAssignTimer = mLoop.Every(kAssignInterval, [this] { AssignShards(); });
  mTurnTimer =
    mLoop.Every(std::min(mSettings.mCommitInterval, kMaxTurnInterval),
                [this] { TurnShards(); });
  mRegistryTimer =
    mLoop.Every(kRegistryInterval, [this] { Carry(mRegistry.OnTimer()); });
}

void
BookingController::BeginStop()
{
  mIsStopping = true;
  AssignShards();
}

std::size_t
BookingController::WaitingCount() const
{
  std::size_t n = 0;
  for (const auto& it : mShards) {
    n += it->WaitingCount();
  }
  return n;
}

std::string
BookingController::OwnerOf(std::uint64_t aShard) const
{
  return mCluster.Rings().Owner(absl::StrCat("booking-shard/", aShard));
}

void
BookingController::AssignShards()
{
  for (std::uint64_t n = 0; n < mShards.size(); ++n) {
    BookingShard& shard = *mShards[n];
    const bool isMine =
      !mIsStopping && mCluster.IsReady() && mCluster.IsSelf(OwnerOf(n));
    if (isMine && shard.Phase() == ShardPhase::NotOwner) {
      Carry(n, shard.Acquire());
    } else if (!isMine && shard.Phase() != ShardPhase::NotOwner) {
      Carry(n, shard.Resign());
    }
  }
}

void
BookingController::TurnShards()
{
  for (std::uint64_t n = 0; n < mShards.size(); ++n) {
    if (mShards[n]->Phase() != ShardPhase::NotOwner) {
      Carry(n, mShards[n]->OnTimer());
    }
  }
}

ReplyToken
BookingController::AddReplier(Replier aReplier)
{
  const ReplyToken token = mNextToken++;
  mRepliers[token] = std::move(aReplier);
  return token;
}

void
BookingController::HandleBegin()
{
  mTransport.Handle(
    wire::MessageKind::BOOKING_BEGIN,
    [this](const std::string&,
           const std::string& aPayload,
           PeerTransport::Responder aRespond) {
      const auto begin = DecodeThrift<wire::BookingBegin>(aPayload);
      if (!begin.ok()) {
        aRespond(begin.status());
        return;
      }
      const std::uint64_t shard = ShardOf(begin->key, mShards.size());
      const ReplyToken token = AddReplier(
        [respond = std::move(aRespond)](const wire::BookingBeginReply& aIt) {
          respond(EncodeThrift(aIt));
        });
      Carry(shard, mShards[shard]->Begin(token, *begin));
    });
}

void
BookingController::HandleResult()
{
  mTransport.Handle(
    wire::MessageKind::BOOKING_RESULT,
    [this](const std::string&,
           const std::string& aPayload,
           PeerTransport::Responder aRespond) {
      const auto result = DecodeThrift<wire::BookingResult>(aPayload);
      if (!result.ok()) {
        aRespond(result.status());
        return;
      }
      const std::uint64_t shard = ShardOf(result->key, mShards.size());
      const ReplyToken token = AddReplier(
        [respond = std::move(aRespond)](const wire::BookingResultReply& aIt) {
          respond(EncodeThrift(aIt));
        });
      Carry(shard, mShards[shard]->Result(token, *result));
    });
}

void
BookingController::Carry(std::uint64_t aShard, const BookingActions& aActions)
{
  for (const auto& it : aActions) {
    std::visit([this, aShard](const auto& aAction) { Do(aShard, aAction); },
               it);
  }
}

void
BookingController::Do(std::uint64_t aShard, const ReadObject& aAction)
{
  mStore.Get(aAction.mKey,
             [this, aShard, operation = aAction.mOperation](
               const absl::StatusOr<StoredObject>& aAnswer) {
               Carry(aShard, mShards[aShard]->OnRead(operation, aAnswer));
             });
}

void
BookingController::Do(std::uint64_t aShard, const WriteObject& aAction)
{
  mStore.Put(aAction.mKey,
             aAction.mBody,
             aAction.mExpected,
             [this, aShard, operation = aAction.mOperation](
               const absl::StatusOr<std::uint64_t>& aAnswer) {
               Carry(aShard, mShards[aShard]->OnWritten(operation, aAnswer));
             });
}

void
BookingController::Do(std::uint64_t aShard, const DeleteObject& aAction)
{
  mStore.Delete(
    aAction.mKey,
    std::nullopt,
    [this, aShard, operation = aAction.mOperation](
      const absl::StatusOr<std::uint64_t>& aAnswer) {
      Carry(aShard, mShards[aShard]->OnDeleted(operation, aAnswer.status()));
    });
}

void
BookingController::Do(std::uint64_t, const ReplyToBegin& aAction)
{
  const auto replier = mRepliers.extract(aAction.mToken);
  if (replier) {
    std::get<0>(replier.mapped())(aAction.mReply);
  }
}

void
BookingController::Do(std::uint64_t, const ReplyToResult& aAction)
{
  const auto replier = mRepliers.extract(aAction.mToken);
  if (replier) {
    std::get<1>(replier.mapped())(aAction.mReply);
  }
}

void
BookingController::Begin(const RequestPointer& aRequest)
{
  const std::string id = aRequest->RequestId();
  mSessions[id].mRequest = aRequest;
  aRequest->Enter(Hop::Store);
  aRequest->Exchange().OnClosed([this, id] {
    const auto it = mSessions.find(id);
    if (it != mSessions.end()) {
      it->second.mIsOver = true;
      it->second.mRequest->FinishGone();
      Carry(mRegistry.OnCallerDisconnected(id));
      DropIfOver(id);
    }
  });
  const ServiceRequest& call = *aRequest->mService;
  const HttpRequest& message = aRequest->Message();
  const std::string digest =
    DigestHex(absl::StrCat(std::string(HttpMethodName(message.mMethod)),
                           "\n",
                           MakeServiceCall(*aRequest).mTarget,
                           "\n",
                           call.mService,
                           "\n",
                           message.mBody));
  Carry(mRegistry.Begin(id,
                        MakeRecordKey(aRequest->mWorkspace.mName, call.mKey),
                        digest,
                        aRequest->mDeadline));
}

void
BookingController::Carry(const RegistryActions& aActions)
{
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, it);
  }
}

void
BookingController::Do(const SendBegin& aAction)
{
  const std::string request = aAction.mRequest;
  const std::string owner = OwnerOf(aAction.mShard);
  if (mCluster.IsSelf(owner)) {
    const ReplyToken token =
      AddReplier([this, request](const wire::BookingBeginReply& aReply) {
        mLoop.Defer([this, request, aReply] {
          Carry(mRegistry.OnBeginReply(request, aReply));
        });
      });
    Carry(aAction.mShard,
          mShards[aAction.mShard]->Begin(token, aAction.mBegin));
    return;
  }
  const auto target = mCluster.FindTarget(owner);
  if (!target) {
    mLoop.Defer([this, request] {
      Carry(mRegistry.OnBeginReply(
        request, absl::UnavailableError("the shard has no owner")));
    });
    return;
  }
  mTransport.Call(*target,
                  wire::MessageKind::BOOKING_BEGIN,
                  EncodeThrift(aAction.mBegin),
                  kReplyTimeout,
                  [this, request](const absl::StatusOr<std::string>& aReply) {
                    Carry(mRegistry.OnBeginReply(
                      request,
                      aReply.ok()
                        ? DecodeThrift<wire::BookingBeginReply>(*aReply)
                        : aReply.status()));
                  });
}

void
BookingController::Do(const SendResult& aAction)
{
  const std::string request = aAction.mRequest;
  const std::string owner = OwnerOf(aAction.mShard);
  if (mCluster.IsSelf(owner)) {
    const ReplyToken token =
      AddReplier([this, request](const wire::BookingResultReply& aReply) {
        mLoop.Defer([this, request, aReply] {
          Carry(mRegistry.OnResultReply(request, aReply));
        });
      });
    Carry(aAction.mShard,
          mShards[aAction.mShard]->Result(token, aAction.mResult));
    return;
  }
  const auto target = mCluster.FindTarget(owner);
  if (!target) {
    mLoop.Defer([this, request] {
      Carry(mRegistry.OnResultReply(
        request, absl::UnavailableError("the shard has no owner")));
    });
    return;
  }
  mTransport.Call(*target,
                  wire::MessageKind::BOOKING_RESULT,
                  EncodeThrift(aAction.mResult),
                  kReplyTimeout,
                  [this, request](const absl::StatusOr<std::string>& aReply) {
                    Carry(mRegistry.OnResultReply(
                      request,
                      aReply.ok()
                        ? DecodeThrift<wire::BookingResultReply>(*aReply)
                        : aReply.status()));
                  });
}

void
BookingController::Do(const DispatchCall& aAction)
{
  const std::string id = aAction.mRequest;
  const auto it = mSessions.find(id);
  const Endpoint* endpoint =
    it == mSessions.end()
      ? nullptr
      : mServices.Pick(it->second.mRequest->mService->mService, {});
  if (endpoint == nullptr) {
    mLoop.Defer([this, id] { Carry(mRegistry.OnNotSent(id, "no_endpoint")); });
    return;
  }
  RequestContext& request = *it->second.mRequest;
  request.Enter(Hop::Service, *endpoint);
  ServiceCallRequest call = MakeServiceCall(request);
  call.mFencing = static_cast<std::uint64_t>(aAction.mAttempt);
  it->second.mHasCall = true;
  it->second.mCall =
    mServices.Send(*endpoint, call, [this, id](const HttpCallReply& aReply) {
      TakeReply(id, aReply);
    });
}

void
BookingController::TakeReply(const std::string& aRequest,
                             const HttpCallReply& aReply)
{
  mSessions.at(aRequest).mHasCall = false;
  if (aReply.mResult == HttpCallResult::Complete &&
      aReply.mStatus != kStatusPreconditionFailed) {
    wire::BookingAnswer answer;
    answer.status = aReply.mStatus;
    answer.contentType =
      aReply.mHeaders.Find("Content-Type").value_or("application/octet-stream");
    answer.body = aReply.mBody;
    answer.truncated = false;
    Carry(mRegistry.OnAnswer(aRequest, answer));
    DropIfOver(aRequest);
    return;
  }
  mSessions.at(aRequest).mRequest->RecordFault(FaultOf(aReply.mResult));
  if (aReply.mResult == HttpCallResult::ConnectFailed) {
    Carry(mRegistry.OnNotSent(aRequest, "not_sent"));
  } else if (aReply.mResult == HttpCallResult::Complete) {
    Carry(mRegistry.OnNotSent(aRequest, "refused_by_fencing"));
  } else {
    Carry(mRegistry.OnInterrupted(
      aRequest, std::string(HttpCallResultName(aReply.mResult))));
  }
  DropIfOver(aRequest);
}

void
BookingController::DropIfOver(const std::string& aRequest)
{
  const auto it = mSessions.find(aRequest);
  if (it != mSessions.end() && it->second.mIsOver && !it->second.mHasCall) {
    mSessions.erase(it);
  }
}

void
BookingController::Do(const AnswerCaller& aAction)
{
  const auto session = mSessions.find(aAction.mRequest);
  if (session == mSessions.end()) {
    return;
  }
  const RequestPointer request = session->second.mRequest;
  session->second.mIsOver = true;
  if (aAction.mOutcome != BookingOutcome::Done || !aAction.mAnswer) {
    request->Refuse(ProblemOf(aAction));
  } else {
    const wire::BookingAnswer& answer = *aAction.mAnswer;
    AnswerFromService(*request, answer.status, answer.contentType, answer.body);
  }
  DropIfOver(aAction.mRequest);
}

void
BookingFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  if (!aRequest->mService || aRequest->mService->mIsIdempotent) {
    aNext();
    return;
  }
  mController.Begin(aRequest);
}

} // namespace bulrushfold
