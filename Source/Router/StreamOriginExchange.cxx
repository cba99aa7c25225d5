#include "Router/StreamOriginExchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Base/Log.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
/** A daemon that is up answers within a few milliseconds. */
constexpr Duration kAskTimeout = std::chrono::milliseconds(150);
/** Questions at the same time; limits what callers that make up attempts cost
 * the other daemons. */
constexpr std::size_t kMaxPending = 128;
/** Time after its start in which a daemon finds the others. A question waits
 * for them until then. */
constexpr Duration kStartTime = std::chrono::seconds(1);
constexpr Duration kStartRetry = std::chrono::milliseconds(20);
/** Longest window that a question may state. */
constexpr Duration kMaxWindow = std::chrono::minutes(2);
/** Interval at which possible successors are told what is new. */
constexpr Duration kForwardInterval = std::chrono::milliseconds(50);
} // namespace

struct StreamOriginExchange::PendingQuestion
{
  ResumedStream mStream;
  DecisionHook mHook;
  QuestionCounts mCounts;
  /** Calls that have not ended. */
  std::size_t mOpen = 0;
  VersionFacts mFacts;
  /** Versions that other daemons know as the only ones. */
  std::set<std::string> mSoleVersions;
};

StreamOriginExchange::StreamOriginExchange(EventLoop& aLoop,
                                           const Clock& aClock,
                                           StreamOrigins& aOrigins,
                                           const SoftwareHistory& aHistory,
                                           PlacementLink aLink,
                                           Hooks aHooks)
  : mLoop(aLoop)
  , mClock(aClock)
  , mOrigins(aOrigins)
  , mHistory(aHistory)
  , mLink(std::move(aLink))
  , mHooks(std::move(aHooks))
  , mStartEnd(aClock.Now() + kStartTime)
  , mForwardTimer(aLoop, aClock, [this] { Forward(); })
{
  mOrigins.OnChange().connect([this] {
    if (mHooks.mIsOwner()) {
      mForwardTimer.WakeAt(mClock.Now() + kForwardInterval);
    }
  });
}

StreamOriginExchange::~StreamOriginExchange()
{
  *mIsAlive = false;
}

void
StreamOriginExchange::HandleLinksOpen(PeerTransport& aTransport)
{
  aTransport.Handle(wire::MessageKind::STREAM_ORIGIN,
                    [this](const std::string&,
                           const std::string& aPayload,
                           const PeerTransport::Responder& aResponder) {
                      aResponder(Answer(aPayload));
                    });
  aTransport.Handle(
    wire::MessageKind::STREAM_ORIGINS,
    [this](const std::string&,
           const std::string& aPayload,
           const PeerTransport::Responder&) { HandleOrigins(aPayload); });
}

bool
StreamOriginExchange::IsMixed(const std::string& aService) const
{
  return mHistory.IsMixed(aService, kMaxWindow, mClock.Now());
}

VersionFacts
StreamOriginExchange::FactsOf(const ResumedStream& aStream) const
{
  VersionFacts facts;
  facts.mHasBegun = true;
  facts.mIsNamed = aStream.mIsNamed;
  if (const StreamOrigin* origin = RecordOf(aStream); origin != nullptr) {
    facts.mRecorded = origin->mSoftware;
  }
  facts.mSole = SoleVersion(aStream);
  return facts;
}

const StreamOrigin*
StreamOriginExchange::RecordOf(const ResumedStream& aStream) const
{
  const StreamOrigin* origin =
    aStream.mIsNamed ? mOrigins.Find(aStream.mStream, mClock.Now()) : nullptr;
  return origin != nullptr && origin->mService == aStream.mService ? origin
                                                                   : nullptr;
}

std::optional<std::string>
StreamOriginExchange::SoleVersion(const ResumedStream& aStream) const
{
  return mHistory.SoleVersion(
    aStream.mService, aStream.mWindow, mClock.Now(), mClock.Wall());
}

void
StreamOriginExchange::Resolve(const ResumedStream& aStream, DecisionHook aHook)
{
  auto question = std::make_shared<PendingQuestion>();
  question->mStream = aStream;
  question->mFacts = FactsOf(aStream);
  const VersionDecision decision = DecideVersion(question->mFacts);
  if (decision.mSource != VersionSource::Unasked) {
    aHook(decision, {});
    return;
  }
  question->mHook = std::move(aHook);
  ++mPending;
  if (mPending > kMaxPending) {
    question->mFacts.mWasAsked = true;
    Finish(*question);
  } else {
    Ask(question);
  }
}

void
StreamOriginExchange::Finish(PendingQuestion& aQuestion)
{
  --mPending;
  std::exchange(aQuestion.mHook, nullptr)(DecideVersion(aQuestion.mFacts),
                                          aQuestion.mCounts);
}

void
StreamOriginExchange::Ask(const std::shared_ptr<PendingQuestion>& aQuestion)
{
  const ResumedStream& stream = aQuestion->mStream;
  const std::vector<FleetMember> holders = mHooks.mRecordHolders();
  if (holders.empty() && mClock.Now() < mStartEnd) {
    mWaiting.push_back(aQuestion);
    mStartTimer = mLoop.After(kStartRetry, [this] { AskWaiting(); });
    return;
  }
  aQuestion->mFacts.mWasAsked = true;
  if (holders.empty()) {
    Finish(*aQuestion);
    return;
  }
  aQuestion->mCounts.mAsked = holders.size();
  aQuestion->mOpen = holders.size();
  wire::StreamOriginQuery query;
  query.stream = static_cast<std::int64_t>(stream.mStream);
  query.serviceName = stream.mService;
  query.windowMs = WholeMilliseconds(stream.mWindow);
  for (const auto& it : holders) {
    mLink.mCall(it,
                wire::MessageKind::STREAM_ORIGIN,
                EncodeThrift(query),
                kAskTimeout,
                [this, alive = mIsAlive, question = aQuestion](
                  const absl::StatusOr<std::string>& aReply) {
                  if (*alive) {
                    HandleReply(*question, aReply);
                  }
                });
  }
}

void
StreamOriginExchange::AskWaiting()
{
  mStartTimer = EventHandle();
  for (const auto& it : std::exchange(mWaiting, {})) {
    Ask(it);
  }
}

void
StreamOriginExchange::HandleReply(PendingQuestion& aQuestion,
                                  const absl::StatusOr<std::string>& aReply)
{
  --aQuestion.mOpen;
  if (!aQuestion.mHook) {
    return;
  }
  const auto reply =
    aReply.ok() ? DecodeThrift<wire::StreamOriginReply>(*aReply)
                : absl::StatusOr<wire::StreamOriginReply>(aReply.status());
  VersionFacts& facts = aQuestion.mFacts;
  if (reply.ok()) {
    ++aQuestion.mCounts.mAnswered;
    if (reply->__isset.software) {
      facts.mAnswered = reply->software;
    }
    if (reply->__isset.soleSoftware) {
      aQuestion.mSoleVersions.insert(reply->soleSoftware);
    }
  }
  const bool isFinal = reply.ok() && reply->hasBegun;
  if (!isFinal && aQuestion.mOpen > 0) {
    return;
  }
  if (aQuestion.mSoleVersions.size() == 1 &&
      !IsMixed(aQuestion.mStream.mService)) {
    facts.mSole = *aQuestion.mSoleVersions.begin();
  }
  Finish(aQuestion);
}

absl::StatusOr<std::string>
StreamOriginExchange::Answer(const std::string& aPayload) const
{
  const auto query = DecodeThrift<wire::StreamOriginQuery>(aPayload);
  if (!query.ok()) {
    return query.status();
  }
  ResumedStream stream;
  stream.mStream = static_cast<std::uint64_t>(query->stream);
  stream.mService = query->serviceName;
  stream.mIsNamed = true;
  stream.mWindow = std::clamp<Duration>(
    std::chrono::milliseconds(query->windowMs), Duration::zero(), kMaxWindow);
  wire::StreamOriginReply reply;
  if (const StreamOrigin* origin = RecordOf(stream); origin != nullptr) {
    reply.__set_software(origin->mSoftware);
    reply.__set_hasBegun(origin->mHasBegun);
  }
  if (const auto sole = SoleVersion(stream); sole) {
    reply.__set_soleSoftware(*sole);
  }
  return EncodeThrift(reply);
}

void
StreamOriginExchange::HandleOrigins(const std::string& aPayload)
{
  const auto message = DecodeThrift<wire::StreamOriginList>(aPayload);
  if (!message.ok()) {
    LogEvent(LogLevel::Warning,
             "stream_origins_unreadable",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  const Instant now = mClock.Now();
  std::vector<StreamOrigin> origins;
  origins.reserve(message->origins.size());
  for (const auto& it : message->origins) {
    origins.push_back(FromWire(it, now));
  }
  mOrigins.Merge(origins, now);
}

void
StreamOriginExchange::Forward()
{
  if (!mHooks.mIsOwner()) {
    mForwardedTo.clear();
    return;
  }
  const Instant now = mClock.Now();
  if (!mHistory.HasMixed(kMaxWindow, now)) {
    // All are told when a second version appears.
    mForwardedAt = Instant();
    return;
  }
  const std::vector<FleetMember> successors = mHooks.mRecordHolders();
  std::vector<std::string> names;
  names.reserve(successors.size());
  for (const auto& it : successors) {
    names.push_back(it.mName);
  }
  if (names != mForwardedTo) {
    mForwardedAt = Instant();
    mForwardedTo = names;
  }
  wire::StreamOriginList message;
  for (const auto& it : mOrigins.KnownSince(mForwardedAt, now)) {
    // Where one version alone serves, its name is no news.
    if (IsMixed(it.mService)) {
      message.origins.push_back(ToWire(it, now));
    }
  }
  if (message.origins.empty()) {
    // All are told when another service gets a second version.
    mForwardedAt = Instant();
    return;
  }
  mForwardedAt = now;
  for (const auto& it : successors) {
    mLink.mSend(it, wire::MessageKind::STREAM_ORIGINS, EncodeThrift(message));
  }
}

} // namespace bulrushfold
