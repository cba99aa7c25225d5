#include "Router/PlacementOwner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Base/Log.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
/** Time for which a poll waits for news. */
constexpr Duration kPollHold = std::chrono::milliseconds(800);
/** Interval at which polls are answered and silent clients dropped. */
constexpr Duration kWakeInterval = std::chrono::milliseconds(100);
/** Time in which this daemon may reach the store again later than its clients
 * after an outage for all. */
constexpr Duration kStepDownDelay = std::chrono::milliseconds(1500);
/** Age up to which a request that a client does not name is kept. */
constexpr Duration kReconcileAge = std::chrono::seconds(1);
/** Time for which the sum of all retries is used again. */
constexpr Duration kUsesLifetime = std::chrono::milliseconds(100);

constexpr int kLastSendResult = static_cast<int>(SendResult::Slow);

SendResult
ResultOf(std::int32_t aNumber)
{
  return static_cast<SendResult>(std::clamp(aNumber, 0, kLastSendResult));
}
} // namespace

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
    StreamPlacer& streams = mOwner.mTables.mStreams;
    if (mResponder) {
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
    if (!aDemand.mIsRetry && !mOwner.mTables.mStreams.Admits(aDemand)) {
      Refuse(wire::StreamPlacementResult::OVERLOAD, Duration::zero());
      return;
    }
    mOwner.mTables.mStreams.Submit(std::move(aDemand), *this);
  }

  void HandlePlacement(const StreamPlacement* aPlacement) override
  {
    if (aPlacement == nullptr) {
      Refuse(wire::StreamPlacementResult::EXPIRED, Duration::zero());
    } else {
      Respond(ToWire(*aPlacement));
    }
  }
  void HandleUnservable(Duration aRetryAfter) override
  {
    Refuse(wire::StreamPlacementResult::UNSERVABLE, aRetryAfter);
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
    mOwner.AnswerPoll(mClient, client);
  }
  std::uint64_t LocalNumber() const { return mLocalNumber; }
  Instant CreatedAt() const { return mCreatedAt; }

private:
  void Refuse(wire::StreamPlacementResult::type aResult, Duration aRetryAfter)
  {
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
  std::uint64_t mRequestHash = 0;
  Instant mFirstArrival;
  /** Set while the stream waits. */
  Responder mResponder;
};

PlacementOwner::PlacementOwner(const Clock& aClock,
                               OwnerTables aTables,
                               SocketAddress aAddress,
                               Hooks aHooks)
  : mClock(aClock)
  , mTables(aTables)
  , mAddress(std::move(aAddress))
  , mHooks(std::move(aHooks))
{
}

PlacementOwner::~PlacementOwner() = default;

PlacementOwner::Client*
PlacementOwner::Touch(const std::string& aName, std::int64_t aSession)
{
  if (const auto it = mClients.find(aName);
      it != mClients.end() && it->second.mSession != aSession) {
    // Messages of an old session may arrive on another connection, after those
    // of its successor.
    if (aSession < it->second.mSession) {
      return nullptr;
    }
    Drop(aName);
  }
  Client& client = mClients[aName];
  client.mSession = aSession;
  client.mLastMessageAt = mClock.Now();
  return &client;
}

void
PlacementOwner::Drop(const std::string& aName)
{
  const auto it = mClients.find(aName);
  while (!it->second.mPlain.empty()) {
    EndPlain(it->second, it->second.mPlain.begin()->first);
  }
  // Callers of a daemon that died resume their streams at others, where the
  // prompts may still be in the caches of the engines.
  for (const auto& [number, stream] : it->second.mStreams) {
    mTables.mStreams.OnRunAbandoned(stream->LocalNumber());
  }
  mClients.erase(it);
  mTables.mRetryBudget.RemovePeer(aName);
  mTables.mGuard.RemovePeer(aName);
  mTables.mPlain.Dispatch();
}

void
PlacementOwner::EndPlain(Client& aClient, std::uint64_t aNumber)
{
  const auto run = aClient.mPlain.extract(aNumber);
  if (run.empty()) {
    return;
  }
  if (run.mapped().mEndpoint.empty()) {
    mTables.mPlain.Withdraw(run.mapped().mLocalNumber);
  } else {
    mTables.mLoads.End(run.mapped().mEndpoint, { 1, 0 });
  }
}

void
PlacementOwner::HandlePlain(const std::string& aClient,
                            const std::string& aPayload,
                            Responder aResponder)
{
  const auto request = DecodeThrift<wire::PlainPlacementRequest>(aPayload);
  Client* client = request.ok() ? Touch(aClient, request->session) : nullptr;
  if (client == nullptr) {
    aResponder(absl::InvalidArgumentError("unreadable or old session"));
    return;
  }
  PlainDemand demand = FromWire(*request, mClock.Now());
  const std::uint64_t number = demand.mNumber;
  const std::uint64_t local = mHooks.mNextNumber();
  const std::int64_t session = request->session;
  EndPlain(*client, number);
  client->mPlain[number] = {
    local, demand.mService, "", mClock.Now(), Instant()
  };
  demand.mNumber = local;
  mTables.mPlain.Request(
    demand,
    [this, aClient, session, number, responder = std::move(aResponder)](
      const PlainGrant& aGrant) {
      Client* waiting = Touch(aClient, session);
      if (waiting != nullptr && aGrant.mChoice) {
        PlainRun& run = waiting->mPlain[number];
        run.mEndpoint = aGrant.mChoice->mEndpoint;
        run.mGrantedAt = mClock.Now();
        mTables.mLoads.Begin(run.mEndpoint, { 1, 0 });
      } else if (waiting != nullptr) {
        waiting->mPlain.erase(number);
      }
      responder(EncodeThrift(ToWire(aGrant)));
    });
  ScheduleWake();
}

void
PlacementOwner::HandleStream(const std::string& aClient,
                             const std::string& aPayload,
                             Responder aResponder)
{
  const auto request = DecodeThrift<wire::StreamPlacementRequest>(aPayload);
  Client* client = request.ok() ? Touch(aClient, request->session) : nullptr;
  if (client == nullptr) {
    aResponder(absl::InvalidArgumentError("unreadable or old session"));
    return;
  }
  StreamDemand demand = FromWire(*request, mClock.Now());
  auto& stream = client->mStreams[demand.mNumber];
  stream = std::make_unique<RemoteStream>(
    *this, aClient, demand.mNumber, mHooks.mNextNumber());
  stream->Submit(std::move(demand), std::move(aResponder));
  ScheduleWake();
}

void
PlacementOwner::Adopt(const std::string& aName,
                      Client& aClient,
                      const StreamRun& aRun)
{
  auto& stream = aClient.mStreams[aRun.mNumber];
  stream = std::make_unique<RemoteStream>(
    *this, aName, aRun.mNumber, mHooks.mNextNumber());
  StreamRun run = aRun;
  run.mNumber = stream->LocalNumber();
  mTables.mStreams.Adopt(run, *stream);
}

void
PlacementOwner::HandleEvents(const std::string& aClient,
                             const std::string& aPayload)
{
  const auto message = DecodeThrift<wire::PlacementEvents>(aPayload);
  Client* client = message.ok() ? Touch(aClient, message->session) : nullptr;
  if (client == nullptr) {
    return;
  }
  const Instant now = mClock.Now();
  for (const auto& it : message->adopted) {
    Adopt(aClient, *client, FromWire(it, now));
  }
  for (const auto& it : message->events) {
    HandleEvent(*client, it);
  }
  mTables.mPlain.Dispatch();
}

void
PlacementOwner::HandlePlainEnded(Client& aClient,
                                 const wire::PlacementEvent& aEvent)
{
  const Instant now = mClock.Now();
  const auto number = static_cast<std::uint64_t>(aEvent.number);
  const auto it = aClient.mPlain.find(number);
  if (it == aClient.mPlain.end()) {
    return;
  }
  const PlainRun run = it->second;
  EndPlain(aClient, number);
  if (run.mEndpoint.empty()) {
    return;
  }
  const SendResult result = ResultOf(aEvent.result);
  mTables.mHealth.OnResult(run.mService, run.mEndpoint, result, now);
  if (result == SendResult::Answered) {
    mTables.mPlain.Queue().OnServed(run.mService, now - run.mGrantedAt);
  }
  if (aEvent.__isset.load) {
    const auto count = [](std::int32_t aCount) {
      return static_cast<std::uint32_t>(std::max(aCount, 0));
    };
    mTables.mLoads.OnLoadReport(run.mEndpoint,
                                { count(aEvent.load.running),
                                  count(aEvent.load.waiting),
                                  count(aEvent.load.slots) },
                                now);
  }
}

void
PlacementOwner::HandleEvent(Client& aClient, const wire::PlacementEvent& aEvent)
{
  using Kind = wire::PlacementEventKind;
  const Instant now = mClock.Now();
  switch (aEvent.kind) {
    case Kind::PLAIN_ENDED:
      HandlePlainEnded(aClient, aEvent);
      return;
    case Kind::SEND_RESULT:
      mTables.mHealth.OnResult(
        aEvent.serviceName, aEvent.endpoint, ResultOf(aEvent.result), now);
      return;
    case Kind::PROGRESS:
      mTables.mStreams.OnProgress(
        aEvent.serviceName,
        static_cast<std::uint64_t>(std::max<std::int64_t>(aEvent.tokens, 0)),
        static_cast<std::uint32_t>(std::max(aEvent.tokensPerEvent, 0)),
        std::chrono::microseconds(aEvent.elapsedUs));
      return;
    case Kind::RESERVATION_REFUSED:
      mTables.mStreams.OnReservationRefused(
        aEvent.endpoint,
        static_cast<std::uint64_t>(std::max<std::int64_t>(aEvent.tokens, 0)));
      return;
    case Kind::INTERRUPTED:
      mTables.mStreams.OnInterrupted(
        { static_cast<std::uint64_t>(aEvent.promptKey),
          aEvent.endpoint,
          static_cast<std::uint64_t>(std::max<std::int64_t>(aEvent.tokens, 0)),
          now });
      return;
    case Kind::ENDPOINT_LEAVING:
    case Kind::ENDPOINT_BACKOFF:
    case Kind::ENDPOINT_REPLACED:
      HandleEndpointEvent(aEvent);
      return;
    case Kind::STREAM_WITHDRAWN:
    case Kind::PREFILL_ENDED:
    case Kind::DECODE_STARTED:
    case Kind::DECODE_ENDED:
    case Kind::MOVED:
      HandleStreamEvent(aClient, aEvent);
      return;
  }
}

void
PlacementOwner::HandleEndpointEvent(const wire::PlacementEvent& aEvent)
{
  const Instant now = mClock.Now();
  const EndpointRecord* record = mTables.mDirectory.Find(aEvent.endpoint);
  if (record == nullptr || record->mIncarnation != aEvent.incarnation) {
    return;
  }
  switch (aEvent.kind) {
    case wire::PlacementEventKind::ENDPOINT_LEAVING:
      mTables.mDirectory.OnLeavingAnnounced(aEvent.endpoint,
                                            aEvent.incarnation);
      return;
    case wire::PlacementEventKind::ENDPOINT_BACKOFF:
      mTables.mDirectory.OnBackoffRequested(
        aEvent.endpoint,
        aEvent.incarnation,
        now + std::chrono::milliseconds(aEvent.leftMs));
      return;
    default:
      mTables.mDirectory.OnAddressReused(aEvent.endpoint);
      return;
  }
}

void
PlacementOwner::HandleStreamEvent(Client& aClient,
                                  const wire::PlacementEvent& aEvent)
{
  const auto it =
    aClient.mStreams.find(static_cast<std::uint64_t>(aEvent.number));
  if (it == aClient.mStreams.end()) {
    return;
  }
  const std::uint64_t local = it->second->LocalNumber();
  switch (aEvent.kind) {
    case wire::PlacementEventKind::PREFILL_ENDED:
      mTables.mStreams.OnPrefillEnded(
        local, std::chrono::microseconds(aEvent.elapsedUs));
      return;
    case wire::PlacementEventKind::DECODE_STARTED:
      mTables.mStreams.OnDecodeStarted(local);
      return;
    case wire::PlacementEventKind::MOVED:
      mTables.mStreams.OnMoved(local, aEvent.endpoint);
      return;
    default:
      aClient.mStreams.erase(it);
      return;
  }
}

void
PlacementOwner::Reconcile(Client& aClient, const wire::PlacementPoll& aPoll)
{
  // Messages that were sent after the poll on another connection may arrive
  // before it, so recent entries are kept.
  const Instant latest = mClock.Now() - kReconcileAge;
  const std::set<std::int64_t> plain(aPoll.plain.begin(), aPoll.plain.end());
  const std::set<std::int64_t> streams(aPoll.streams.begin(),
                                       aPoll.streams.end());
  std::vector<std::uint64_t> ended;
  for (const auto& [number, run] : aClient.mPlain) {
    if (run.mRequestedAt < latest &&
        plain.count(static_cast<std::int64_t>(number)) == 0) {
      ended.push_back(number);
    }
  }
  for (const auto it : ended) {
    EndPlain(aClient, it);
  }
  for (auto it = aClient.mStreams.begin(); it != aClient.mStreams.end();) {
    const bool isKnown =
      streams.count(static_cast<std::int64_t>(it->first)) > 0;
    it = isKnown || it->second->CreatedAt() >= latest
           ? std::next(it)
           : aClient.mStreams.erase(it);
  }
  if (!ended.empty()) {
    mTables.mPlain.Dispatch();
  }
}

void
PlacementOwner::HandlePoll(const std::string& aClient,
                           const std::string& aPayload,
                           Responder aResponder)
{
  const Instant now = mClock.Now();
  const auto poll = DecodeThrift<wire::PlacementPoll>(aPayload);
  if (!poll.ok()) {
    aResponder(poll.status());
    return;
  }
  const auto status = FromWire(poll->status, now);
  if (poll->isProbe || !status.ok()) {
    aResponder(status.ok() ? absl::StatusOr<std::string>(
                               EncodeThrift(MakeNews(aClient, nullptr)))
                           : status.status());
    return;
  }
  Client* client = Touch(aClient, poll->session);
  if (client == nullptr) {
    aResponder(absl::InvalidArgumentError("old session"));
    return;
  }
  Reconcile(*client, *poll);
  client->mRetries = status->mRetries;
  mTables.mRetryBudget.SetPeer(aClient, status->mRetries);
  mTables.mRetryBudget.SetDaemons(FleetSize());
  const auto known = mTables.mPromptGuard.Lost(now).size();
  mTables.mGuard.SetPeer(aClient, status->mSuspects, now);
  mTables.mPromptGuard.Merge(status->mLostPrompts, status->mAnsweredParts, now);
  client->mPoll = std::move(aResponder);
  client->mPollDueAt = now + kPollHold;
  client->mReachesStore = poll->reachesStore;
  client->mPositions.clear();
  for (const auto& it : poll->positions) {
    client->mPositions.push_back(FromWire(it));
  }
  if (mIsStopping || !client->mMoves.empty() || HasNews(*client)) {
    AnswerPoll(aClient, *client);
  }
  if (mTables.mPromptGuard.Lost(now).size() > known) {
    Announce();
  }
  ScheduleWake();
}

wire::PlacementNews
PlacementOwner::MakeNews(const std::string& aName, const Client* aClient)
{
  const Instant now = mClock.Now();
  if (now - mFleetUsesAt >= kUsesLifetime) {
    mFleetUses = mTables.mRetryBudget.AllUses(now);
    mFleetUsesAt = now;
  }
  PeerStatus status;
  status.mRetries = mFleetUses;
  if (aClient != nullptr) {
    for (const auto& [service, use] : aClient->mRetries) {
      RetryUse& others = status.mRetries[service];
      others.mRequests -= std::min(others.mRequests, use.mRequests);
      others.mRetries -= std::min(others.mRetries, use.mRetries);
    }
  }
  status.mSuspects = mTables.mGuard.SuspectsWithout(aName, now);
  status.mLostPrompts = mTables.mPromptGuard.Lost(now);
  status.mAnsweredParts = mTables.mPromptGuard.Answered(now);
  status.mRoleOrders = mTables.mDirectory.RoleOrders(now);
  status.mIsStopping = mIsStopping || mIsSteppingDown;
  status.mAddress = mAddress;
  wire::PlacementNews news;
  news.status = ToWire(status, now);
  news.daemons = static_cast<std::int32_t>(FleetSize());
  return news;
}

void
PlacementOwner::AnswerPoll(const std::string& aName, Client& aClient)
{
  if (const auto responder = std::exchange(aClient.mPoll, nullptr); responder) {
    wire::PlacementNews news = MakeNews(aName, &aClient);
    news.moves = std::exchange(aClient.mMoves, {});
    for (const auto& it : aClient.mPositions) {
      if (mTables.mFeed.HasNews(it)) {
        news.updates.push_back(ToWire(mTables.mFeed.Since(it, mClock.Now())));
      }
    }
    responder(EncodeThrift(news));
  }
}

bool
PlacementOwner::HasNews(const Client& aClient) const
{
  return std::any_of(
    aClient.mPositions.begin(), aClient.mPositions.end(), [&](const auto& aIt) {
      return mTables.mFeed.HasNews(aIt);
    });
}

void
PlacementOwner::Announce()
{
  if (!mClients.empty() && !std::exchange(mIsAnnouncing, true)) {
    mHooks.mWakeAt(mClock.Now());
  }
}

void
PlacementOwner::BeginStop()
{
  mIsStopping = true;
  for (auto& [name, client] : mClients) {
    AnswerPoll(name, client);
  }
}

void
PlacementOwner::CheckStore()
{
  const Instant now = mClock.Now();
  if (mTables.mFeed.IsCurrent()) {
    mBehindSince.reset();
    mIsSteppingDown = false;
    return;
  }
  const auto reaching =
    std::count_if(mClients.begin(), mClients.end(), [](const auto& aIt) {
      return aIt.second.mReachesStore;
    });
  if (2 * static_cast<std::size_t>(reaching) <= mClients.size()) {
    mBehindSince.reset();
    return;
  }
  mBehindSince = mBehindSince.value_or(now);
  if (!mIsSteppingDown && now - *mBehindSince >= kStepDownDelay) {
    LogEvent(LogLevel::Warning,
             "placement_owner_steps_down",
             { { "reason", "store" },
               { "clients", mClients.size() },
               { "reaching", reaching } });
    mIsSteppingDown = true;
    mIsAnnouncing = true;
    mHooks.mOnStepDown();
  }
}

void
PlacementOwner::OnWake()
{
  mIsWakeScheduled = false;
  CheckStore();
  const Instant now = mClock.Now();
  std::vector<std::string> silent;
  for (auto& [name, client] : mClients) {
    if (now - client.mLastMessageAt > kLease) {
      silent.push_back(name);
    } else if (client.mPoll && (mIsAnnouncing || now >= client.mPollDueAt)) {
      AnswerPoll(name, client);
    }
  }
  mIsAnnouncing = false;
  for (const auto& it : silent) {
    LogEvent(LogLevel::Info,
             "placement_client_silent",
             { { "client", it }, { "clients", mClients.size() - 1 } });
    Drop(it);
  }
  ScheduleWake();
}

void
PlacementOwner::ScheduleWake()
{
  if (!mClients.empty() && !std::exchange(mIsWakeScheduled, true)) {
    mHooks.mWakeAt(mClock.Now() + kWakeInterval);
  }
}

std::size_t
PlacementOwner::FleetSize() const
{
  // A daemon that does not ask this one may still serve callers.
  return std::max(mClients.size() + 1, mHooks.mMemberCount());
}

} // namespace bulrushfold
