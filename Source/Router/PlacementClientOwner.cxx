#include "Router/PlacementClient.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
/** The owner answers a poll within 900 ms. */
constexpr Duration kPollTimeout = std::chrono::milliseconds(1300);
/** An owner that was silent for this long when an answer is late has failed. */
constexpr Duration kSilence = std::chrono::milliseconds(1000);
/** Interval at which an owner that failed is tried again. */
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
/** The owner and the next two: more than fail at the same time by chance. */
constexpr std::size_t kRecordHolders = 3;
} // namespace

void
PlacementClient::SetMembers(std::vector<FleetMember> aMembers)
{
  mSelector.SetMembers(std::move(aMembers));
  // A preferred owner that was left out is tried before it is followed again.
  if (!mOwner) {
    ChooseOwner();
  }
}

std::vector<FleetMember>
PlacementClient::RecordHolders() const
{
  std::vector<FleetMember> holders;
  for (const FleetMember* it :
       mSelector.FirstCandidates(kRecordHolders, mClock.Now())) {
    if (it->mName != mOwnName) {
      holders.push_back(*it);
    }
  }
  return holders;
}

void
PlacementClient::BeginStop()
{
  mSelector.OnStopping(mOwnName, mClock.Now());
  if (mIsOwner) {
    ChooseOwner();
  }
}

void
PlacementClient::StepDown()
{
  mSelector.OnStopping(mOwnName, mClock.Now());
  ChooseOwner();
}

void
PlacementClient::ChooseOwner()
{
  const Instant now = mClock.Now();
  const FleetMember* member = mSelector.Choose(now);
  const bool isSelf = member != nullptr && member->mName == mOwnName;
  if (member == nullptr || isSelf) {
    Follow(std::nullopt, isSelf);
  } else {
    Follow(*member, false);
  }
  mHooks.mWakeAt(now + kProbeInterval);
}

void
PlacementClient::Follow(const std::optional<FleetMember>& aOwner, bool aIsOwner)
{
  const std::string former = mOwner ? mOwner->mName : "";
  if (mIsOwner == aIsOwner && former == (aOwner ? aOwner->mName : "")) {
    return;
  }
  LogEvent(LogLevel::Info,
           "placement_owner",
           { { "owner", aOwner ? aOwner->mName : mOwnName },
             { "former", former },
             { "is_self", aIsOwner ? "yes" : "no" },
             { "members", mSelector.MemberCount() },
             { "streams", mTracked.size() } });
  std::vector<std::pair<std::uint64_t, TrackedStream::State>> streams;
  for (const auto& [number, stream] : mTracked) {
    streams.emplace_back(number, stream->mState);
    Release(*stream);
  }
  SendEvents();
  mOwner = aOwner;
  mIsOwner = aIsOwner;
  ++mOwnerChanges;
  ++mSession;
  ++mPollNumber;
  mGrantedPlain.clear();
  mPlain.Queue().SetLimited(mIsOwner);
  if (!former.empty()) {
    mHooks.mOnOwnerLeft(former, mOwner.has_value());
  }
  mLastHeardAt = mClock.Now();
  if (mOwner) {
    mHooks.mOnFollowing();
    SendPoll();
  }
  for (const auto& [number, state] : streams) {
    const auto it = mTracked.find(number);
    if (it == mTracked.end() || state == TrackedStream::State::Idle) {
      continue;
    }
    // Both calls replace the tracked stream, so they get copies.
    const StreamDemand demand = it->second->mDemand;
    const StreamRun run = it->second->mRun;
    DispatchedStream& stream = *it->second->mStream;
    if (state == TrackedStream::State::Waiting) {
      Submit(demand, stream);
    } else {
      Adopt(run, stream);
    }
  }
}

bool
PlacementClient::HandleFailure(const absl::Status& aStatus)
{
  const Instant now = mClock.Now();
  if (!mOwner ||
      (absl::IsDeadlineExceeded(aStatus) && now - mLastHeardAt < kSilence)) {
    return false;
  }
  LogEvent(LogLevel::Warning,
           "placement_owner_failed",
           { { "owner", mOwner->mName },
             { "reason", std::string(aStatus.message()) },
             { "silent_ms", ToMilliseconds(now - mLastHeardAt) } });
  mSelector.OnFailed(mOwner->mName, now);
  ChooseOwner();
  return true;
}

void
PlacementClient::SendPoll()
{
  const Instant now = mClock.Now();
  wire::PlacementPoll poll;
  poll.session = mSession;
  poll.status = ToWire(mHooks.mMakeStatus(), now);
  poll.isProbe = false;
  poll.reachesStore = mHooks.mReachesStore();
  for (const auto& it : mHooks.mFeedPositions()) {
    poll.positions.push_back(ToWire(it));
  }
  for (const auto& [number, waiting] : mWaitingPlain) {
    poll.plain.push_back(static_cast<std::int64_t>(number));
  }
  poll.plain.insert(
    poll.plain.end(), mGrantedPlain.begin(), mGrantedPlain.end());
  for (const auto& [number, stream] : mTracked) {
    if (stream->mIsRemote && stream->mState != TrackedStream::State::Idle) {
      poll.streams.push_back(static_cast<std::int64_t>(number));
    }
  }
  const std::uint64_t number = ++mPollNumber;
  SendEvents();
  mLink.mCall(*mOwner,
              wire::MessageKind::PLACEMENT_POLL,
              EncodeThrift(poll),
              kPollTimeout,
              [this, alive = mIsAlive, number](
                const absl::StatusOr<std::string>& aReply) {
                // A later poll replaces this one.
                if (!*alive || number != mPollNumber) {
                  return;
                }
                if (aReply.ok()) {
                  HandleNews(*aReply);
                } else if (!HandleFailure(aReply.status())) {
                  SendPoll();
                }
              });
}

void
PlacementClient::HandleNews(const std::string& aPayload)
{
  const Instant now = mClock.Now();
  const auto news = DecodeThrift<wire::PlacementNews>(aPayload);
  const auto status = news.ok() ? FromWire(news->status, now)
                                : absl::StatusOr<PeerStatus>(news.status());
  if (!status.ok()) {
    HandleFailure(status.status());
    return;
  }
  mLastHeardAt = now;
  if (status->mIsStopping) {
    mSelector.OnStopping(mOwner->mName, now);
    ChooseOwner();
    return;
  }
  mSelector.OnAnswered(mOwner->mName);
  const std::int64_t session = mSession;
  // The next poll states the positions after the updates.
  for (const auto& it : news->updates) {
    mHooks.mOnFeed(FromWire(it));
  }
  SendPoll();
  mHooks.mOnNews(mOwner->mName,
                 *status,
                 static_cast<std::size_t>(std::max(news->daemons, 1)));
  for (const auto& it : news->moves) {
    TrackedStream* stream = FindRemote(static_cast<std::uint64_t>(it.number));
    if (session == mSession && stream != nullptr) {
      stream->HandleMove(it.target);
    }
  }
}

void
PlacementClient::ReportStatus()
{
  if (mOwner) {
    SendPoll();
  }
}

void
PlacementClient::OnWake()
{
  ProbeReturning();
  if (mSelector.HasOwner()) {
    mHooks.mWakeAt(mClock.Now() + kProbeInterval);
  }
}

void
PlacementClient::ProbeReturning()
{
  const Instant now = mClock.Now();
  const FleetMember* member =
    mSelector.FindReturning(mOwner ? mOwner->mName : mOwnName, now);
  if (member == nullptr || mIsProbing || member->mName == mOwnName) {
    if (member != nullptr && !mIsProbing) {
      ChooseOwner();
    }
    return;
  }
  wire::PlacementPoll poll;
  poll.session = 0;
  poll.status = ToWire(mHooks.mMakeStatus(), now);
  poll.isProbe = true;
  mIsProbing = true;
  mLink.mCall(*member,
              wire::MessageKind::PLACEMENT_POLL,
              EncodeThrift(poll),
              kProbeTimeout,
              [this, alive = mIsAlive, name = member->mName](
                const absl::StatusOr<std::string>& aReply) {
                if (!*alive) {
                  return;
                }
                mIsProbing = false;
                const Instant answered = mClock.Now();
                const auto news =
                  aReply.ok()
                    ? DecodeThrift<wire::PlacementNews>(*aReply)
                    : absl::StatusOr<wire::PlacementNews>(aReply.status());
                if (!news.ok()) {
                  mSelector.OnFailed(name, answered);
                } else if (news->status.isLeaving) {
                  mSelector.OnStopping(name, answered);
                } else {
                  mSelector.OnAnswered(name);
                  ChooseOwner();
                }
              });
}

} // namespace bulrushfold
