#ifndef REVIEW_STANDINS_RUNNER_H
#define REVIEW_STANDINS_RUNNER_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "platform.h"

namespace review {

class Runner;

/** All runners of a day, and what they saw. */
class Fleet
{
public:
  explicit Fleet(Record& aRecord)
    : mRecord(aRecord)
  {
  }

  void Log(const std::string& aLine) { mRecord.Add(aLine); }
  /** A runner began to work on aRequest. */
  void AddRun(const std::string& aRequest, const std::string& aRunner);
  /** Runners that began to work on aRequest, in order. */
  std::vector<std::string> Runs(const std::string& aRequest);
  /** Counts an answer of a runner that spoils some of them. */
  void CountAnswer() { ++mAnswers; }
  /** True once in aEvery answers. */
  bool TakeAnswer(int aEvery);
  void AddMixed() { ++mMixed; }
  int Mixed() const { return mMixed; }

  void Add(Runner* aRunner);
  Runner* Find(const std::string& aAddress);

private:
  Record& mRecord;
  std::mutex mMutex;
  std::map<std::string, std::vector<std::string>> mRuns;
  std::map<std::string, Runner*> mRunners;
  std::atomic<int> mMixed{ 0 };
  std::atomic<int> mAnswers{ 0 };
};

struct RunnerOptions
{
  std::string mService;
  std::string mZone = "ingolstadt";
  /** "prefill", "decode", or empty for a plain service. */
  std::string mStage;
  int mSlots = 64;
  /** Work of a plain request. */
  double mWorkMs = 60;
  /** Time between two events of a stream. */
  double mEventMs = 60;
  int mEvents = 70;
  /** Time in which a run's memory is copied to another runner. */
  double mCopyMs = 2;
  double mHandleTtlMs = 500;
};

/** A runner: a model engine or a plain service. */
class Runner
{
public:
  Runner(Fleet& aFleet,
         Store& aStore,
         std::string aId,
         const std::string& aHost,
         RunnerOptions aOptions);
  ~Runner();

  const std::string& Id() const { return mId; }
  const std::string& Address() const { return mServer.Address(); }
  const RunnerOptions& Options() const { return mOptions; }

  /** Writes the entry into the store and goes on to do so. */
  void CheckIn();
  /** Stops checking in, as behind a partition from the store. */
  void StopCheckIn();
  void SetState(const std::string& aState);
  /** All answers say that the runner leaves. */
  void SetLeaving(bool aIsLeaving) { mIsLeaving = aIsLeaving; }
  /** Handles lapse at once. */
  void SetHandlesLapse(bool aDo) { mDoHandlesLapse = aDo; }
  /** Streams are silent for aMs and then go on. */
  void FallSilent(double aMs) { mSilentUntil = Now() + aMs; }
  /** One in aEvery answers of all such runners has no length and ends with its
   * channel; these are streams. 0: none. */
  void SetUnframedEvery(int aEvery) { mUnframedEvery = aEvery; }
  /** Unframed streams in progress that began in the last aMs. */
  int UnframedRuns(double aMs);
  /** Called when a call to move a run has arrived. */
  void OnMoveCall(std::function<void()> aHook)
  {
    mOnMoveCall = std::move(aHook);
  }
  /** The process ends: all channels break. */
  void Exit();
  int ActiveRuns() const { return mActive; }
  int MoveCalls() const { return mMoveCalls; }

private:
  /** Memory that was read for a request or that a stopped run left. */
  struct Handle
  {
    std::string mRequest;
    bool mIsMove = false;
    int mEvents = 0;
    double mExpiresAt = 0;
    /** Address of the runner with the copy. */
    std::string mTarget;
  };
  struct Run
  {
    int mEvents = 0;
    /** Name of the run in the record until its first event; empty when it goes
     * on with the memory of a stopped run. */
    std::string mName;
    double mStartedAt = 0;
    bool mIsUnframed = false;
    bool mMustStop = false;
    bool mHasStopped = false;
  };
  using Headers = std::vector<std::pair<std::string, std::string>>;

  bool Serve(Channel& aChannel, const Message& aRequest);
  bool HandleCall(Channel& aChannel, const Message& aRequest);
  bool HandleMove(Channel& aChannel, const Message& aRequest);
  bool HandlePrefill(Channel& aChannel, const Message& aRequest);
  bool HandleDecode(Channel& aChannel, const Message& aRequest);
  bool HandlePlain(Channel& aChannel, const Message& aRequest);
  bool Stream(Channel& aChannel,
              const Message& aRequest,
              const std::shared_ptr<Run>& aRun);
  bool Refuse(Channel& aChannel, const std::string& aWhy);
  /** Takes the handle; false when it is gone. */
  bool TakeHandle(const std::string& aHandle,
                  const std::string& aTaker,
                  Handle& aTaken);
  Headers WithCommon(Headers aHeaders) const;
  Headers AnswerHeaders(const Message& aRequest) const;
  Json Entry() const;

  Fleet& mFleet;
  Store& mStore;
  std::string mId;
  RunnerOptions mOptions;
  std::int64_t mBorn;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::string mState = "ready";
  int mSequence = 0;
  std::map<std::string, std::shared_ptr<Run>> mRuns;
  std::map<std::string, Handle> mHandles;
  std::set<std::string> mHolds;
  int mNextName = 0;
  std::atomic<int> mUnframedEvery{ 0 };
  std::atomic<int> mActive{ 0 };
  std::atomic<int> mMoveCalls{ 0 };
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<bool> mDoHandlesLapse{ false };
  std::atomic<double> mSilentUntil{ 0 };
  std::atomic<bool> mIsCheckingIn{ false };
  std::atomic<bool> mIsEnding{ false };
  std::function<void()> mOnMoveCall;
  std::thread mCheckIns;
  Server mServer;
};

/** Text of event aNumber of the stream of aRequest. */
std::string EventData(const std::string& aRequest, int aNumber);

struct RouteOptions
{
  std::string mName;
  std::string mKind;
  std::string mService;
  int mAttempts = 1;
  bool mIsResumable = false;
  int mTimeoutMs = 14000;
  int mTargetMs = 900;
};

/** The operator's config with the given routes; the engine service is llm. */
Json MakeConfig(int aVersion, const std::vector<RouteOptions>& aRoutes);

/** What a client saw of one attempt. */
struct ClientResult
{
  int mStatus = 0;
  /** The answer is complete by its framing. */
  bool mIsComplete = false;
  std::string mStamp;
  bool mIsLeaving = false;
  std::string mBody;
  /** Time at which the whole request was sent, and that of the end. */
  double mSentAt = 0;
  double mEndedAt = 0;
};

struct ClientRequest
{
  std::string mAddress;
  std::string mMethod = "POST";
  std::string mPath;
  std::string mId;
  std::string mBody = "body";
  int mDeadlineMs = 14000;
  /** Prompt and answer tokens of a model request; empty for others. */
  std::string mTokens;
  std::string mMoreHeaders;
};

/** Sends a request on a new channel and reads its answer. */
ClientResult Call(const ClientRequest& aRequest);
/** Sends a request on aChannel and reads its answer. */
ClientResult CallOn(Channel& aChannel, const ClientRequest& aRequest);

/** Numbers of the events of a stream, in order; -1 for one with wrong data. */
std::vector<int> EventNumbers(const std::string& aRequest,
                              const std::string& aBody);

} // namespace review

#endif
