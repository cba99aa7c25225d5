#include "Daemon/LookupSession.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/** aPath with every segment encoded. */
std::string
EncodePath(const std::string& aPath)
{
  std::string result;
  std::size_t at = 0;
  while (at < aPath.size()) {
    const auto end = std::min(aPath.find('/', at), aPath.size());
    result += EncodeQueryValue(aPath.substr(at, end - at));
    if (end < aPath.size()) {
      result += '/';
    }
    at = end + 1;
  }
  return result;
}
} // namespace

FaultKind
FaultOf(HttpCallResult aResult)
{
  switch (aResult) {
    case HttpCallResult::ReadTimeout:
      return FaultKind::EndpointTimedOut;
    case HttpCallResult::ConnectFailed:
    case HttpCallResult::ConnectionLost:
      return FaultKind::EndpointDied;
    default:
      return FaultKind::EndpointError;
  }
}

ServiceCallRequest
MakeServiceCall(const RequestContext& aRequest)
{
  const HttpRequest& message = aRequest.Message();
  ServiceCallRequest call;
  call.mMethod = message.mMethod;
  call.mTarget = EncodePath(aRequest.mService->mPath);
  char separator = '?';
  for (const auto& [name, value] : message.mQuery) {
    absl::StrAppend(&call.mTarget,
                    std::string(1, separator),
                    EncodeQueryValue(name),
                    "=",
                    EncodeQueryValue(value));
    separator = '&';
  }
  call.mContentType =
    message.mHeaders.Find("Content-Type").value_or("application/octet-stream");
  call.mBody = message.mBody;
  call.mKey = aRequest.mService->mKey;
  call.mTraceparent = aRequest.Traceparent();
  return call;
}

void
AnswerFromService(RequestContext& aRequest,
                  int aStatus,
                  const std::string& aContentType,
                  const std::string& aBody)
{
  aRequest.Answer(aStatus, aContentType, aBody);
}

LookupSession::LookupSession(ServiceSessionServices& aServices,
                             RequestPointer aRequest)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
{
}

void
LookupSession::Start()
{
  mSelf = shared_from_this();
  mRequest->Exchange().OnClosed([this] {
    mRequest->FinishGone();
    End();
  });
  const Duration left = mRequest->mDeadline - mServices.mClock.Now();
  mDeadlineTimer = mServices.mLoop.After(std::max(left, Duration(0)), [this] {
    mRequest->Refuse({ Cause::DeadlinePassed,
                       mTried.empty() ? RanState::No : RanState::Unknown,
                       "the deadline passed before the service answered",
                       std::nullopt });
    End();
  });
  TryNext();
}

void
LookupSession::TryNext()
{
  const Endpoint* endpoint =
    mServices.mClient.Pick(mRequest->mService->mService, mTried);
  if (endpoint == nullptr) {
    const bool wasTried = !mTried.empty();
    mRequest->Refuse({ wasTried ? Cause::EndpointError : Cause::NoCapacity,
                       wasTried ? RanState::Unknown : RanState::No,
                       absl::StrCat("no endpoint of service ",
                                    mRequest->mService->mService,
                                    " answered; tried ",
                                    mTried.size()),
                       kRetryAfter });
    End();
    return;
  }
  mTried.push_back(endpoint->mName);
  mRequest->Enter(Hop::Service, *endpoint);
  mCall = mServices.mClient.Send(
    *endpoint, MakeServiceCall(*mRequest), [this](const HttpCallReply& aReply) {
      HandleReply(aReply);
    });
}

void
LookupSession::HandleReply(const HttpCallReply& aReply)
{
  const std::shared_ptr<LookupSession> keep = mSelf;
  constexpr int kFirstServerError = 500;
  if (aReply.mResult != HttpCallResult::Complete ||
      aReply.mStatus >= kFirstServerError) {
    mRequest->RecordFault(FaultOf(aReply.mResult));
    TryNext();
    return;
  }
  AnswerFromService(
    *mRequest,
    aReply.mStatus,
    aReply.mHeaders.Find("Content-Type").value_or("application/octet-stream"),
    aReply.mBody);
  End();
}

void
LookupSession::End()
{
  mDeadlineTimer = {};
  mCall.reset();
  mSelf.reset();
}

void
LookupFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  if (!aRequest->mService || !aRequest->mService->mIsIdempotent) {
    aNext();
    return;
  }
  std::make_shared<LookupSession>(mServices, aRequest)->Start();
}

} // namespace bulrushfold
