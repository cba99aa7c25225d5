#ifndef BULRUSHFOLD_BENCH_SPREADSIMULATION_H
#define BULRUSHFOLD_BENCH_SPREADSIMULATION_H

#include <cstdint>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Cluster/ClusterNode.h"

namespace bulrushfold {

/** Size and faults of one case. */
struct SpreadCase
{
  std::string mName;
  int mDaemons = 6;
  int mDomains = 3;
  int mRegions = 1;
  Duration mLength = std::chrono::seconds(60);
  /** Changes and restarts in mLength. */
  int mChanges = 60;
  int mRestarts = 2;
};

/** Results of one case. */
struct SpreadFigures
{
  /** Seconds from the confirmation by the store until the change is in force,
   * for each daemon and change. */
  std::vector<double> mDelays;
  /** Maximum delay within one side during the partition, and maximum delay to
   * the other side after its end. */
  double mMaxDuringPartition = 0;
  double mMaxAfterPartition = 0;
  double mBytesPerDaemon = 0;
  double mMessagesPerDaemon = 0;
  double mStoreCalls = 0;
  double mCpuPercent = 0;
  int mAccepted = 0;
  int mMissing = 0;
};

/**
 * Simulates the propagation of configuration between ClusterNode instances on a
 * virtual clock. Messages have a delay of 1.5 ms between failure domains and
 * 40 ms between regions, and 5% are lost. One region is partitioned from the
 * others for the middle third of the case.
 */
class SpreadSimulation
{
public:
  SpreadSimulation(SpreadCase aCase, std::uint64_t aSeed);
  SpreadFigures Run();

private:
  struct Daemon
  {
    MemberInfo mInfo;
    int mRegion = 0;
    int mStarts = 0;
    bool mIsUp = false;
    Instant mStartedAt;
    Instant mNextVmList;
    std::unique_ptr<ClusterNode> mNode;
  };
  struct Event
  {
    Instant mAt;
    std::uint64_t mSequence;
    int mTo;
    int mFrom;
    int mStart;
    std::shared_ptr<const ClusterMessage> mMessage;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };
  /** A change, the time at which the store confirmed it and the daemons that
   * have it. */
  struct ConfirmedChange
  {
    std::string mKey;
    std::uint64_t mVersion;
    Instant mAt;
    bool mIsFromPartitionedRegion;
    std::vector<bool> mHasVersion;
  };

  void Start(int aDaemon);
  void Schedule(int aFrom,
                int aTo,
                Duration aDelay,
                const ClusterMessage* aMessage);
  void RunUntil(Instant aEnd);
  void Handle(const Event& aEvent);
  void Execute(int aDaemon, const NodeResult& aResult);
  void Send(int aFrom, const Outgoing& aMessage);
  void RecordAdoption(int aDaemon, const ConfigObject& aObject);
  void RecordWrite(int aDaemon, const ChangeStatus& aStatus);
  void Change();
  void Restart();
  void CountMissing();
  std::string Body(int aValue) const;
  bool IsPartitioned() const
  {
    return mNow >= mPartitionStart && mNow < mPartitionEnd;
  }

  SpreadCase mCase;
  Random mRandom;
  Instant mNow{ std::chrono::hours(1) };
  Instant mBegin;
  Instant mPartitionStart;
  Instant mPartitionEnd;
  std::vector<Daemon> mDaemons;
  std::unordered_map<std::string, int> mIndex;
  std::vector<VmEntry> mVms;
  std::vector<StoredObject> mObjects;
  std::uint64_t mRevision = 0;
  std::priority_queue<Event> mEvents;
  std::uint64_t mSequence = 0;
  std::uint64_t mNextChange = 0;
  std::vector<ConfirmedChange> mConfirmed;
  SpreadFigures mFigures;
  double mBytes = 0;
  double mMessages = 0;
  double mStoreReads = 0;
};

} // namespace bulrushfold

#endif
