#include "Routing/RoutingConfig.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RequestKind, 3> kKindNames{ {
  { RequestKind::Idempotent, "idempotent" },
  { RequestKind::NonIdempotent, "non_idempotent" },
  { RequestKind::Stream, "stream" },
} };
} // namespace

std::string_view
RequestKindName(RequestKind aKind)
{
  return FindEnumName(kKindNames, aKind);
}

} // namespace bulrushfold
