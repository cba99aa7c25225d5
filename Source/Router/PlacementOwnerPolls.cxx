#include "Router/PlacementOwner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Base/Log.h"
#include "Router/RemoteStream.h"
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
} // namespace

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
  if (!status.ok()) {
    LogEvent(LogLevel::Warning,
             "peer_status_unreadable",
             { { "peer", aClient },
               { "reason", std::string(status.status().message()) } });
  }
  if (poll->isProbe || !status.ok()) {
    aResponder(status.ok()
                 ? absl::StatusOr<std::string>(EncodeThrift(MakeNews(nullptr)))
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
  mTables.mOrigins.Merge(status->mOrigins, now);
  const std::size_t known = mTables.mGuard.LostRuns();
  mTables.mGuard.Merge(status->mCrashes, now);
  client->mPoll = std::move(aResponder);
  client->mPollDueAt = now + kPollHold;
  client->mReachesStore = poll->reachesStore;
  client->mPositions.clear();
  for (const auto& it : poll->positions) {
    client->mPositions.push_back(FromWire(it));
  }
  if (mIsStopping || !client->mMoves.empty() || HasNews(*client)) {
    AnswerPoll(*client);
  }
  if (mTables.mGuard.LostRuns() > known) {
    Announce();
  }
  ScheduleWake();
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

wire::PlacementNews
PlacementOwner::MakeNews(const Client* aClient)
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
  status.mCrashes = mTables.mGuard.Report(now);
  status.mRoleOrders = mTables.mDirectory.RoleOrders(now);
  status.mIsStopping = mIsStopping || mIsSteppingDown;
  status.mAddress = mAddress;
  wire::PlacementNews news;
  news.status = ToWire(status, now);
  news.daemons = static_cast<std::int32_t>(FleetSize());
  return news;
}

void
PlacementOwner::AnswerPoll(Client& aClient)
{
  if (const auto responder = std::exchange(aClient.mPoll, nullptr); responder) {
    wire::PlacementNews news = MakeNews(&aClient);
    news.moves = std::exchange(aClient.mMoves, {});
    for (const auto& it : aClient.mPositions) {
      if (mTables.mFeed.HasNews(it)) {
        news.updates.push_back(ToWire(mTables.mFeed.Since(it)));
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
    AnswerPoll(client);
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
      AnswerPoll(client);
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
