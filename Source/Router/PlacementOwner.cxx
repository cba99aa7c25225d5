#include "Router/PlacementOwner.h"

#include <utility>

#include "Router/RemoteStream.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

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
  if (const auto wait = mTables.mQuotas.Take(demand.mTerms, mClock.Now());
      wait) {
    aResponder(EncodeThrift(ToWire(OverQuotaGrant(number, *wait))));
    return;
  }
  client->mPlain[number] = {
    local, demand.mService, "", mClock.Now(), Instant()
  };
  demand.mNumber = local;
  mTables.mPlain.Request(
    demand,
    [this,
     aClient,
     session,
     number,
     terms = demand.mTerms,
     responder = std::move(aResponder)](const PlainGrant& aGrant) {
      if (!aGrant.mChoice) {
        mTables.mQuotas.Refund(terms);
      }
      const auto it = mClients.find(aClient);
      Client* waiting = it != mClients.end() && it->second.mSession == session
                          ? &it->second
                          : nullptr;
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

} // namespace bulrushfold
