#ifndef BULRUSHFOLD_TESTS_CLUSTER_CLUSTERFIXTURE_H
#define BULRUSHFOLD_TESTS_CLUSTER_CLUSTERFIXTURE_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Cluster/ClusterNode.h"
#include "Cluster/Configuration.h"
#include "FakeStore.h"

namespace bulrushfold {

/** A daemon of the fixture. */
struct FixtureNode
{
  MemberInfo mInfo;
  Random mRandom{ 1 };
  std::unique_ptr<ClusterNode> mNode;
  Configuration mConfig;
  Instant mPausedUntil;
  Instant mNextVmList;
  bool mIsWatching = false;
  std::uint64_t mWatchedRevision = 0;
  /** Distinguishes events of an earlier process. */
  int mStarts = 0;
  /** First time at which this process had a version, by key. */
  std::map<std::string, std::map<std::uint64_t, Instant>> mAdoptedAt;
  /** Daemons that this process lost from its view, with the time. */
  std::vector<std::pair<std::string, Instant>> mLost;
  std::map<std::string, ChangeStatus> mChanges;
  /** Suspects granted, cleared and refused since the start. */
  SuspectResult mSuspects;
};

/**
 * Daemons, a network with delay, loss and duplication, and a store, on a
 * virtual clock. Every message passes through its codec.
 */
class ClusterFixture
{
public:
  /** One daemon for each name; the part before '-' is the failure domain. */
  ClusterFixture(std::uint64_t aSeed, const std::vector<std::string>& aNames);

  void Start(const std::string& aName);
  void Kill(const std::string& aName);
  void Pause(const std::string& aName, Duration aSpan);
  void RunFor(Duration aSpan);
  /** Runs until aDone or aLimit; true when aDone. */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  /** Starts all daemons, with the objects of WriteObjects, until ready. */
  void StartAll();
  void WriteObjects();

  /** Proposes a change of the presets to preset aName; returns its id. */
  std::string PutInForce(const std::string& aDaemon,
                         const std::string& aName,
                         std::uint64_t aExpected);
  std::string Propose(const std::string& aDaemon,
                      const std::string& aKey,
                      const std::string& aBody,
                      std::uint64_t aExpected);
  /** Delivers an event to a daemon and carries out what it decides. */
  void Deliver(const std::string& aName,
               const std::function<NodeResult(ClusterNode&)>& aEvent);
  ChangeState StateOf(const std::string& aDaemon, const std::string& aId);

  FixtureNode& At(const std::string& aName) { return mNodes.at(aName); }
  ClusterNode& Node(const std::string& aName) { return *At(aName).mNode; }
  bool IsRunning(const std::string& aName)
  {
    return At(aName).mNode != nullptr;
  }
  std::vector<std::string> RunningNames() const;
  std::uint64_t Version(const std::string& aName, std::string_view aKey);
  /** True when all running daemons have exactly aVersion of aKey. */
  bool AllHave(std::string_view aKey, std::uint64_t aVersion);
  /** Deaths of aName that running daemons recorded. */
  std::size_t DeathsOf(const std::string& aName);
  Instant Now() const { return mClock.Now(); }

  FakeStore mStore;
  std::vector<VmEntry> mVms;
  bool mIsVmListAvailable = true;
  double mLoss = 0;
  double mDuplication = 0;
  /** Longest additional delay of a message. */
  Duration mJitter{};
  /** Failure domains that are cut off from the others. */
  std::set<std::string> mPartitionedDomains;
  /** Adoptions of a version that was not higher than the one held. */
  std::size_t mRegressions = 0;

private:
  struct Event
  {
    Instant mAt;
    std::uint64_t mSequence;
    std::string mNode;
    int mStart;
    std::function<NodeResult(FixtureNode&)> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };
  using Action = std::function<NodeResult(FixtureNode&)>;

  void Schedule(const std::string& aName, Duration aDelay, Action aRun);
  void Step();
  void Perform(FixtureNode& aNode, const NodeResult& aResult);
  void Send(const std::string& aFrom, const Outgoing& aMessage);
  void Watch(FixtureNode& aNode, WatchStep aStep);
  NodeResult TickNode(FixtureNode& aNode);
  bool IsConnected(const std::string& aFrom, const std::string& aTo) const;
  static std::string DomainOf(const std::string& aName);

  ManualClock mClock;
  Random mRandom;
  std::map<std::string, FixtureNode> mNodes;
  std::priority_queue<Event> mEvents;
  std::uint64_t mSequence = 0;
  std::uint64_t mNextChange = 0;
};

/** Six daemons as in one of the deployments of today. */
std::vector<std::string> SixNames();

/** Body of config/presets with aInForce in force. */
std::string PresetsBody(const std::string& aInForce);

/** Body of an endpoint object with one endpoint "e1" in aState. */
std::string EndpointsBody(const std::string& aState);

} // namespace bulrushfold

#endif
