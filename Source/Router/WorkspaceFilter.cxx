#include "Router/WorkspaceFilter.h"

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/** Callers that are asked to retry reach another daemon, which may have read
 * the newest configuration. */
constexpr Duration kUnverifiableRetryAfter = std::chrono::milliseconds(100);
} // namespace

KeyVerdict
DecideKey(const Route& aRoute, const Workspace* aWorkspace, bool aIsCurrent)
{
  if (aWorkspace != nullptr || aRoute.mIsPublic) {
    return KeyVerdict::Accept;
  }
  // 401 is final for the caller, so it is only given on present knowledge.
  return aIsCurrent ? KeyVerdict::Unknown : KeyVerdict::Unverifiable;
}

bool
WorkspaceFilter::Handle(const RoutedRequestPointer& aRequest)
{
  const RouteTable& table = *aRequest->mTable;
  if (!table.HasWorkspaces()) {
    return true;
  }
  aRequest->mWorkspace = table.FindWorkspace(aRequest->mMetadata.mKey);
  AnswerWriter writer(mServices, aRequest);
  switch (DecideKey(
    *aRequest->mParameters.mRoute, aRequest->mWorkspace, mIsConfigCurrent())) {
    case KeyVerdict::Accept:
      return true;
    case KeyVerdict::Unknown:
      writer.Refuse(
        { kHttpUnauthorized, RefusalReason::UnknownKey, Duration::zero() }, "");
      return false;
    case KeyVerdict::Unverifiable:
      writer.Refuse({ kHttpUnavailable,
                      RefusalReason::UnknownKey,
                      kUnverifiableRetryAfter },
                    "");
      return false;
  }
  return false;
}

} // namespace bulrushfold
