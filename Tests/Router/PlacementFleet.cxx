#include "Router/PlacementFleet.h"

#include <algorithm>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

PlacementFleet::PlacementFleet(std::uint64_t aSeed, FleetDefect aDefect)
  : mRandom(aSeed)
  , mDefect(aDefect)
{
  mClock.Advance(seconds(1000));
  if (aDefect == FleetDefect::IgnoredEra) {
    mStore.IgnoreEra();
  }
  mDaemons.resize(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    mDaemons[i] = std::make_unique<FleetDaemon>(*this, i);
  }
}

std::vector<FleetMember>
PlacementFleet::Members() const
{
  std::vector<FleetMember> members;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    members.push_back({ "front-" + std::to_string(i),
                        { "10.0.0.1", static_cast<std::uint16_t>(i + 1) },
                        i < 6 ? 0.5 : 0.1 });
  }
  return members;
}

std::vector<EndpointRecord>
PlacementFleet::Endpoints() const
{
  std::vector<EndpointRecord> records;
  const auto add = [&](const std::string& aId,
                       const std::string& aService,
                       EndpointRole aRole,
                       std::uint32_t aSlots) {
    EndpointRecord record;
    record.mId = aId;
    record.mService = aService;
    record.mRole = aRole;
    record.mSlots = aSlots;
    record.mFailureDomain = "z";
    records.push_back(record);
  };
  for (int i = 0; i < 4; ++i) {
    add("a" + std::to_string(i), "app", EndpointRole::General, kSlots);
    add("d" + std::to_string(i), "llm", EndpointRole::Decode, 12);
  }
  add("p0", "llm", EndpointRole::Prefill, 4);
  add("p1", "llm", EndpointRole::Prefill, 4);
  return records;
}

std::size_t
PlacementFleet::IndexOf(const FleetMember& aMember) const
{
  return aMember.mAddress.mPort - 1u;
}

Duration
PlacementFleet::Delay()
{
  return std::chrono::microseconds(500 + mRandom.UniformBelow(1500));
}

PlacementLink
PlacementFleet::LinkOf(std::size_t aDaemon)
{
  PlacementLink link;
  link.mSend = [this, aDaemon](const FleetMember& aTarget,
                               wire::MessageKind::type aKind,
                               const std::string& aPayload) {
    Deliver(aDaemon, IndexOf(aTarget), aKind, aPayload, nullptr);
  };
  link.mCall = [this, aDaemon](const FleetMember& aTarget,
                               wire::MessageKind::type aKind,
                               const std::string& aPayload,
                               Duration aTimeout,
                               PlacementLink::ReplyHook aHook) {
    auto hook = std::make_shared<PlacementLink::ReplyHook>(std::move(aHook));
    const auto alive = mDaemons[aDaemon] ? mDaemons[aDaemon]->mIsAlive
                                         : std::make_shared<bool>(true);
    const auto finish = [hook,
                         alive](const absl::StatusOr<std::string>& aReply) {
      if (const auto once = std::exchange(*hook, nullptr); once && *alive) {
        once(aReply);
      }
    };
    if (mDefect != FleetDefect::NoTimeouts) {
      After(aTimeout, [finish] {
        finish(absl::DeadlineExceededError("no reply in time"));
      });
    }
    const std::size_t target = IndexOf(aTarget);
    Deliver(
      aDaemon,
      target,
      aKind,
      aPayload,
      [this, aDaemon, target, finish](absl::StatusOr<std::string> aReply) {
        if (!IsCut(target, aDaemon)) {
          After(Delay(),
                [finish, reply = std::move(aReply)] { finish(reply); });
        }
      });
  };
  return link;
}

void
PlacementFleet::Deliver(std::size_t aFrom,
                        std::size_t aTo,
                        wire::MessageKind::type aKind,
                        const std::string& aPayload,
                        const PlacementOwner::Responder& aResponder)
{
  if (IsCut(aFrom, aTo)) {
    return;
  }
  const std::string sender = "front-" + std::to_string(aFrom);
  // The messages of a connection keep their order.
  After(milliseconds(1), [=] {
    FleetDaemon* daemon = mDaemons[aTo].get();
    if (daemon == nullptr) {
      if (aResponder) {
        aResponder(absl::UnavailableError("the connection closed"));
      }
      return;
    }
    switch (aKind) {
      case wire::MessageKind::PLACE_PLAIN:
        daemon->mOwner.HandlePlain(sender, aPayload, aResponder);
        return;
      case wire::MessageKind::PLACE_STREAM:
        daemon->mOwner.HandleStream(sender, aPayload, aResponder);
        return;
      case wire::MessageKind::PLACEMENT_EVENTS:
        daemon->mOwner.HandleEvents(sender, aPayload);
        return;
      default:
        daemon->mOwner.HandlePoll(sender, aPayload, aResponder);
        return;
    }
  });
}

void
PlacementFleet::BeginRun(const std::string& aEndpoint)
{
  // While faults last, several daemons may place at the same time.
  const bool isOver = ++mRunning[aEndpoint] > kSlots + 1;
  if (isOver && !mHasFaults) {
    ++mResult.mOverLimit;
  }
}

void
PlacementFleet::AddRequests()
{
  if (mClock.Now() >= mRequestsEnd) {
    return;
  }
  FleetDaemon* daemon = mDaemons[mRandom.UniformBelow(kDaemons)].get();
  if (daemon != nullptr) {
    const std::uint64_t number = mNextRequest++;
    ++mResult.mRequests;
    // A request of a daemon that is killed gets no answer.
    mAnswers[number] = 0;
    if (mRandom.Bernoulli(0.85)) {
      daemon->RequestPlain(number);
    } else {
      daemon->RequestStream(number);
    }
  }
  After(FromSeconds(mRandom.Exponential(0.005)), [this] { AddRequests(); });
}

void
PlacementFleet::AddFault()
{
  if (mClock.Now() >= mFaultsEnd) {
    mCuts.clear();
    if (mHasStoreReturns) {
      ReturnStore();
    }
    return;
  }
  if (mHasStoreReturns && mRandom.Bernoulli(0.2)) {
    ReturnStore();
  }
  // The daemons that may become the owner are hit most often.
  const std::size_t victim =
    mRandom.UniformBelow(mRandom.Bernoulli(0.7) ? 6 : kDaemons);
  const Duration span = milliseconds(100 + mRandom.UniformBelow(3000));
  if (mRandom.Bernoulli(0.4) && mDaemons[victim]) {
    mDaemons[victim].reset();
    After(span, [this, victim] {
      mDaemons[victim] = std::make_unique<FleetDaemon>(*this, victim);
    });
  } else {
    // A cut in one direction or in both, to one daemon or to all.
    const bool isBothWays = mRandom.Bernoulli(0.5);
    const bool isToAll = mRandom.Bernoulli(0.5);
    const std::size_t other = mRandom.UniformBelow(kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (isToAll || i == other) {
        mCuts.insert({ victim, i });
        if (isBothWays) {
          mCuts.insert({ i, victim });
        }
      }
    }
    After(span, [this, victim] {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        mCuts.erase({ victim, i });
        mCuts.erase({ i, victim });
      }
    });
  }
  if (mRandom.Bernoulli(0.5)) {
    mStore.Write();
  }
  After(FromSeconds(mRandom.Exponential(0.7)), [this] { AddFault(); });
}

void
PlacementFleet::ReturnStore()
{
  constexpr std::uint64_t kLostWrites = 3;
  for (std::uint64_t i = 0; i < kLostWrites; ++i) {
    mStore.Write();
  }
  After(milliseconds(500 + mRandom.UniformBelow(1000)), [this] {
    mStore.ReturnFromCopy(kLostWrites);
    mStore.Write();
  });
}

void
PlacementFleet::Continue(Duration aSpan)
{
  const Instant end = mClock.Now() + aSpan;
  bool isOver = false;
  After(aSpan, [&] { isOver = true; });
  while (!isOver && mClock.Now() <= end && mQueue.RunNext()) {
  }
}

FleetResult
PlacementFleet::Run(Duration aSpan, bool aHasFaults)
{
  // The daemons find their owner before the first request.
  const Instant start = mClock.Now() + seconds(2);
  mHasFaults = aHasFaults;
  mFaultsEnd = start + aSpan * 2 / 3;
  mRequestsEnd = start + aSpan;
  After(seconds(2), [this] { AddRequests(); });
  After(seconds(2), [this] { mStore.Write(); });
  if (aHasFaults) {
    After(seconds(2), [this] { AddFault(); });
  }
  Continue(seconds(2) + aSpan + seconds(8));
  for (const auto& [number, answers] : mAnswers) {
    mResult.mAnsweredTwice += answers > 1 ? 1 : 0;
  }
  for (const auto& it : mDaemons) {
    if (it) {
      mResult.mLostGrants += it->CountedWork();
      mResult.mOutdated += it->mVersion == mStore.Version() ? 0 : 1;
    }
  }
  mResult.mWatches = mStore.WatchCount();
  return mResult;
}

} // namespace bulrushfold
