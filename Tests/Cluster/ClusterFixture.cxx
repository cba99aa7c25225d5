#include "ClusterFixture.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kStoreDelay = std::chrono::milliseconds(3);
constexpr Duration kNetworkDelay = std::chrono::microseconds(1500);
} // namespace

ClusterFixture::ClusterFixture(std::uint64_t aSeed,
                               const std::vector<std::string>& aNames)
  : mRandom(aSeed)
{
  mClock.Advance(std::chrono::hours(1));
  for (const auto& it : aNames) {
    FixtureNode& node = mNodes[it];
    node.mInfo = { it, DomainOf(it), { "127.0.0.1", 7000 }, {} };
    mVms.push_back({ it, DomainOf(it), node.mInfo.mAddress, VmState::Live });
  }
}

std::string
ClusterFixture::DomainOf(const std::string& aName)
{
  return aName.substr(0, aName.find('-'));
}

void
ClusterFixture::Start(const std::string& aName)
{
  FixtureNode& node = At(aName);
  const int starts = node.mStarts + 1;
  const MemberInfo info = node.mInfo;
  node = FixtureNode();
  node.mInfo = info;
  node.mStarts = starts;
  node.mInfo.mIncarnation = absl::StrCat("i", 1000 + starts);
  node.mRandom = Random(mRandom.Bits());
  node.mNextVmList = Now();
  node.mNode = std::make_unique<ClusterNode>(
    node.mInfo,
    MembershipTiming{},
    [](const std::string& aKey, const std::string& aBody) {
      return Configuration().Apply(aKey, aBody);
    },
    SuspectLimits{},
    mClock.Wall(),
    Now(),
    node.mRandom);
  Schedule(
    aName, Duration(0), [this](FixtureNode& aNode) { return TickNode(aNode); });
}

NodeResult
ClusterFixture::TickNode(FixtureNode& aNode)
{
  Schedule(aNode.mInfo.mName,
           ClusterNode::kTickInterval,
           [this](FixtureNode& aItem) { return TickNode(aItem); });
  if (mIsVmListUp && Now() >= aNode.mNextVmList) {
    Perform(aNode, aNode.mNode->OnVmList(mVms, Now()));
    aNode.mNextVmList = Now() + aNode.mNode->Members().VmListInterval();
  }
  if (aNode.mIsWatching) {
    const auto changes = mStore.Changes(aNode.mWatchedRevision);
    if (!changes.ok()) {
      aNode.mIsWatching = false;
      aNode.mNode->OnWatchEnd(changes.status(), aNode.mWatchedRevision, Now());
    } else {
      for (const auto& it : *changes) {
        aNode.mWatchedRevision = std::max(aNode.mWatchedRevision, it.mVersion);
        Perform(aNode, aNode.mNode->OnWatch(it, Now()));
      }
    }
  }
  return aNode.mNode->Tick(Now());
}

void
ClusterFixture::Kill(const std::string& aName)
{
  At(aName).mNode.reset();
}

void
ClusterFixture::Pause(const std::string& aName, Duration aSpan)
{
  At(aName).mPausedUntil = Now() + aSpan;
}

void
ClusterFixture::Schedule(const std::string& aName, Duration aDelay, Action aRun)
{
  mEvents.push(
    { Now() + aDelay, mSequence++, aName, At(aName).mStarts, std::move(aRun) });
}

void
ClusterFixture::Step()
{
  Event event = mEvents.top();
  mEvents.pop();
  mClock.Advance(std::max(event.mAt - Now(), Duration(0)));
  FixtureNode& node = At(event.mNode);
  if (node.mNode == nullptr || node.mStarts != event.mStart) {
    return;
  }
  if (node.mPausedUntil > Now()) {
    event.mAt = node.mPausedUntil;
    mEvents.push(std::move(event));
    return;
  }
  Perform(node, event.mRun(node));
}

void
ClusterFixture::RunFor(Duration aSpan)
{
  const Instant end = Now() + aSpan;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    Step();
  }
  mClock.Advance(end - Now());
}

bool
ClusterFixture::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const Instant end = Now() + aLimit;
  while (!aDone()) {
    if (mEvents.empty() || mEvents.top().mAt > end) {
      return false;
    }
    Step();
  }
  return true;
}

void
ClusterFixture::Perform(FixtureNode& aNode, const NodeResult& aResult)
{
  for (const auto& it : aResult.mAdopted) {
    auto& versions = aNode.mAdoptedAt[it.mKey];
    if (!versions.empty() && versions.rbegin()->first >= it.mVersion) {
      ++mRegressions;
    }
    versions.insert({ it.mVersion, Now() });
    CHECK(aNode.mConfig.Apply(it.mKey, it.mBody).ok());
  }
  for (const auto& it : aResult.mMembers.mLost) {
    aNode.mLost.emplace_back(it, Now());
  }
  for (const auto& it : aResult.mChanges) {
    aNode.mChanges[it.mId] = it;
  }
  auto& suspects = aNode.mSuspects;
  const auto append = [](auto& aTo, const auto& aMore) {
    aTo.insert(aTo.end(), aMore.begin(), aMore.end());
  };
  append(suspects.mGranted, aResult.mSuspects.mGranted);
  append(suspects.mCleared, aResult.mSuspects.mCleared);
  append(suspects.mRefused, aResult.mSuspects.mRefused);
  const std::string& name = aNode.mInfo.mName;
  for (const auto& it : aResult.mMessages) {
    Send(name, it);
  }
  for (const auto& it : aResult.mPuts) {
    const auto version = mStore.Put(it.mKey, it.mBody, it.mExpected);
    Schedule(name, kStoreDelay, [this, it, version](FixtureNode& aItem) {
      return aItem.mNode->OnPut(it.mChangeId, version, Now());
    });
  }
  for (const auto& it : aResult.mGets) {
    const auto object = mStore.Get(it.mKey);
    Schedule(name, kStoreDelay, [this, it, object](FixtureNode& aItem) {
      return aItem.mNode->OnGet(it.mChangeId, object, Now());
    });
  }
  Watch(aNode, aResult.mWatch);
}

void
ClusterFixture::Watch(FixtureNode& aNode, WatchStep aStep)
{
  if (aStep == WatchStep::List) {
    const auto listing = mStore.List();
    Schedule(
      aNode.mInfo.mName, kStoreDelay, [this, listing](FixtureNode& aItem) {
        return aItem.mNode->OnListing(listing, Now());
      });
  } else if (aStep == WatchStep::Watch) {
    aNode.mWatchedRevision = aNode.mNode->Watch().Revision();
    const auto status = mStore.Changes(aNode.mWatchedRevision).status();
    aNode.mIsWatching = status.ok();
    if (!status.ok()) {
      aNode.mNode->OnWatchEnd(status, aNode.mWatchedRevision, Now());
    }
  } else if (aStep == WatchStep::Stop) {
    aNode.mIsWatching = false;
  }
}

bool
ClusterFixture::IsConnected(const std::string& aFrom,
                            const std::string& aTo) const
{
  const bool isFromCut = mCut.count(DomainOf(aFrom)) != 0;
  const bool isToCut = mCut.count(DomainOf(aTo)) != 0;
  return isFromCut == isToCut;
}

void
ClusterFixture::Send(const std::string& aFrom, const Outgoing& aMessage)
{
  if (mNodes.count(aMessage.mTo) == 0 || !IsConnected(aFrom, aMessage.mTo)) {
    return;
  }
  const auto kind = KindOf(aMessage.mMessage);
  const auto payload = EncodeClusterMessage(aMessage.mMessage);
  const int copies = mRandom.Bernoulli(mDuplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (mRandom.Bernoulli(mLoss)) {
      continue;
    }
    const auto jitter = static_cast<std::int64_t>(
      mRandom.UniformReal() * static_cast<double>(mJitter.count()));
    Schedule(aMessage.mTo,
             kNetworkDelay + Duration(jitter),
             [this, aFrom, kind, payload](FixtureNode& aNode) {
               const auto message = DecodeClusterMessage(kind, payload);
               REQUIRE(message.ok());
               return aNode.mNode->OnMessage(aFrom, *message, Now());
             });
  }
}

void
ClusterFixture::WriteObjects()
{
  REQUIRE(mStore.Put("config/presets", PresetsBody("day"), {}).ok());
  REQUIRE(mStore.Put("config/workspaces", R"({"workspaces":{}})", {}).ok());
  REQUIRE(mStore.Put("config/services", R"({"services":{}})", {}).ok());
  REQUIRE(mStore.Put("config/endpoints/a", EndpointsBody("live"), {}).ok());
}

void
ClusterFixture::StartAll()
{
  WriteObjects();
  for (const auto& [name, node] : mNodes) {
    Start(name);
  }
  const auto areReady = [this] {
    return std::all_of(mNodes.begin(), mNodes.end(), [](const auto& aItem) {
      return aItem.second.mNode->IsReady();
    });
  };
  REQUIRE(RunUntil(areReady, std::chrono::seconds(60)));
  RunFor(std::chrono::seconds(5));
}

std::string
ClusterFixture::PutInForce(const std::string& aDaemon,
                           const std::string& aName,
                           std::uint64_t aExpected)
{
  return Propose(aDaemon, "config/presets", PresetsBody(aName), aExpected);
}

std::string
ClusterFixture::Propose(const std::string& aDaemon,
                        const std::string& aKey,
                        const std::string& aBody,
                        std::uint64_t aExpected)
{
  std::string id = absl::StrCat("change-", ++mNextChange);
  FixtureNode& node = At(aDaemon);
  Perform(node, node.mNode->Propose({ id, aKey, aExpected, aBody }, Now()));
  return id;
}

void
ClusterFixture::Deliver(const std::string& aName,
                        const std::function<NodeResult(ClusterNode&)>& aEvent)
{
  FixtureNode& node = At(aName);
  Perform(node, aEvent(*node.mNode));
}

ChangeState
ClusterFixture::StateOf(const std::string& aDaemon, const std::string& aId)
{
  return At(aDaemon).mChanges.at(aId).mState;
}

std::vector<std::string>
ClusterFixture::UpNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, node] : mNodes) {
    if (node.mNode != nullptr) {
      names.push_back(name);
    }
  }
  return names;
}

std::uint64_t
ClusterFixture::Version(const std::string& aName, std::string_view aKey)
{
  return Node(aName).Config().Version(std::string(aKey));
}

bool
ClusterFixture::AllHave(std::string_view aKey, std::uint64_t aVersion)
{
  const auto names = UpNames();
  return std::all_of(names.begin(), names.end(), [&](const auto& aName) {
    return Version(aName, aKey) == aVersion;
  });
}

std::size_t
ClusterFixture::LossesOf(const std::string& aName)
{
  std::size_t n = 0;
  for (const auto& it : UpNames()) {
    for (const auto& [lost, at] : At(it).mLost) {
      n += lost == aName ? 1 : 0;
    }
  }
  return n;
}

std::vector<std::string>
SixNames()
{
  return { "a-1", "a-2", "b-1", "b-2", "c-1", "c-2" };
}

std::string
PresetsBody(const std::string& aInForce)
{
  return absl::StrCat(
    R"({"in_force":")",
    aInForce,
    R"(","presets":{"day":{"max_queue":100},"night":{},"storm":{}}})");
}

std::string
EndpointsBody(const std::string& aState)
{
  return absl::StrCat(
    R"({"endpoints":{"e1":{"address":"127.0.0.1:9000","models":["m"],)",
    R"("state":")",
    aState,
    R"("},"e2":{"address":"127.0.0.1:9001","models":["m"]}}})");
}

} // namespace bulrushfold
