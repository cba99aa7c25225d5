#include "Daemon/RequestFilters.h"

#include <algorithm>

#include "Base/Identifiers.h"
#include "Base/Secret.h"
#include "Outcome/RequestId.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace bulrushfold {

namespace {

constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kBearer = "Bearer ";

} // namespace

void
TraceFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  if (const auto header = aRequest->Message().mHeaders.Find("traceparent");
      header) {
    aRequest->mParent = ParseTraceparent(*header);
  }
  aRequest->Timeline().PartialRecord().mTraceId =
    aRequest->mParent ? aRequest->mParent->mTraceId
                      : TraceIdOf(aRequest->RequestId());
  aNext();
}

void
IdentifyFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  const auto header = aRequest->Message().mHeaders.Find("Authorization");
  const Workspace* workspace = nullptr;
  if (header && absl::StartsWith(*header, { kBearer.data(), kBearer.size() })) {
    // Only digests are compared, so the time tells nothing about a token.
    workspace = mConfiguration.FindWorkspaceByToken(
      Sha256Hex(header->substr(kBearer.size())));
  }
  if (workspace == nullptr) {
    aRequest->Refuse({ Cause::BadToken,
                       RanState::No,
                       "expected a valid token in Authorization: Bearer",
                       std::nullopt });
    return;
  }
  aRequest->mWorkspace = *workspace;
  aRequest->Timeline().PartialRecord().mWorkspace = workspace->mName;
  aNext();
}

bool
ClassifyFilter::ReadDeadline(const RequestPointer& aRequest) const
{
  Duration timeout = mLimits.mDefaultDeadline;
  if (const auto header =
        aRequest->Message().mHeaders.Find("Request-Timeout-Ms");
      header) {
    std::uint32_t n = 0;
    if (!absl::SimpleAtoi(*header, &n) || n == 0) {
      return false;
    }
    timeout =
      std::min<Duration>(std::chrono::milliseconds(n), mLimits.mMaxDeadline);
  }
  aRequest->mDeadline = aRequest->Start() + timeout;
  return true;
}

void
ClassifyFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  aRequest->Enter(Hop::Admission);
  if (!ReadDeadline(aRequest)) {
    aRequest->Refuse({ Cause::BadRequest,
                       RanState::No,
                       "Request-Timeout-Ms: expected milliseconds, 1 or more",
                       std::nullopt });
    return;
  }
  const std::string& path = aRequest->Message().mPath;
  if (path == "/v1/completions") {
    ClassifyCompletion(aRequest, CompletionKind::Completion, aNext);
  } else if (path == "/v1/chat/completions") {
    ClassifyCompletion(aRequest, CompletionKind::Chat, aNext);
  } else if (absl::StartsWith(path,
                              { kServicesPath.data(), kServicesPath.size() })) {
    ClassifyService(aRequest, aNext);
  } else {
    aRequest->Refuse({ Cause::UnknownService,
                       RanState::No,
                       absl::StrCat("no resource has the path ", path),
                       std::nullopt });
  }
}

void
ClassifyFilter::ClassifyCompletion(const RequestPointer& aRequest,
                                   CompletionKind aKind,
                                   const Next& aNext) const
{
  if (aRequest->Message().mMethod != HttpMethod::Post) {
    aRequest->Refuse(
      { Cause::BadRequest, RanState::No, "expected POST", std::nullopt });
    return;
  }
  auto completion = ParseCompletionRequest(aKind, aRequest->Message().mBody);
  if (!completion.ok()) {
    aRequest->Refuse({ Cause::BadRequest,
                       RanState::No,
                       std::string(completion.status().message()),
                       std::nullopt });
    return;
  }
  const auto& allowed = aRequest->mWorkspace.mModels;
  const auto& endpoints = mConfiguration.Endpoints();
  const bool isKnown =
    std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& aPair) {
      return aPair.second.Serves(completion->mModel);
    });
  if (!isKnown) {
    aRequest->Refuse(
      { Cause::UnknownModel,
        RanState::No,
        absl::StrCat("no endpoint serves model ", completion->mModel),
        std::nullopt });
    return;
  }
  if (std::find(allowed.begin(), allowed.end(), completion->mModel) ==
      allowed.end()) {
    aRequest->Refuse(
      { Cause::ModelForbidden,
        RanState::No,
        absl::StrCat("the workspace may not use model ", completion->mModel),
        std::nullopt });
    return;
  }
  aRequest->Timeline().PartialRecord().mTarget = completion->mModel;
  aRequest->mCompletion = *std::move(completion);
  aNext();
}

void
ClassifyFilter::ClassifyService(const RequestPointer& aRequest,
                                const Next& aNext) const
{
  const std::string rest =
    aRequest->Message().mPath.substr(kServicesPath.size());
  const auto slash = rest.find('/');
  ServiceRequest call;
  call.mService = rest.substr(0, slash);
  call.mPath = slash == std::string::npos ? "/" : rest.substr(slash);
  const Service* service = mConfiguration.FindService(call.mService);
  const ServiceCall* known =
    service == nullptr ? nullptr : service->FindCall(call.mPath);
  if (known == nullptr) {
    aRequest->Refuse(
      { Cause::UnknownService,
        RanState::No,
        absl::StrCat("service ", call.mService, " has no call ", call.mPath),
        std::nullopt });
    return;
  }
  call.mIsIdempotent = known->mIdempotent;
  call.mKey = aRequest->Message().mHeaders.Find("Idempotency-Key").value_or("");
  if (!call.mIsIdempotent && !UuidV7Time(call.mKey)) {
    aRequest->Refuse({ Cause::BadIdempotencyKey,
                       RanState::No,
                       "this call is not idempotent: expected a UUIDv7 in "
                       "Idempotency-Key",
                       std::nullopt });
    return;
  }
  aRequest->Timeline().PartialRecord().mTarget = call.mService;
  aRequest->Timeline().SetService();
  aRequest->mService = std::move(call);
  aNext();
}

} // namespace bulrushfold
