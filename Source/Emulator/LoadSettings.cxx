#include "Emulator/LoadSettings.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<LoadKind, 6> kKindNames{ {
  { LoadKind::Completion, "completion" },
  { LoadKind::CompletionStream, "completion_stream" },
  { LoadKind::Chat, "chat" },
  { LoadKind::ChatStream, "chat_stream" },
  { LoadKind::Lookup, "lookup" },
  { LoadKind::Booking, "booking" },
} };
} // namespace

std::string_view
LoadKindName(LoadKind aKind)
{
  return FindEnumName(kKindNames, aKind);
}

std::optional<LoadKind>
ParseLoadKind(std::string_view aName)
{
  return FindEnumValue(kKindNames, aName);
}

} // namespace bulrushfold
