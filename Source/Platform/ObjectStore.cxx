#include "Platform/ObjectStore.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<VmState, 2> kVmStateNames{ {
  { VmState::Live, "live" },
  { VmState::Leaving, "leaving" },
} };
} // namespace

std::string_view
VmStateName(VmState aState)
{
  return FindEnumName(kVmStateNames, aState);
}

std::optional<VmState>
ParseVmState(std::string_view aName)
{
  return FindEnumValue(kVmStateNames, aName);
}

} // namespace bulrushfold
