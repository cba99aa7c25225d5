#include "Base/LogWriter.h"

#include <algorithm>
#include <cerrno>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace bulrushfold {

LogWriter::LogWriter(int aDescriptor, const Clock& aClock, LogBounds aBounds)
  : mDescriptor(aDescriptor)
  , mClock(aClock)
  , mMaxBuffered(aBounds.mMaxBuffered)
  , mOrdinary{ aBounds.mOrdinaryPerSecond, aBounds.mOrdinaryPerSecond }
  , mUrgent{ aBounds.mUrgentPerSecond, aBounds.mUrgentPerSecond }
  , mRefilledAt(aClock.Now())
{
}

void
LogWriter::Refill()
{
  const Instant now = mClock.Now();
  const double passed = ToSeconds(now - mRefilledAt);
  mRefilledAt = now;
  for (Bucket* it : { &mOrdinary, &mUrgent }) {
    it->mLeft = std::min(it->mPerSecond, it->mLeft + passed * it->mPerSecond);
  }
}

bool
LogWriter::TakeToken(Bucket& aBucket)
{
  if (aBucket.mLeft < 1) {
    return false;
  }
  aBucket.mLeft -= 1;
  return true;
}

void
LogWriter::Write(std::string_view aLine, bool aIsUrgent)
{
  Refill();
  const std::size_t room = aIsUrgent ? mMaxBuffered : mMaxBuffered / 2;
  if (mBuffer.size() + aLine.size() + 1 > room ||
      !TakeToken(aIsUrgent ? mUrgent : mOrdinary)) {
    ++(aIsUrgent ? mDrops.mUrgent : mDrops.mOrdinary);
  } else {
    mBuffer.append(aLine).push_back('\n');
  }
  Flush();
}

void
LogWriter::Flush()
{
  std::size_t written = 0;
  while (written < mBuffer.size()) {
    pollfd target{ mDescriptor, POLLOUT, 0 };
    if (poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is writable accepts PIPE_BUF bytes without blocking; the
    // descriptor is not set to O_NONBLOCK because other processes share it.
    const std::size_t size =
      std::min<std::size_t>(mBuffer.size() - written, PIPE_BUF);
    const ssize_t n = write(mDescriptor, mBuffer.data() + written, size);
    if (n < 0) {
      if (errno == EINTR) {
        continue;
      }
      break;
    }
    written += static_cast<std::size_t>(n);
  }
  mBuffer.erase(0, written);
}

bool
LogWriter::TakeNewDrops()
{
  const std::uint64_t before = mReported;
  mReported = mDrops.Total();
  return mReported > before;
}

} // namespace bulrushfold
