#ifndef BULRUSHFOLD_SOAK_FAKEPROCESS_H
#define BULRUSHFOLD_SOAK_FAKEPROCESS_H

#include <functional>
#include <string>

#include "Soak/Scenario.h"

namespace bulrushfold {

/** Life of one simulated daemon process: incarnations and pauses. */
class FakeProcess
{
public:
  FakeProcess(SoakContext& aContext, std::string aName);

  const std::string& Name() const { return mName; }
  /** NAME/INCARNATION. */
  std::string Writer() const;
  bool IsAlive() const { return mAlive; }
  void Kill();
  /** Begins the next incarnation. */
  void Restart();
  /** Holds all events back until aSpan has passed. */
  void Pause(Duration aSpan);
  void Resume();
  bool IsPaused() const;

  /**
   * Runs aEvent in this incarnation after aDelay: never when the process died
   * in between, and only after its pause.
   */
  void Post(Duration aDelay, std::function<void()> aEvent);

private:
  void RunOrHold(int aIncarnation, const std::function<void()>& aEvent);

  SoakContext& mContext;
  std::string mName;
  int mIncarnation = 1;
  bool mAlive = true;
  Instant mPausedUntil;
};

} // namespace bulrushfold

#endif
