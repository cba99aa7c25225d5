#include "Daemon/FilterChain.h"

#include <utility>

namespace bulrushfold {

void
FilterChain::Add(std::unique_ptr<Filter> aFilter)
{
  mFilters.push_back(std::move(aFilter));
}

void
FilterChain::RunFrom(std::size_t aIndex, const RequestPointer& aRequest)
{
  if (aIndex < mFilters.size()) {
    mFilters[aIndex]->Handle(
      aRequest, [this, aIndex, aRequest] { RunFrom(aIndex + 1, aRequest); });
  }
}

} // namespace bulrushfold
