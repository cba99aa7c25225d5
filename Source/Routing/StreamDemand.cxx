#include "Routing/StreamDemand.h"

namespace bulrushfold {

std::uint64_t
StartTokens(const StreamDemand& aDemand)
{
  return aDemand.mPromptTokens + aDemand.mGeneratedTokens;
}

bool
MayContinueAt(const std::optional<std::string>& aBegunBy,
              const std::string& aSoftware)
{
  return !aBegunBy || *aBegunBy == aSoftware;
}

double
MemoryTime(const StreamDemand& aDemand)
{
  const double answer = static_cast<double>(aDemand.mAnswerTokens);
  return (static_cast<double>(StartTokens(aDemand)) + answer / 2) * answer;
}

} // namespace bulrushfold
