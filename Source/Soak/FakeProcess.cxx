#include "Soak/FakeProcess.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

FakeProcess::FakeProcess(SoakContext& aContext, std::string aName)
  : mContext(aContext)
  , mName(std::move(aName))
  , mPausedUntil(aContext.mClock.Now())
{
}

std::string
FakeProcess::Writer() const
{
  return absl::StrCat(mName, "/", mIncarnation);
}

void
FakeProcess::Kill()
{
  mAlive = false;
}

void
FakeProcess::Restart()
{
  ++mIncarnation;
  mAlive = true;
  mPausedUntil = mContext.mClock.Now();
}

void
FakeProcess::Pause(Duration aSpan)
{
  mPausedUntil = mContext.mClock.Now() + aSpan;
}

void
FakeProcess::Resume()
{
  mPausedUntil = mContext.mClock.Now();
}

bool
FakeProcess::IsPaused() const
{
  return mContext.mClock.Now() < mPausedUntil;
}

void
FakeProcess::Post(Duration aDelay, std::function<void()> aEvent)
{
  mContext.mEvents.After(
    aDelay, [this, incarnation = mIncarnation, event = std::move(aEvent)] {
      RunOrHold(incarnation, event);
    });
}

void
FakeProcess::RunOrHold(int aIncarnation, const std::function<void()>& aEvent)
{
  if (!mAlive || aIncarnation != mIncarnation) {
    return;
  }
  if (IsPaused()) {
    mContext.mEvents.After(
      mPausedUntil - mContext.mClock.Now(),
      [this, aIncarnation, aEvent] { RunOrHold(aIncarnation, aEvent); });
    return;
  }
  aEvent();
}

} // namespace bulrushfold
