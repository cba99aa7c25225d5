#include "Control/ExitCode.h"

namespace bulrushfold {

ExitCode
ExitCodeOf(const absl::Status& aStatus)
{
  switch (aStatus.code()) {
    case absl::StatusCode::kOk:
      return ExitCode::Ok;
    case absl::StatusCode::kUnavailable:
      return ExitCode::Unreachable;
    case absl::StatusCode::kPermissionDenied:
      return ExitCode::NotAllowed;
    case absl::StatusCode::kNotFound:
      return ExitCode::NotFound;
    case absl::StatusCode::kAborted:
      return ExitCode::Conflict;
    case absl::StatusCode::kInvalidArgument:
      return ExitCode::Refused;
    case absl::StatusCode::kUnknown:
      return ExitCode::Unknown;
    default:
      return ExitCode::Failed;
  }
}

} // namespace bulrushfold
