#ifndef BULRUSHFOLD_BASE_LOGWRITER_H
#define BULRUSHFOLD_BASE_LOGWRITER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "Base/Clock.h"

namespace bulrushfold {

/** Limits on the volume of a log. Urgent lines are warnings and errors. */
struct LogLimits
{
  /** Ordinary lines a second; also the largest burst. */
  double mOrdinaryPerSecond = 2'000;
  /** Urgent lines a second; also the largest burst. */
  double mUrgentPerSecond = 10'000;
  /** Bytes that are buffered while the reader accepts no data. */
  std::size_t mMaxBufferedBytes = 512 * 1024;
};

/** Numbers of lines that were dropped since the start. */
struct LogDrops
{
  std::uint64_t mOrdinary = 0;
  std::uint64_t mUrgent = 0;

  std::uint64_t Total() const { return mOrdinary + mUrgent; }
};

/**
 * Writes lines to a file descriptor without ever blocking. Lines beyond the
 * limits are dropped and counted. Ordinary lines may fill only half of the
 * buffer, so that the other half is available for urgent lines.
 */
class LogWriter
{
public:
  /** aDescriptor must stay open during the lifetime of the writer. */
  LogWriter(int aDescriptor, const Clock& aClock, LogLimits aLimits);

  /** Writes aLine, which has no line end, or drops it. */
  void Write(std::string_view aLine, bool aIsUrgent);
  /** Writes as much of the buffer as the reader accepts without blocking. */
  void Flush();
  const LogDrops& Drops() const { return mDrops; }
  /** Returns whether lines were dropped since the last call of this function.
   */
  bool CheckNewDrops();

private:
  struct TokenBucket
  {
    double mTokensPerSecond;
    double mTokens;
  };

  bool ConsumeToken(TokenBucket& aBucket);
  void Refill();

  int mDescriptor;
  const Clock& mClock;
  std::size_t mMaxBufferedBytes;
  TokenBucket mOrdinary;
  TokenBucket mUrgent;
  Instant mRefilledAt;
  std::string mBuffer;
  LogDrops mDrops;
  std::uint64_t mReportedDrops = 0;
};

} // namespace bulrushfold

#endif
