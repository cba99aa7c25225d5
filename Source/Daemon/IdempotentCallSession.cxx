#include "Daemon/IdempotentCallSession.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/** Returns aPath with every segment percent-encoded. */
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

IdempotentCallSession::IdempotentCallSession(
  IdempotentCallDependencies& aDependencies,
  RequestPointer aRequest)
  : mDependencies(aDependencies)
  , mRequest(std::move(aRequest))
{
}

void
IdempotentCallSession::Start()
{
  mSelf = shared_from_this();
  mRequest->Exchange().OnClosed([this] {
    mRequest->FinishDisconnected();
    End();
  });
  const Duration remaining = mRequest->mDeadline - mDependencies.mClock.Now();
  mDeadlineTimer =
    mDependencies.mLoop.After(std::max(remaining, Duration(0)), [this] {
      mRequest->Refuse(
        { Cause::DeadlinePassed,
          mTriedEndpoints.empty() ? RanState::No : RanState::Unknown,
          "the deadline passed before the service answered",
          std::nullopt });
      End();
    });
  TryNext();
}

void
IdempotentCallSession::TryNext()
{
  const Endpoint* endpoint = mDependencies.mClient.SelectEndpoint(
    mRequest->mService->mService, mTriedEndpoints);
  if (endpoint == nullptr) {
    const bool wasTried = !mTriedEndpoints.empty();
    mRequest->Refuse({ wasTried ? Cause::EndpointError : Cause::NoCapacity,
                       wasTried ? RanState::Unknown : RanState::No,
                       absl::StrCat("no endpoint of service ",
                                    mRequest->mService->mService,
                                    " answered; tried ",
                                    mTriedEndpoints.size()),
                       kRetryAfter });
    End();
    return;
  }
  mTriedEndpoints.push_back(endpoint->mName);
  mRequest->Enter(Hop::Service, *endpoint);
  mCall = mDependencies.mClient.Send(
    *endpoint, MakeServiceCall(*mRequest), [this](const HttpCallReply& aReply) {
      HandleReply(aReply);
    });
}

void
IdempotentCallSession::HandleReply(const HttpCallReply& aReply)
{
  const std::shared_ptr<IdempotentCallSession> keepAlive = mSelf;
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
IdempotentCallSession::End()
{
  mDeadlineTimer = {};
  mCall.reset();
  mSelf.reset();
}

void
IdempotentCallFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  if (!aRequest->mService || !aRequest->mService->mIsIdempotent) {
    aNext();
    return;
  }
  std::make_shared<IdempotentCallSession>(mDependencies, aRequest)->Start();
}

} // namespace bulrushfold
