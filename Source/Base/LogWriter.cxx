#include "Base/LogWriter.h"

#include <algorithm>
#include <cerrno>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace bulrushfold {

LogWriter::LogWriter(int aDescriptor, const Clock& aClock, LogLimits aLimits)
  : mDescriptor(aDescriptor)
  , mClock(aClock)
  , mMaxBufferedBytes(aLimits.mMaxBufferedBytes)
  , mOrdinary{ aLimits.mOrdinaryPerSecond, aLimits.mOrdinaryPerSecond }
  , mUrgent{ aLimits.mUrgentPerSecond, aLimits.mUrgentPerSecond }
  , mRefilledAt(aClock.Now())
{
}

void
LogWriter::Refill()
{
  const Instant now = mClock.Now();
  const double seconds = ToSeconds(now - mRefilledAt);
  mRefilledAt = now;
  for (TokenBucket* it : { &mOrdinary, &mUrgent }) {
    it->mTokens = std::min(it->mTokensPerSecond,
                           it->mTokens + seconds * it->mTokensPerSecond);
  }
}

bool
LogWriter::ConsumeToken(TokenBucket& aBucket)
{
  if (aBucket.mTokens < 1) {
    return false;
  }
  aBucket.mTokens -= 1;
  return true;
}

void
LogWriter::Write(std::string_view aLine, bool aIsUrgent)
{
  Refill();
  const std::size_t limit =
    aIsUrgent ? mMaxBufferedBytes : mMaxBufferedBytes / 2;
  if (mBuffer.size() + aLine.size() + 1 > limit ||
      !ConsumeToken(aIsUrgent ? mUrgent : mOrdinary)) {
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
    // A writable pipe accepts PIPE_BUF bytes without blocking. The descriptor
    // is not set to O_NONBLOCK, because other processes may share it.
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
LogWriter::CheckNewDrops()
{
  const std::uint64_t before = mReportedDrops;
  mReportedDrops = mDrops.Total();
  return mReportedDrops > before;
}

} // namespace bulrushfold
