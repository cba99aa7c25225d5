#ifndef BULRUSHFOLD_SOAK_FAKEPROCESS_H
#define BULRUSHFOLD_SOAK_FAKEPROCESS_H

#include <functional>
#include <string>

#include "Soak/Scenario.h"

namespace bulrushfold {

/** Simulates the incarnations and pauses of one daemon process. */
class FakeProcess
{
public:
  FakeProcess(SoakContext& aContext, std::string aName);

  const std::string& Name() const { return mName; }
  /** NAME/INCARNATION. */
  std::string Writer() const;
  bool IsAlive() const { return mAlive; }
  void Kill();
  /** Starts the next incarnation. */
  void Restart();
  /** Postpones all events until aSpan has passed. */
  void Pause(Duration aSpan);
  void Resume();
  bool IsPaused() const;

  /**
   * Schedules aEvent in this incarnation after aDelay. The event does not run
   * if the process dies before, and is postponed while the process is paused.
   */
  void Post(Duration aDelay, std::function<void()> aEvent);

private:
  void RunOrPostpone(int aIncarnation, const std::function<void()>& aEvent);

  SoakContext& mContext;
  std::string mName;
  int mIncarnation = 1;
  bool mAlive = true;
  Instant mPauseEnd;
};

} // namespace bulrushfold

#endif
