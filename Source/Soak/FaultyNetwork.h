#ifndef BULRUSHFOLD_SOAK_FAULTYNETWORK_H
#define BULRUSHFOLD_SOAK_FAULTYNETWORK_H

#include <functional>

#include "Soak/FakeProcess.h"
#include "Soak/Scenario.h"

namespace bulrushfold {

/** Delivers messages between simulated daemons; drops, duplicates and delays
 * some of them. */
class FaultyNetwork
{
public:
  static constexpr const char* kDropped = "message_dropped";
  static constexpr const char* kDuplicated = "message_duplicated";
  static constexpr const char* kLate = "message_late";

  explicit FaultyNetwork(SoakContext& aContext);

  /** Runs aDeliver at aReceiver; exactly once if no fault is injected. */
  void Send(FakeProcess& aReceiver, const std::function<void()>& aDeliver);
  /** Stops the injection of faults. */
  void EndFaults() { mFaultsEnded = true; }

private:
  /** Decides at random whether to inject a fault of aClass now, and counts it.
   */
  bool ShouldInject(const char* aClass);

  SoakContext& mContext;
  bool mFaultsEnded = false;
};

} // namespace bulrushfold

#endif
