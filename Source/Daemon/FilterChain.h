#ifndef BULRUSHFOLD_DAEMON_FILTERCHAIN_H
#define BULRUSHFOLD_DAEMON_FILTERCHAIN_H

#include <functional>
#include <memory>
#include <vector>

#include "Daemon/RequestContext.h"

namespace bulrushfold {

/** One stage of request processing. */
class Filter
{
public:
  using Next = std::function<void()>;

  virtual ~Filter() = default;
  /**
   * Either answers the request or calls aNext, immediately or later. A filter
   * that returns without either must keep a reference to aRequest until the
   * request is finished.
   */
  virtual void Handle(const RequestPointer& aRequest, const Next& aNext) = 0;
};

/** Filters in the order in which they process a request. */
class FilterChain
{
public:
  void Add(std::unique_ptr<Filter> aFilter);
  void Run(const RequestPointer& aRequest) { RunFrom(0, aRequest); }

private:
  void RunFrom(std::size_t aIndex, const RequestPointer& aRequest);

  std::vector<std::unique_ptr<Filter>> mFilters;
};

} // namespace bulrushfold

#endif
