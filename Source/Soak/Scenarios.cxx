#include "Soak/Scenarios.h"

#include "Soak/BookingScenario.h"

namespace bulrushfold {

std::vector<std::unique_ptr<Scenario>>
MakeScenarios(SoakContext& aContext)
{
  std::vector<std::unique_ptr<Scenario>> scenarios;
  scenarios.push_back(std::make_unique<BookingScenario>(aContext));
  return scenarios;
}

} // namespace bulrushfold
