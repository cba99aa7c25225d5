#include "Soak/FakeProcess.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

FakeProcess::FakeProcess(SoakContext& aContext, std::string aName)
  : mContext(aContext)
  , mName(std::move(aName))
  , mPauseEnd(aContext.mClock.Now())
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
  mPauseEnd = mContext.mClock.Now();
}

void
FakeProcess::Pause(Duration aSpan)
{
  mPauseEnd = mContext.mClock.Now() + aSpan;
}

void
FakeProcess::Resume()
{
  mPauseEnd = mContext.mClock.Now();
}

bool
FakeProcess::IsPaused() const
{
  return mContext.mClock.Now() < mPauseEnd;
}

void
FakeProcess::Post(Duration aDelay, std::function<void()> aEvent)
{
  mContext.mEvents.After(
    aDelay, [this, incarnation = mIncarnation, event = std::move(aEvent)] {
      RunOrPostpone(incarnation, event);
    });
}

void
FakeProcess::RunOrPostpone(int aIncarnation,
                           const std::function<void()>& aEvent)
{
  if (!mAlive || aIncarnation != mIncarnation) {
    return;
  }
  if (IsPaused()) {
    mContext.mEvents.After(
      mPauseEnd - mContext.mClock.Now(),
      [this, aIncarnation, aEvent] { RunOrPostpone(aIncarnation, aEvent); });
    return;
  }
  aEvent();
}

} // namespace bulrushfold
