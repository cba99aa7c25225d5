#ifndef BULRUSHFOLD_BENCH_SPREADLOOP_H
#define BULRUSHFOLD_BENCH_SPREADLOOP_H

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

/** What one case measured. */
struct SpreadFigures
{
  /** Seconds from the store's confirmation until in force, for each daemon and
   * change. */
  std::vector<double> mSpread;
  /** Longest on one side during the cut, and across it after its end. */
  double mMaxInCut = 0;
  double mMaxAfterHeal = 0;
  double mBytesPerDaemon = 0;
  double mMessagesPerDaemon = 0;
  double mStoreCalls = 0;
  double mCpuPercent = 0;
  int mAccepted = 0;
  int mMissing = 0;
};

/**
 * Instances of ClusterNode with a delay and a loss between them, on a virtual
 * clock: 1.5 ms between failure domains, 40 ms between regions, 5% loss. A
 * region is cut off for the middle third of the case.
 */
class SpreadLoop
{
public:
  SpreadLoop(SpreadCase aCase, std::uint64_t aSeed);
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
  /** A version and the time at which the store confirmed it. */
  struct Accepted
  {
    std::string mKey;
    std::uint64_t mVersion;
    Instant mAt;
    bool mIsFromCut;
    std::vector<bool> mHas;
  };

  void Start(int aDaemon);
  void Push(int aFrom,
            int aTo,
            Duration aDelay,
            const ClusterMessage* aMessage);
  void RunUntil(Instant aEnd);
  void Handle(const Event& aEvent);
  void Perform(int aDaemon, const NodeResult& aResult);
  void Send(int aFrom, const Outgoing& aMessage);
  void NoteAdopted(int aDaemon, const ConfigObject& aObject);
  void NoteWritten(int aDaemon, const ChangeStatus& aStatus);
  void Change();
  void Restart();
  void CountMissing();
  std::string Body(int aValue) const;
  bool IsCut() const { return mNow >= mCutFrom && mNow < mCutUntil; }

  SpreadCase mCase;
  Random mRandom;
  Instant mNow{ std::chrono::hours(1) };
  Instant mBegin;
  Instant mCutFrom;
  Instant mCutUntil;
  std::vector<Daemon> mDaemons;
  std::unordered_map<std::string, int> mIndex;
  std::vector<VmEntry> mVms;
  std::vector<StoredObject> mObjects;
  std::uint64_t mRevision = 0;
  std::priority_queue<Event> mEvents;
  std::uint64_t mSequence = 0;
  std::uint64_t mNextChange = 0;
  std::vector<Accepted> mAccepted;
  SpreadFigures mFigures;
  double mBytes = 0;
  double mMessages = 0;
  double mReads = 0;
};

} // namespace bulrushfold

#endif
