#include "Platform/StoreCalls.h"

#include <utility>

#include "Net/HttpStatus.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

std::unique_ptr<HttpCall>
StoreCalls::Start(HttpCallRequest aRequest, ReplyHook aHook)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [this, hook = std::move(aHook)](HttpCallReply aReply) {
    mStatistics.mIsAvailable = aReply.mResult == HttpCallResult::Complete &&
                               aReply.mStatus != kHttpUnavailable;
    if (mStatistics.mIsAvailable) {
      mStatistics.mLastAnswer = mClock.Wall();
    } else {
      ++mStatistics.mFailures;
    }
    hook(std::move(aReply));
  };
  return mClient.Start(std::move(aRequest), std::move(hooks));
}

void
StoreCalls::Send(HttpCallRequest aRequest, ReplyHook aHook)
{
  ++(aRequest.mMethod == HttpMethod::Get ? mStatistics.mReads
                                         : mStatistics.mWrites);
  const std::uint64_t id = mNextCall++;
  mCalls[id] = Start(std::move(aRequest),
                     [this, id, hook = std::move(aHook)](HttpCallReply aReply) {
                       const auto call = mCalls.extract(id);
                       hook(std::move(aReply));
                     });
}

absl::Status
StoreReplyStatus(const HttpCallReply& aReply, const std::string& aPlace)
{
  const std::string place = aPlace + ": ";
  if (aReply.mResult == HttpCallResult::ConnectFailed) {
    return absl::UnavailableError(place + "no connection");
  }
  if (aReply.mResult != HttpCallResult::Complete) {
    return absl::UnknownError(place +
                              std::string(HttpCallResultName(aReply.mResult)));
  }
  switch (aReply.mStatus) {
    case kHttpOk:
    case kHttpCreated:
      return absl::OkStatus();
    case kHttpNotFound:
      return absl::NotFoundError(place + "no such object");
    case kHttpConflict:
      return absl::FailedPreconditionError(place + "the version differs");
    case kHttpGone:
      return absl::OutOfRangeError(place + "the revision is gone");
    case kHttpTooManyRequests:
      return absl::ResourceExhaustedError(place + "rate limit");
    case kHttpUnavailable:
      return absl::UnavailableError(place + "outage");
    default:
      return absl::UnknownError(absl::StrCat(place, "status ", aReply.mStatus));
  }
}

} // namespace bulrushfold
