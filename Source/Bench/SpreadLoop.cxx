#include "Bench/SpreadLoop.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kDomainDelay = std::chrono::microseconds(1500);
constexpr Duration kRegionDelay = std::chrono::milliseconds(40);
constexpr double kLoss = 0.05;
constexpr Duration kWarmUp = std::chrono::seconds(30);
/** Time after the case in which late daemons may still adopt. */
constexpr Duration kRunOut = std::chrono::seconds(10);
/** Envelope, key id, HMAC and length prefix of a frame, and the headers of TCP
 * and IP, in bytes. */
constexpr double kFrameOverhead = 125 + 52;
/** A whole endpoint object at the size of section 1.5. */
constexpr double kWholeObjectBytes = 35'000;
constexpr int kEndpointsPerObject = 4;

double
BytesOf(const ClusterMessage& aMessage)
{
  const auto* update = std::get_if<wire::ConfigUpdate>(&aMessage);
  const bool isWhole = update != nullptr && update->baseVersion == 0;
  return kFrameOverhead +
         (isWhole ? kWholeObjectBytes
                  : static_cast<double>(EncodeClusterMessage(aMessage).size()));
}

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}
} // namespace

SpreadLoop::SpreadLoop(SpreadCase aCase, std::uint64_t aSeed)
  : mCase(std::move(aCase))
  , mRandom(aSeed)
{
  for (int i = 0; i < mCase.mDaemons; ++i) {
    Daemon daemon;
    const int domain = i % mCase.mDomains;
    daemon.mRegion = domain % mCase.mRegions;
    daemon.mInfo = {
      absl::StrCat("n", i), absl::StrCat("d", domain), { "10.0.0.1", 7000 }, {}
    };
    mIndex[daemon.mInfo.mName] = i;
    mVms.push_back({ daemon.mInfo.mName,
                     daemon.mInfo.mFailureDomain,
                     daemon.mInfo.mAddress,
                     VmState::Live });
    mDaemons.push_back(std::move(daemon));
  }
  mObjects.push_back({ "config/presets", ++mRevision, Body(0) });
  for (int i = 0; i < mCase.mDomains; ++i) {
    mObjects.push_back(
      { absl::StrCat("config/endpoints/d", i), ++mRevision, Body(0) });
  }
}

std::string
SpreadLoop::Body(int aValue) const
{
  std::string body = "{";
  for (int i = 0; i < kEndpointsPerObject; ++i) {
    absl::StrAppend(&body,
                    "\"e",
                    i,
                    "\":{\"state\":",
                    i == 0 ? aValue : 0,
                    ",\"address\":\"10.0.0.1:8000\"},");
  }
  return body + "\"end\":0}";
}

void
SpreadLoop::Start(int aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  ++daemon.mStarts;
  daemon.mInfo.mIncarnation = absl::StrCat("i", 1000 + daemon.mStarts);
  daemon.mIsUp = true;
  daemon.mStartedAt = mNow;
  daemon.mNode = std::make_unique<ClusterNode>(
    daemon.mInfo,
    MembershipTiming{},
    [](const std::string&, const std::string&) { return absl::OkStatus(); },
    SuspectLimits{},
    WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch())),
    mNow,
    mRandom);
  ++mReads;
  Perform(aDaemon, daemon.mNode->OnVmList(mVms, mNow));
  daemon.mNextVmList = mNow + daemon.mNode->Members().VmListInterval();
  Push(-1, aDaemon, Duration(mRandom.UniformBelow(100'000)), nullptr);
}

void
SpreadLoop::Push(int aFrom,
                 int aTo,
                 Duration aDelay,
                 const ClusterMessage* aMessage)
{
  mEvents.push({ mNow + aDelay,
                 mSequence++,
                 aTo,
                 aFrom,
                 mDaemons[aTo].mStarts,
                 aMessage == nullptr
                   ? nullptr
                   : std::make_shared<const ClusterMessage>(*aMessage) });
}

void
SpreadLoop::RunUntil(Instant aEnd)
{
  while (!mEvents.empty() && mEvents.top().mAt <= aEnd) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    Handle(event);
  }
  mNow = aEnd;
}

void
SpreadLoop::Handle(const Event& aEvent)
{
  Daemon& daemon = mDaemons[aEvent.mTo];
  if (!daemon.mIsUp || daemon.mStarts != aEvent.mStart) {
    return;
  }
  if (aEvent.mMessage != nullptr) {
    const auto& from = mDaemons[aEvent.mFrom].mInfo.mName;
    Perform(aEvent.mTo, daemon.mNode->OnMessage(from, *aEvent.mMessage, mNow));
    return;
  }
  Push(-1, aEvent.mTo, ClusterNode::kTickInterval, nullptr);
  if (mNow >= daemon.mNextVmList) {
    ++mReads;
    Perform(aEvent.mTo, daemon.mNode->OnVmList(mVms, mNow));
    daemon.mNextVmList = mNow + daemon.mNode->Members().VmListInterval();
  }
  Perform(aEvent.mTo, daemon.mNode->Tick(mNow));
}

void
SpreadLoop::Perform(int aDaemon, const NodeResult& aResult)
{
  ClusterNode& node = *mDaemons[aDaemon].mNode;
  for (const auto& it : aResult.mMessages) {
    Send(aDaemon, it);
  }
  for (const auto& it : aResult.mAdopted) {
    NoteAdopted(aDaemon, it);
  }
  for (const auto& it : aResult.mChanges) {
    NoteWritten(aDaemon, it);
  }
  // The store answers at once; its time is small against that of the spread.
  for (const auto& it : aResult.mPuts) {
    for (auto& object : mObjects) {
      if (object.mKey == it.mKey && object.mVersion == it.mExpected) {
        object = { it.mKey, ++mRevision, it.mBody };
        // Each watch that delivers the change waits anew. Watchers are not
        // told here, so that only the spread between daemons is measured.
        mReads += std::min<double>(
          mCase.mDaemons, mCase.mDomains * double{ ConfigWatch::kWatchers });
        Perform(aDaemon, node.OnPut(it.mChangeId, object.mVersion, mNow));
      }
    }
  }
  for (const auto& it : aResult.mGets) {
    ++mReads;
    for (const auto& object : mObjects) {
      if (object.mKey == it.mKey) {
        Perform(aDaemon, node.OnGet(it.mChangeId, object, mNow));
      }
    }
  }
  if (aResult.mWatch == WatchStep::List) {
    ++mReads;
    Perform(aDaemon, node.OnListing(StoreListing{ mObjects, mRevision }, mNow));
  } else if (aResult.mWatch == WatchStep::Watch) {
    ++mReads;
  }
}

void
SpreadLoop::Send(int aFrom, const Outgoing& aMessage)
{
  const auto it = mIndex.find(aMessage.mTo);
  if (it == mIndex.end()) {
    return;
  }
  mBytes += BytesOf(aMessage.mMessage);
  ++mMessages;
  const int from = mDaemons[aFrom].mRegion;
  const int to = mDaemons[it->second].mRegion;
  const bool isBlocked = IsCut() && from != to && (from == 0 || to == 0);
  if (!isBlocked && !mRandom.Bernoulli(kLoss)) {
    Push(aFrom,
         it->second,
         from == to ? kDomainDelay : kRegionDelay,
         &aMessage.mMessage);
  }
}

void
SpreadLoop::NoteWritten(int aDaemon, const ChangeStatus& aStatus)
{
  mFigures.mAccepted += aStatus.mState == ChangeState::Accepted ? 1 : 0;
  // The time counts from the confirmation of the store, before acceptance.
  if (aStatus.mState != ChangeState::Copying) {
    return;
  }
  Accepted accepted{ aStatus.mKey,
                     aStatus.mVersion,
                     mNow,
                     mDaemons[aDaemon].mRegion == 0,
                     std::vector<bool>(mDaemons.size()) };
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    accepted.mHas[i] =
      mDaemons[i].mNode->Config().Version(aStatus.mKey) >= aStatus.mVersion;
    if (accepted.mHas[i]) {
      mFigures.mSpread.push_back(0);
    }
  }
  mAccepted.push_back(std::move(accepted));
}

void
SpreadLoop::NoteAdopted(int aDaemon, const ConfigObject& aObject)
{
  const Daemon& daemon = mDaemons[aDaemon];
  for (auto& it : mAccepted) {
    if (it.mKey != aObject.mKey || it.mHas[aDaemon] ||
        aObject.mVersion < it.mVersion) {
      continue;
    }
    it.mHas[aDaemon] = true;
    const bool isFresh = daemon.mStartedAt > it.mAt;
    // A change of the last seconds before the cut may not have passed it.
    const bool isInCut = it.mAt >= mCutFrom - std::chrono::seconds(3) &&
                         it.mAt < mCutUntil && mNow >= mCutFrom;
    const bool isAcross = (daemon.mRegion == 0) != it.mIsFromCut;
    if (isInCut && isAcross) {
      mFigures.mMaxAfterHeal =
        std::max(mFigures.mMaxAfterHeal, ToSeconds(mNow - mCutUntil));
    } else if (isInCut && !isFresh) {
      mFigures.mMaxInCut =
        std::max(mFigures.mMaxInCut, ToSeconds(mNow - it.mAt));
    } else if (!isFresh) {
      mFigures.mSpread.push_back(ToSeconds(mNow - it.mAt));
    }
  }
}

void
SpreadLoop::Change()
{
  const auto at = static_cast<int>(mRandom.UniformBelow(mDaemons.size()));
  const StoredObject object = mObjects[mRandom.UniformBelow(mObjects.size())];
  if (!mDaemons[at].mIsUp || !mDaemons[at].mNode->IsReady()) {
    return;
  }
  Perform(at,
          mDaemons[at].mNode->Propose({ absl::StrCat("c", ++mNextChange),
                                        object.mKey,
                                        object.mVersion,
                                        Body(static_cast<int>(mNextChange)) },
                                      mNow));
}

void
SpreadLoop::Restart()
{
  const auto at = static_cast<int>(mRandom.UniformBelow(mDaemons.size()));
  mDaemons[at].mIsUp = false;
  RunUntil(mNow + std::chrono::seconds(2));
  Start(at);
}

void
SpreadLoop::CountMissing()
{
  for (const auto& it : mAccepted) {
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      const bool isFresh = mDaemons[i].mStartedAt > it.mAt;
      mFigures.mMissing += it.mHas[i] || isFresh ? 0 : 1;
    }
  }
}

SpreadFigures
SpreadLoop::Run()
{
  mCutFrom = mCutUntil = mNow + std::chrono::hours(1);
  for (int i = 0; i < mCase.mDaemons; ++i) {
    Start(i);
  }
  RunUntil(mNow + kWarmUp);
  mBytes = mMessages = mReads = 0;
  mBegin = mNow;
  const Instant end = mBegin + mCase.mLength;
  mCutFrom = mBegin + mCase.mLength / 3;
  mCutUntil = mBegin + mCase.mLength * 2 / 3;
  const double processor = ProcessorSeconds();
  const int steps = std::max(1, mCase.mChanges);
  int restarts = 0;
  for (int i = 0; i < steps; ++i) {
    Change();
    if (restarts * steps < i * mCase.mRestarts) {
      ++restarts;
      Restart();
    }
    RunUntil(std::max(mNow, mBegin + mCase.mLength * (i + 1) / steps));
  }
  const double seconds = ToSeconds(std::max(mNow, end) - mBegin);
  const double daemons = mCase.mDaemons;
  mFigures.mCpuPercent =
    100 * (ProcessorSeconds() - processor) / seconds / daemons;
  mFigures.mBytesPerDaemon = mBytes / seconds / daemons;
  mFigures.mMessagesPerDaemon = mMessages / seconds / daemons;
  mFigures.mStoreCalls = mReads / seconds;
  RunUntil(mNow + kRunOut);
  CountMissing();
  return mFigures;
}

} // namespace bulrushfold
