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

  /** Runs aArrive at aReceiver; exactly once if no fault is injected. */
  void Send(FakeProcess& aReceiver, const std::function<void()>& aArrive);
  /** Stops the injection of faults. */
  void Heal() { mHealed = true; }

private:
  bool Strikes(const char* aClass);

  SoakContext& mContext;
  bool mHealed = false;
};

} // namespace bulrushfold

#endif
