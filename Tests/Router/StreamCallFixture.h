#ifndef BULRUSHFOLD_TESTS_ROUTER_STREAMCALLFIXTURE_H
#define BULRUSHFOLD_TESTS_ROUTER_STREAMCALLFIXTURE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Router/StreamCall.h"

namespace bulrushfold {

/** Records the actions that a call requests. */
class FakeDelegate : public StreamCallDelegate
{
public:
  bool Admits(const StreamDemand&) override { return mAdmits; }
  void RequestPlacement(StreamDemand aDemand) override
  {
    mDemands.push_back(std::move(aDemand));
  }
  void WithdrawPlacement() override { mActions.push_back("withdraw"); }
  void ReleasePrefill(Duration) override {}
  void ReportDecodeStarted() override { mActions.push_back("started"); }
  void ReleaseDecode() override { ++mDecodeReleases; }
  void ReportAnswer(std::uint64_t aEvents, Duration) override
  {
    mAnswerEvents = aEvents;
  }
  void ReportDecodeFull(const std::string& aEndpoint, std::uint64_t) override
  {
    mActions.push_back("full " + aEndpoint);
  }
  void ReportInterruptedRun(const std::string& aEndpoint) override
  {
    mInterruptedAt.push_back(aEndpoint);
  }
  void ReportMoved(const std::string& aEndpoint) override
  {
    mRunEndpoint = aEndpoint;
  }
  bool IsUsable(const std::string& aEndpoint) const override
  {
    return mUnusable.count(aEndpoint) == 0;
  }
  std::string SoftwareOf(const std::string& aEndpoint) const override
  {
    const auto it = mSoftware.find(aEndpoint);
    return it == mSoftware.end() ? "" : it->second;
  }
  void ReportVersion(const std::string& aSoftware, bool aHasBegun) override
  {
    mVersions.push_back(aSoftware + (aHasBegun ? " begun" : ""));
  }
  bool CanReceive(const std::string& aEndpoint) const override
  {
    return mUnreachable.count(aEndpoint) == 0;
  }
  bool IsPromptRefused() override { return mIsPromptRefused; }
  void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) override
  {
    mActions.push_back("reserve " + aEndpoint);
    mReservedTokens = aTokens;
  }
  void Prefill(const std::string& aEndpoint, Instant) override
  {
    mActions.push_back("prefill " + aEndpoint);
  }
  void Decode(const DecodeParameters& aParameters, Instant) override
  {
    mActions.push_back("decode " + aParameters.mEndpoint);
    mDecodes.push_back(aParameters);
  }
  void CancelSend(SendResult) override { mActions.push_back("cancel"); }
  void ReportSilence(std::optional<RefusalReason> aKeptFor) override
  {
    mActions.push_back("silent");
    mKeptFor = aKeptFor;
  }
  void SetRunAside() override { mActions.push_back("set aside"); }
  void ReturnToRun() override { mActions.push_back("return"); }
  void SetRunAsideReading(bool aIsReading) override
  {
    mActions.push_back(aIsReading ? "read aside" : "pause aside");
  }
  void CancelRunAside() override { mActions.push_back("cancel aside"); }
  void Move(const std::string& aEndpoint, const std::string& aTarget) override
  {
    mActions.push_back("move " + aEndpoint + " " + aTarget);
  }
  void DropCache(const KvCache& aCache) override
  {
    mActions.push_back("drop " + aCache.mHandle);
  }
  void DropReservation(const std::string&,
                       const std::string& aReservation) override
  {
    mActions.push_back("unreserve " + aReservation);
  }
  void StartAnswer(int, const HttpHeaders&) override
  {
    mActions.push_back("answer");
  }
  void SendAnswer(std::string_view aData) override
  {
    mAnswerData.append(aData);
  }
  bool IsReadPaused() const override { return mIsReadPaused; }
  void EndAnswer() override { mActions.push_back("end"); }
  void AbortAnswer(RefusalReason) override { mActions.push_back("abort"); }
  void Deliver(const EndpointAnswer& aAnswer) override
  {
    mActions.push_back("deliver " + std::to_string(aAnswer.mStatus) + " " +
                       aAnswer.mBody);
  }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusal = aRefusal;
    mActions.push_back("refuse " + std::to_string(aRefusal.mStatus));
  }
  void WakeAt(Instant aTime) override { mWakeTime = aTime; }

  /** The last recorded action; "" when there was none. */
  std::string LastAction() const
  {
    return mActions.empty() ? "" : mActions.back();
  }
  bool HasAction(const std::string& aAction) const
  {
    return std::find(mActions.begin(), mActions.end(), aAction) !=
           mActions.end();
  }

  bool mAdmits = true;
  std::vector<StreamDemand> mDemands;
  std::vector<std::string> mActions;
  std::vector<DecodeParameters> mDecodes;
  std::vector<std::string> mInterruptedAt;
  std::set<std::string> mUnusable;
  /** Software versions, by endpoint. */
  std::map<std::string, std::string> mSoftware;
  /** Reported versions. */
  std::vector<std::string> mVersions;
  std::set<std::string> mUnreachable;
  bool mIsPromptRefused = false;
  bool mIsReadPaused = false;
  std::optional<RefusalReason> mKeptFor;
  std::string mAnswerData;
  std::string mRunEndpoint;
  std::uint64_t mReservedTokens = 0;
  std::uint64_t mAnswerEvents = 0;
  int mDecodeReleases = 0;
  Refusal mRefusal;
  Instant mWakeTime;
};

/** Head of an answer that ends with its connection. */
inline const HttpHeaders kUnframedEvents{ { "Content-Type",
                                            "text/event-stream" } };
inline const HttpHeaders kEvents{ { "Content-Type", "text/event-stream" },
                                  { "Transfer-Encoding", "chunked" } };

inline std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

inline const std::string kAllEvents = Event(1) + Event(2) + Event(3);

inline KvCache
MakeCache(const std::string& aHandle)
{
  KvCache cache;
  cache.mEndpoint = "d1";
  cache.mAddress = { "10.0.0.1", 80 };
  cache.mHandle = aHandle;
  return cache;
}

/** A stream with 5,000 prompt tokens. */
struct StreamCallFixture
{
  explicit StreamCallFixture(bool aIsResumable, std::uint32_t aAttempts = 2)
  {
    mRoute.mKind = RequestKind::Stream;
    mRoute.mIsResumable = aIsResumable;
    mRoute.mMaxAttempts = aAttempts;
    mRoute.mLatencyTarget = std::chrono::milliseconds(900);
    mParameters.mCall.mRoute = &mRoute;
    mParameters.mCall.mService = "s";
    mParameters.mCall.mArrival = mNow;
    mParameters.mCall.mDeadline = mNow + std::chrono::seconds(14);
    mParameters.mProfile.mMaxReservation = std::chrono::seconds(2);
    mParameters.mTokens = { 5000, 9000, 4000 };
    mParameters.mAnswerTokens = 4000;
  }

  void Start()
  {
    mCall.emplace(mDelegate, mRetryBudget, mParameters);
    mCall->Start(mNow);
  }
  void Place(const std::string& aPrefill, const std::string& aDecode)
  {
    StreamPlacement placement;
    placement.mPrefill = aPrefill;
    placement.mDecode = aDecode;
    mCall->OnPlaced(placement, mNow);
  }
  /** Advances the stream to the start of the answer. */
  void RunToAnswer(const std::string& aPrefill,
                   const std::string& aDecode,
                   const HttpHeaders& aHeaders = kEvents)
  {
    Place(aPrefill, aDecode);
    mCall->OnReserved("hold", mNow);
    FinishPrefill();
    StartAnswer(aHeaders);
  }
  /** Starts the stream and advances it to the second event of its answer. */
  void RunToSecondEvent()
  {
    Start();
    RunToAnswer("p1", "d1");
    AddData(Event(1) + Event(2));
  }
  void FinishPrefill()
  {
    mCall->OnPrefilled(SendOutcome::Answered,
                       { "p1", { "10.0.0.1", 80 }, "kv" },
                       std::chrono::milliseconds(90),
                       mNow);
  }
  void StartAnswer(const HttpHeaders& aHeaders = kEvents)
  {
    mCall->OnAnswerStarted(SendOutcome::Answered, 200, aHeaders, mNow);
  }
  void AddData(const std::string& aData)
  {
    mCall->OnRunHeard(mNow);
    mCall->OnAnswerData(aData, mNow);
  }
  void EndAnswer(SendOutcome aOutcome)
  {
    mCall->OnRunHeard(mNow);
    mCall->OnAnswerEnded(aOutcome, mNow);
  }
  /** Advances the time to the next wake-up, before which no data arrives. */
  void Wake()
  {
    mNow = mDelegate.mWakeTime;
    mCall->OnWake(mNow);
  }
  /** Uses the retry budget up. */
  void UseRetryBudget()
  {
    while (mRetryBudget.TryConsume("s", 1, mNow)) {
    }
  }

  Instant mNow{ std::chrono::seconds(1000) };
  Route mRoute;
  StreamParameters mParameters;
  SharedRetryBudget mRetryBudget{ { 0.2, 20, std::chrono::seconds(10) },
                                  Instant(std::chrono::seconds(0)) };
  FakeDelegate mDelegate;
  std::optional<StreamCall> mCall;
};

} // namespace bulrushfold

#endif
