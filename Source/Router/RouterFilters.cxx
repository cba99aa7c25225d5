#include "Router/RouterFilters.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"
#include "Router/PlainSession.h"
#include "Router/StreamSession.h"

namespace bulrushfold {

namespace {
constexpr Duration kConfigurationRetry = std::chrono::milliseconds(300);
constexpr Duration kStopRetry = std::chrono::milliseconds(50);
constexpr Duration kEndpointRetry = std::chrono::milliseconds(300);
/** Tokens of a request that does not state any. */
constexpr TokenCounts kUnknownTokens{ 4000, 500, std::nullopt };
} // namespace

void
RouterFilterChain::Run(const RoutedRequestPointer& aRequest)
{
  for (const auto& it : mFilters) {
    if (!it->Handle(aRequest)) {
      return;
    }
  }
}

RouteFilter::RouteFilter(RouterServices& aServices,
                         Random& aRandom,
                         TableSource aTable)
  : mServices(aServices)
  , mRandom(aRandom)
  , mTable(std::move(aTable))
{
}

void
RouteFilter::Refuse(const RoutedRequestPointer& aRequest,
                    const Refusal& aRefusal)
{
  CallerSide(mServices, aRequest).Refuse(aRefusal, "");
}

bool
RouteFilter::Handle(const RoutedRequestPointer& aRequest)
{
  CallTerms& terms = aRequest->mTerms;
  aRequest->mTable = mTable();
  if (!aRequest->mTable) {
    Refuse(aRequest,
           { kHttpUnavailable,
             RefusalReason::NoConfiguration,
             kConfigurationRetry });
    return false;
  }
  const HttpRequest& message = aRequest->Message();
  terms.mRoute = aRequest->mTable->Find(
    message.mHeaders.Find("Host").value_or(""), message.mTarget);
  if (terms.mRoute == nullptr) {
    Refuse(aRequest,
           { kHttpNotFound, RefusalReason::NoRoute, Duration::zero() });
    return false;
  }
  const Duration patience =
    aRequest->mMetadata.mCallerTimeout.value_or(terms.mRoute->mTimeout);
  terms.mDeadline = terms.mArrival + std::min(patience, terms.mRoute->mTimeout);
  terms.mService = DrawService(*terms.mRoute, mRandom);
  if (terms.mService.empty()) {
    Refuse(aRequest,
           { kHttpUnavailable, RefusalReason::NoEndpoint, kEndpointRetry });
    return false;
  }
  return true;
}

bool
CrashFilter::Handle(const RoutedRequestPointer& aRequest)
{
  if (!mGuard.IsRefused(aRequest->mHash, mServices.mClock.Now())) {
    return true;
  }
  CallerSide(mServices, aRequest)
    .Refuse({ kHttpUnavailable, RefusalReason::CrashSuspect, Duration::zero() },
            "");
  return false;
}

StopFilter::StopFilter(RouterServices& aServices, StopState aRefuses)
  : mServices(aServices)
  , mRefuses(std::move(aRefuses))
{
}

bool
StopFilter::Handle(const RoutedRequestPointer& aRequest)
{
  if (!mRefuses(aRequest->mTerms.mRoute->mKind)) {
    return true;
  }
  CallerSide(mServices, aRequest)
    .Refuse({ kHttpUnavailable, RefusalReason::Stopping, kStopRetry }, "");
  return false;
}

bool
DispatchFilter::IsModelRequest(const RoutedRequest& aRequest) const
{
  const ServiceProfile* service =
    aRequest.mTable->FindService(aRequest.mTerms.mService);
  return service != nullptr && service->mEngine &&
         aRequest.mTerms.mRoute->mKind == RequestKind::Stream;
}

bool
DispatchFilter::Handle(const RoutedRequestPointer& aRequest)
{
  if (IsModelRequest(*aRequest)) {
    StartStream(aRequest);
  } else {
    std::make_shared<PlainSession>(mServices, aRequest)->Start();
  }
  return false;
}

void
DispatchFilter::StartStream(const RoutedRequestPointer& aRequest)
{
  const ServiceProfile* service =
    aRequest->mTable->FindService(aRequest->mTerms.mService);
  StreamTerms terms;
  terms.mCall = aRequest->mTerms;
  terms.mNumber = aRequest->mNumber;
  terms.mProfile = *service->mEngine;
  terms.mTokens = aRequest->mMetadata.mTokens.value_or(kUnknownTokens);
  terms.mAnswerTokens =
    mServices.mAnswerLengths.Estimate(aRequest->mTerms.mRoute->mName,
                                      terms.mTokens.mEstimatedAnswer,
                                      terms.mTokens.mMaxAnswer);
  terms.mLastEventId = aRequest->mMetadata.mLastEventId;
  terms.mPromptKey = aRequest->mMetadata.mUniquePromptPart
                       ? aRequest->mMetadata.mUniquePromptPart->mKey
                       : 0;
  terms.mFirstArrival =
    mServices.mReturns.FirstArrival(aRequest->mHash, aRequest->mTerms.mArrival);
  std::make_shared<StreamSession>(mServices, aRequest, std::move(terms))
    ->Start();
}

} // namespace bulrushfold
