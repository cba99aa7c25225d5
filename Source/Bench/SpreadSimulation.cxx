#include "Bench/SpreadSimulation.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kDomainDelay = std::chrono::microseconds(1500);
constexpr Duration kRegionDelay = std::chrono::milliseconds(40);
constexpr double kLossProbability = 0.05;
constexpr Duration kWarmUp = std::chrono::seconds(30);
/** Time after the case in which daemons may still adopt changes. */
constexpr Duration kDrainTime = std::chrono::seconds(10);
/** Size in bytes of the envelope, key id, HMAC and length prefix of a frame,
 * plus the TCP and IP headers. */
constexpr double kFrameOverhead = 125 + 52;
/** Size of a whole endpoint object in bytes, at the sizes of section 1.5. */
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

SpreadSimulation::SpreadSimulation(SpreadCase aCase, std::uint64_t aSeed)
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
SpreadSimulation::Body(int aValue) const
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
SpreadSimulation::Start(int aDaemon)
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
  ++mStoreReads;
  Execute(aDaemon, daemon.mNode->OnVmList(mVms, mNow));
  daemon.mNextVmList = mNow + daemon.mNode->Members().VmListInterval();
  Schedule(-1, aDaemon, Duration(mRandom.UniformBelow(100'000)), nullptr);
}

void
SpreadSimulation::Schedule(int aFrom,
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
SpreadSimulation::RunUntil(Instant aEnd)
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
SpreadSimulation::Handle(const Event& aEvent)
{
  Daemon& daemon = mDaemons[aEvent.mTo];
  if (!daemon.mIsUp || daemon.mStarts != aEvent.mStart) {
    return;
  }
  if (aEvent.mMessage != nullptr) {
    const auto& from = mDaemons[aEvent.mFrom].mInfo.mName;
    Execute(aEvent.mTo, daemon.mNode->OnMessage(from, *aEvent.mMessage, mNow));
    return;
  }
  Schedule(-1, aEvent.mTo, ClusterNode::kTickInterval, nullptr);
  if (mNow >= daemon.mNextVmList) {
    ++mStoreReads;
    Execute(aEvent.mTo, daemon.mNode->OnVmList(mVms, mNow));
    daemon.mNextVmList = mNow + daemon.mNode->Members().VmListInterval();
  }
  Execute(aEvent.mTo, daemon.mNode->Tick(mNow));
}

void
SpreadSimulation::Execute(int aDaemon, const NodeResult& aResult)
{
  ClusterNode& node = *mDaemons[aDaemon].mNode;
  for (const auto& it : aResult.mMessages) {
    Send(aDaemon, it);
  }
  for (const auto& it : aResult.mAdopted) {
    RecordAdoption(aDaemon, it);
  }
  for (const auto& it : aResult.mChanges) {
    RecordWrite(aDaemon, it);
  }
  // The store answers at once, because its latency is small compared with the
  // propagation delay.
  for (const auto& it : aResult.mPuts) {
    for (auto& object : mObjects) {
      if (object.mKey == it.mKey && object.mVersion == it.mExpected) {
        object = { it.mKey, ++mRevision, it.mBody };
        // Each watch that delivers the change is renewed, which is a store
        // call. The watches deliver nothing here, so that only the propagation
        // between daemons is measured.
        mStoreReads += std::min<double>(
          mCase.mDaemons, mCase.mDomains * double{ ConfigWatch::kWatchers });
        Execute(aDaemon, node.OnPut(it.mChangeId, object.mVersion, mNow));
      }
    }
  }
  for (const auto& it : aResult.mGets) {
    ++mStoreReads;
    for (const auto& object : mObjects) {
      if (object.mKey == it.mKey) {
        Execute(aDaemon, node.OnGet(it.mChangeId, object, mNow));
      }
    }
  }
  if (aResult.mWatch == WatchStep::List) {
    ++mStoreReads;
    Execute(aDaemon, node.OnListing(StoreListing{ mObjects, mRevision }, mNow));
  } else if (aResult.mWatch == WatchStep::Watch) {
    ++mStoreReads;
  }
}

void
SpreadSimulation::Send(int aFrom, const Outgoing& aMessage)
{
  const auto it = mIndex.find(aMessage.mTo);
  if (it == mIndex.end()) {
    return;
  }
  mBytes += BytesOf(aMessage.mMessage);
  ++mMessages;
  const int from = mDaemons[aFrom].mRegion;
  const int to = mDaemons[it->second].mRegion;
  const bool isBlocked =
    IsPartitioned() && from != to && (from == 0 || to == 0);
  if (!isBlocked && !mRandom.Bernoulli(kLossProbability)) {
    Schedule(aFrom,
             it->second,
             from == to ? kDomainDelay : kRegionDelay,
             &aMessage.mMessage);
  }
}

void
SpreadSimulation::RecordWrite(int aDaemon, const ChangeStatus& aStatus)
{
  mFigures.mAccepted += aStatus.mState == ChangeState::Accepted ? 1 : 0;
  // The delay is measured from the confirmation by the store, which precedes
  // the acceptance of the change.
  if (aStatus.mState != ChangeState::Copying) {
    return;
  }
  ConfirmedChange confirmed{ aStatus.mKey,
                             aStatus.mVersion,
                             mNow,
                             mDaemons[aDaemon].mRegion == 0,
                             std::vector<bool>(mDaemons.size()) };
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    confirmed.mHasVersion[i] =
      mDaemons[i].mNode->Config().Version(aStatus.mKey) >= aStatus.mVersion;
    if (confirmed.mHasVersion[i]) {
      mFigures.mDelays.push_back(0);
    }
  }
  mConfirmed.push_back(std::move(confirmed));
}

void
SpreadSimulation::RecordAdoption(int aDaemon, const ConfigObject& aObject)
{
  const Daemon& daemon = mDaemons[aDaemon];
  for (auto& it : mConfirmed) {
    if (it.mKey != aObject.mKey || it.mHasVersion[aDaemon] ||
        aObject.mVersion < it.mVersion) {
      continue;
    }
    it.mHasVersion[aDaemon] = true;
    const bool isRestarted = daemon.mStartedAt > it.mAt;
    // Changes of the last 3 s before the partition may not have reached the
    // other side in time.
    const bool isDuringPartition =
      it.mAt >= mPartitionStart - std::chrono::seconds(3) &&
      it.mAt < mPartitionEnd && mNow >= mPartitionStart;
    const bool isOtherSide =
      (daemon.mRegion == 0) != it.mIsFromPartitionedRegion;
    if (isDuringPartition && isOtherSide) {
      mFigures.mMaxAfterPartition =
        std::max(mFigures.mMaxAfterPartition, ToSeconds(mNow - mPartitionEnd));
    } else if (isDuringPartition && !isRestarted) {
      mFigures.mMaxDuringPartition =
        std::max(mFigures.mMaxDuringPartition, ToSeconds(mNow - it.mAt));
    } else if (!isRestarted) {
      mFigures.mDelays.push_back(ToSeconds(mNow - it.mAt));
    }
  }
}

void
SpreadSimulation::Change()
{
  const auto at = static_cast<int>(mRandom.UniformBelow(mDaemons.size()));
  const StoredObject object = mObjects[mRandom.UniformBelow(mObjects.size())];
  if (!mDaemons[at].mIsUp || !mDaemons[at].mNode->IsReady()) {
    return;
  }
  Execute(at,
          mDaemons[at].mNode->Propose({ absl::StrCat("c", ++mNextChange),
                                        object.mKey,
                                        object.mVersion,
                                        Body(static_cast<int>(mNextChange)) },
                                      mNow));
}

void
SpreadSimulation::Restart()
{
  const auto at = static_cast<int>(mRandom.UniformBelow(mDaemons.size()));
  mDaemons[at].mIsUp = false;
  RunUntil(mNow + std::chrono::seconds(2));
  Start(at);
}

void
SpreadSimulation::CountMissing()
{
  for (const auto& it : mConfirmed) {
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      const bool isRestarted = mDaemons[i].mStartedAt > it.mAt;
      mFigures.mMissing += it.mHasVersion[i] || isRestarted ? 0 : 1;
    }
  }
}

SpreadFigures
SpreadSimulation::Run()
{
  mPartitionStart = mPartitionEnd = mNow + std::chrono::hours(1);
  for (int i = 0; i < mCase.mDaemons; ++i) {
    Start(i);
  }
  RunUntil(mNow + kWarmUp);
  mBytes = mMessages = mStoreReads = 0;
  mBegin = mNow;
  const Instant end = mBegin + mCase.mLength;
  mPartitionStart = mBegin + mCase.mLength / 3;
  mPartitionEnd = mBegin + mCase.mLength * 2 / 3;
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
  mFigures.mStoreCalls = mStoreReads / seconds;
  RunUntil(mNow + kDrainTime);
  CountMissing();
  return mFigures;
}

} // namespace bulrushfold
