#ifndef BULRUSHFOLD_ROUTING_PLACEMENTTERMS_H
#define BULRUSHFOLD_ROUTING_PLACEMENTTERMS_H

#include <string>

namespace bulrushfold {

/** On whose behalf a request is placed, and how it ranks. */
struct PlacementTerms
{
  /** Empty: the request belongs to no workspace. */
  std::string mWorkspace;
  /** 0 is the most urgent. */
  int mUrgency = 0;
  /** Units of the workspace's quota that the request uses. */
  double mCost = 0;
};

} // namespace bulrushfold

#endif
