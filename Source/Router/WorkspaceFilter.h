#ifndef BULRUSHFOLD_ROUTER_WORKSPACEFILTER_H
#define BULRUSHFOLD_ROUTER_WORKSPACEFILTER_H

#include <functional>

#include "Router/RouterFilters.h"

namespace bulrushfold {

/** What is done with a request whose key no workspace holds. */
enum class KeyVerdict
{
  Accept,
  /** The key is unknown (401). */
  Unknown,
  /** The configuration may lack the key because it is outdated (503). */
  Unverifiable,
};

/**
 * Decides on a request in a configuration with workspaces. aWorkspace: the
 * holder of its key; null when there is none. aIsCurrent: false while newer
 * configurations may exist that this daemon cannot read.
 */
KeyVerdict DecideKey(const Route& aRoute,
                     const Workspace* aWorkspace,
                     bool aIsCurrent);

/** Finds the workspace of the caller's key, and refuses unknown keys. */
class WorkspaceFilter : public RouterFilter
{
public:
  /** False while the daemon cannot read the newest configuration. */
  using CurrencyCheck = std::function<bool()>;

  WorkspaceFilter(RouterServices& aServices, CurrencyCheck aIsConfigCurrent)
    : mServices(aServices)
    , mIsConfigCurrent(std::move(aIsConfigCurrent))
  {
  }
  bool Handle(const RoutedRequestPointer& aRequest) override;

private:
  RouterServices& mServices;
  CurrencyCheck mIsConfigCurrent;
};

} // namespace bulrushfold

#endif
