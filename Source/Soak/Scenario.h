#ifndef BULRUSHFOLD_SOAK_SCENARIO_H
#define BULRUSHFOLD_SOAK_SCENARIO_H

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Soak/FaultStatistics.h"
#include "Soak/Journal.h"
#include "Soak/VirtualTimeQueue.h"

namespace bulrushfold {

/** Objects that all scenarios of a run share. */
struct SoakContext
{
  ManualClock& mClock;
  VirtualTimeQueue& mEvents;
  Random& mRandom;
  FaultStatistics& mFaults;
  Journal& mJournal;
  /** Mechanism that is disabled to test the checks; empty in a normal run. */
  std::string mDefect;
};

/**
 * Simulates callers, daemons, endpoints and the store around real state
 * machines and injects faults. A scenario registers its fault classes and
 * schedules its periodic events in Start. All later actions are events of the
 * queue and use random numbers of the context only, so that the seed determines
 * the run.
 *
 * To add a scenario, write a class in its own files, add it to MakeScenarios
 * (Scenarios.h), and add a defect to Defects for each mechanism that the
 * scenario tests.
 */
class Scenario
{
public:
  virtual ~Scenario() = default;
  /** Name in messages. */
  virtual std::string Name() const = 0;
  /** Defects for the option --break; this scenario must detect each of them. */
  virtual std::vector<std::string> Defects() const = 0;
  /** Registers fault classes and schedules the first events. */
  virtual void Start() = 0;
  /** Stops new faults and new work. The program continues for SettleTime and
   * then calls Check. */
  virtual void Settle() = 0;
  virtual Duration SettleTime() const = 0;
  /** Checks the final state, for example that all requests are answered. */
  virtual void Check() = 0;
  /** Number of requests started. */
  virtual std::uint64_t Requests() const = 0;
  /** Lines of statistics to print; may be empty. */
  virtual std::string Statistics() const { return ""; }
};

} // namespace bulrushfold

#endif
