#include "Emulator/LoadRequest.h"

#include <utility>

#include "Emulator/EmulatorCall.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
} // namespace

LoadRequest::LoadRequest(const LoadContext& aContext,
                         LoadCall aCall,
                         DoneHook aOnDone)
  : mContext(aContext)
  , mCall(std::move(aCall))
  , mOnDone(std::move(aOnDone))
  , mStartedAt(aContext.mClock.Now())
{
}

void
LoadRequest::Start()
{
  if (mCall.mCancelAfter) {
    mCancelTimer =
      mContext.mLoop.After(*mCall.mCancelAfter, [this] { Cancel(); });
  }
  StartAttempt();
}

HttpCallRequest
LoadRequest::MakeRequest() const
{
  HttpCallRequest request;
  request.mAddress = mContext.mNextTarget();
  request.mMethod = HttpMethod::Post;
  request.mTarget = mCall.mTarget;
  request.mBody = mCall.mBody;
  request.mReadTimeout = mContext.mSettings.mReadTimeout;
  request.mHeaders = { { "Authorization",
                         "Bearer " + mContext.mSettings.mToken },
                       { "Content-Type", "application/json" },
                       { "Request-Timeout-Ms",
                         absl::StrCat(static_cast<std::uint64_t>(
                           ToMilliseconds(mContext.mSettings.mDeadline))) } };
  if (!mCall.mKey.empty()) {
    request.mHeaders.Add("Idempotency-Key", mCall.mKey);
  }
  if (mCall.mIsSlow) {
    request.mReadBytesPerSecond = mContext.mSettings.mSlowBytesPerSecond;
  }
  return request;
}

void
LoadRequest::StartAttempt()
{
  ++mOutcome.mAttempts;
  mBody.clear();
  mOutcome.mTokens = 0;
  mChecker = std::make_unique<AnswerChecker>(mCall);
  mReader = std::make_unique<SseReader>(
    kMaxEventBytes, [this](const SseEvent& aEvent) { HandleEvent(aEvent); });
  HttpCallHooks hooks;
  hooks.mOnHeaders = [this](int aStatus, const HttpHeaders& aHeaders) {
    mChecker->CheckHeaders(aStatus, aHeaders);
  };
  hooks.mOnChunk = [this](std::string_view aData) { HandleChunk(aData); };
  hooks.mOnDone = [this](const HttpCallReply& aReply) { HandleDone(aReply); };
  mHttpCall = mContext.mClient.Start(MakeRequest(), std::move(hooks));
}

void
LoadRequest::HandleChunk(std::string_view aData)
{
  if (mChecker->IsEventStream()) {
    mReader->Feed(aData);
  } else {
    mBody.append(aData);
  }
}

void
LoadRequest::HandleEvent(const SseEvent& aEvent)
{
  const std::uint64_t before = mChecker->Tokens();
  mChecker->CheckEvent(aEvent);
  if (mChecker->Tokens() == before) {
    return;
  }
  mLastTokenAt = mContext.mClock.Now();
  if (before == 0) {
    mFirstTokenAt = mLastTokenAt;
  }
}

void
LoadRequest::HandleDone(const HttpCallReply& aReply)
{
  mOutcome.mMayHaveRun =
    mOutcome.mMayHaveRun || aReply.mResult != HttpCallResult::ConnectFailed;
  if (aReply.mResult != HttpCallResult::Complete) {
    // The part that arrived before the interruption is checked as well.
    const auto& faults = mChecker->Faults();
    mOutcome.mFaults.insert(faults.begin(), faults.end());
    if (!Retry(aReply)) {
      Finish(LoadEnd::Lost);
    }
    return;
  }
  if (mChecker->IsEventStream()) {
    mChecker->CheckEnd();
  } else {
    mChecker->CheckBody(mBody);
  }
  if (mChecker->Problem() && Retry(aReply)) {
    return;
  }
  Finish(mChecker->IsAnswered() ? LoadEnd::Answered : LoadEnd::Refused);
}

bool
LoadRequest::Retry(const HttpCallReply& aReply)
{
  const bool isInterrupted = aReply.mResult != HttpCallResult::Complete;
  // A daemon that stops or is not ready answers 503; another daemon may be
  // ready.
  const bool isUnavailable =
    aReply.mStatus == static_cast<int>(HttpStatus::Unavailable) &&
    mChecker->Problem() && mChecker->Problem()->mRan == RanStatus::No;
  if (mOutcome.mAttempts >= mContext.mSettings.mMaxAttempts ||
      !(isInterrupted || isUnavailable)) {
    return false;
  }
  const double delay = ToSeconds(mContext.mSettings.mRetryDelay) *
                       static_cast<double>(mOutcome.mAttempts);
  mRetryTimer =
    mContext.mLoop.After(FromSeconds(delay), [this] { StartAttempt(); });
  return true;
}

void
LoadRequest::Cancel()
{
  mHttpCall.reset();
  mRetryTimer = {};
  mOutcome.mMayHaveRun = true;
  Finish(LoadEnd::Cancelled);
}

void
LoadRequest::Abort()
{
  mHttpCall.reset();
  mRetryTimer = {};
  mOutcome.mMayHaveRun = true;
  Finish(LoadEnd::Lost);
}

void
LoadRequest::Finish(LoadEnd aEnd)
{
  mCancelTimer = {};
  mOutcome.mEnd = aEnd;
  mOutcome.mTokens = mChecker->Tokens();
  mOutcome.mRequestId = mChecker->RequestId();
  // An answer that the caller itself aborted has no faults.
  if (aEnd == LoadEnd::Answered || aEnd == LoadEnd::Refused) {
    const auto& faults = mChecker->Faults();
    mOutcome.mFaults.insert(faults.begin(), faults.end());
  }
  if (mChecker->Problem()) {
    mOutcome.mProblem = *mChecker->Problem();
  }
  if (mOutcome.mTokens > 0) {
    mOutcome.mFirstToken = mFirstTokenAt - mStartedAt;
    const auto intervals = std::max<std::uint64_t>(1, mOutcome.mTokens - 1);
    mOutcome.mTokenInterval =
      (mLastTokenAt - mFirstTokenAt) / static_cast<std::int64_t>(intervals);
  }
  mOnDone(mCall, mOutcome);
}

} // namespace bulrushfold
