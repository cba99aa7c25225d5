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
  /** Number of starts; events scheduled for an earlier process are dropped. */
  int mStarts = 0;
  /** Time at which this process first adopted a version, by key. */
  std::map<std::string, std::map<std::uint64_t, Instant>> mAdoptedAt;
  /** Daemons that this process removed from its live daemons, with the time. */
  std::vector<std::pair<std::string, Instant>> mLost;
  std::map<std::string, ChangeStatus> mChanges;
  /** Suspects granted, cleared and refused since the start of the process. */
  SuspectResult mSuspects;
};

/**
 * Simulates daemons, a network with delay, loss and duplication, and a store,
 * on a virtual clock. Every message is encoded and decoded.
 */
class ClusterFixture
{
public:
  /** Creates one daemon per name; the part before '-' is its failure domain. */
  ClusterFixture(std::uint64_t aSeed, const std::vector<std::string>& aNames);

  void Start(const std::string& aName);
  void Kill(const std::string& aName);
  void Pause(const std::string& aName, Duration aSpan);
  void RunFor(Duration aSpan);
  /** Runs until aDone returns true or aLimit has passed; returns whether
   * aDone did. */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  /** Writes the objects of WriteObjects, starts all daemons and runs until
   * all are ready. */
  void StartAll();
  void WriteObjects();

  /** Proposes to put preset aName in force; returns the id of the change. */
  std::string PutInForce(const std::string& aDaemon,
                         const std::string& aName,
                         std::uint64_t aExpected);
  std::string Propose(const std::string& aDaemon,
                      const std::string& aKey,
                      const std::string& aBody,
                      std::uint64_t aExpected);
  /** Delivers an event to a daemon and performs the resulting actions. */
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
  /** Number of times that running daemons removed aName from their live
   * daemons. */
  std::size_t DeathsOf(const std::string& aName);
  Instant Now() const { return mClock.Now(); }

  FakeStore mStore;
  std::vector<VmEntry> mVms;
  bool mIsVmListAvailable = true;
  double mLoss = 0;
  double mDuplication = 0;
  /** Maximum additional delay of a message. */
  Duration mJitter{};
  /** Failure domains that are partitioned from the others. */
  std::set<std::string> mPartitionedDomains;
  /** Number of adoptions of a version that was not higher than the previous
   * one. */
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

/** Names of six daemons in three failure domains, as in a small deployment. */
std::vector<std::string> SixNames();

/** Body of config/presets with preset aInForce in force. */
std::string PresetsBody(const std::string& aInForce);

/** Body of an endpoints object with "e1" in aState and "e2" live. */
std::string EndpointsBody(const std::string& aState);

} // namespace bulrushfold

#endif
