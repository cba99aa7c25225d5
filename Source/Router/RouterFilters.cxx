#include "Router/RouterFilters.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"
#include "Router/PlainSession.h"
#include "Router/StreamSession.h"

namespace bulrushfold {

namespace {
constexpr Duration kConfigurationRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kStopRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kEndpointRetryAfter = std::chrono::milliseconds(300);
/** Assumed token counts of a request that does not state them. */
constexpr TokenCounts kDefaultTokens{ 4000, 500, std::nullopt };
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
  AnswerWriter(mServices, aRequest).Refuse(aRefusal, "");
}

bool
RouteFilter::Handle(const RoutedRequestPointer& aRequest)
{
  CallParameters& parameters = aRequest->mParameters;
  aRequest->mTable = mTable();
  if (!aRequest->mTable) {
    Refuse(aRequest,
           { kHttpUnavailable,
             RefusalReason::NoConfiguration,
             kConfigurationRetryAfter });
    return false;
  }
  const HttpRequest& message = aRequest->Message();
  parameters.mRoute = aRequest->mTable->Find(
    message.mHeaders.Find("Host").value_or(""), message.mTarget);
  if (parameters.mRoute == nullptr) {
    Refuse(aRequest,
           { kHttpNotFound, RefusalReason::NoRoute, Duration::zero() });
    return false;
  }
  const Duration callerTimeout =
    aRequest->mMetadata.mCallerTimeout.value_or(parameters.mRoute->mTimeout);
  parameters.mDeadline =
    parameters.mArrival + std::min(callerTimeout, parameters.mRoute->mTimeout);
  parameters.mService = DrawService(*parameters.mRoute, mRandom);
  if (parameters.mService.empty()) {
    Refuse(
      aRequest,
      { kHttpUnavailable, RefusalReason::NoEndpoint, kEndpointRetryAfter });
    return false;
  }
  return true;
}

bool
CrashFilter::Handle(const RoutedRequestPointer& aRequest)
{
  if (!mServices.IsCrashSuspect(*aRequest)) {
    return true;
  }
  AnswerWriter(mServices, aRequest)
    .Refuse({ kHttpUnavailable, RefusalReason::CrashSuspect, Duration::zero() },
            "");
  return false;
}

StopFilter::StopFilter(RouterServices& aServices, RefusalCheck aIsRefused)
  : mServices(aServices)
  , mIsRefused(std::move(aIsRefused))
{
}

bool
StopFilter::Handle(const RoutedRequestPointer& aRequest)
{
  if (!mIsRefused(aRequest->mParameters)) {
    return true;
  }
  AnswerWriter(mServices, aRequest)
    .Refuse({ kHttpUnavailable, RefusalReason::Stopping, kStopRetryAfter }, "");
  return false;
}

bool
DispatchFilter::IsModelRequest(const RoutedRequest& aRequest) const
{
  const ServiceProfile* service =
    aRequest.mTable->FindService(aRequest.mParameters.mService);
  return service != nullptr && service->mEngine &&
         aRequest.mParameters.mRoute->mKind == RequestKind::Stream;
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
    aRequest->mTable->FindService(aRequest->mParameters.mService);
  StreamParameters parameters;
  parameters.mCall = aRequest->mParameters;
  parameters.mNumber = aRequest->mNumber;
  parameters.mProfile = *service->mEngine;
  parameters.mTokens = aRequest->mMetadata.mTokens.value_or(kDefaultTokens);
  parameters.mAnswerTokens =
    mServices.mAnswerLengths.Estimate(aRequest->mParameters.mRoute->mName,
                                      parameters.mTokens.mEstimatedAnswer,
                                      parameters.mTokens.mMaxAnswer);
  parameters.mLastEventId = aRequest->mMetadata.mLastEventId;
  parameters.mPromptKey = aRequest->mMetadata.mUniquePromptPart
                            ? aRequest->mMetadata.mUniquePromptPart->mKey
                            : 0;
  parameters.mFirstArrival = mServices.mDeferredRequests.FirstArrival(
    aRequest->mHash, aRequest->mParameters.mArrival);
  std::make_shared<StreamSession>(mServices, aRequest, std::move(parameters))
    ->Start();
}

} // namespace bulrushfold
