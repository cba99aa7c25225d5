#ifndef BULRUSHFOLD_SOAK_SCENARIO_H
#define BULRUSHFOLD_SOAK_SCENARIO_H

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Soak/FaultBoard.h"
#include "Soak/Journal.h"
#include "Soak/VirtualTimeQueue.h"

namespace bulrushfold {

/** What the program passes to each scenario. */
struct SoakContext
{
  ManualClock& mClock;
  VirtualTimeQueue& mEvents;
  Random& mRandom;
  FaultBoard& mFaults;
  Journal& mJournal;
  /** Mechanism that is disabled on purpose; empty in a real run. */
  std::string mDefect;
};

/**
 * A small world of real decision classes with faults. A scenario registers its
 * fault classes and its periodic events in Start; everything it does later
 * happens in events of the queue, with numbers from the context's generator
 * only, so that the seed fixes the run.
 *
 * To add one: a class in its own files, one line in MakeScenarios (Scenarios.h)
 * and, for each mechanism it protects, a defect in Defects.
 */
class Scenario
{
public:
  virtual ~Scenario() = default;
  /** Name in messages. */
  virtual std::string Name() const = 0;
  /** Defects that --break may name and that this scenario must detect. */
  virtual std::vector<std::string> Defects() const = 0;
  /** Registers fault classes and schedules the first events. */
  virtual void Start() = 0;
  /** No new faults and no new work from now on; the program runs on for
   * SettleTime and then calls Check. */
  virtual void Settle() = 0;
  virtual Duration SettleTime() const = 0;
  /** Checks what must hold in the end, for example that all was answered. */
  virtual void Check() = 0;
  /** Requests started. */
  virtual std::uint64_t Requests() const = 0;
  /** One line of figures, or empty. */
  virtual std::string Figures() const { return ""; }
};

} // namespace bulrushfold

#endif
