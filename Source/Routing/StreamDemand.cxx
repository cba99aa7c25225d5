#include "Routing/StreamDemand.h"

namespace bulrushfold {

std::uint64_t
StartTokens(const StreamDemand& aDemand)
{
  return aDemand.mPromptTokens + aDemand.mGeneratedTokens;
}

double
MemoryTime(const StreamDemand& aDemand)
{
  const double answer = static_cast<double>(aDemand.mAnswerTokens);
  return (static_cast<double>(StartTokens(aDemand)) + answer / 2) * answer;
}

} // namespace bulrushfold
