#include "Policy/PolicyTypes.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RejectReason, 7> kRejectNames{ {
  { RejectReason::DeadlinePassed, "deadline_passed" },
  { RejectReason::TargetUnreachable, "target_unreachable" },
  { RejectReason::QueueFull, "queue_full" },
  { RejectReason::WaitedTooLong, "waited_too_long" },
  { RejectReason::NoEndpoint, "no_endpoint" },
  { RejectReason::RetryBudget, "retry_budget" },
  { RejectReason::Failed, "failed" },
} };
constexpr EnumNames<RefuseReason, 5> kRefuseNames{ {
  { RefuseReason::NotOwner, "not_owner" },
  { RefuseReason::NoSlot, "no_slot" },
  { RefuseReason::NoMemory, "no_memory" },
  { RefuseReason::TooLate, "too_late" },
  { RefuseReason::NoAnswer, "no_answer" },
} };
} // namespace

std::uint64_t
PieceCount(std::uint64_t aTokens)
{
  return (aTokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

std::string_view
RejectReasonName(RejectReason aReason)
{
  return FindEnumName(kRejectNames, aReason);
}

std::string_view
RefuseReasonName(RefuseReason aReason)
{
  return FindEnumName(kRefuseNames, aReason);
}

} // namespace bulrushfold
