#ifndef BULRUSHFOLD_BASE_LOGWRITER_H
#define BULRUSHFOLD_BASE_LOGWRITER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "Base/Clock.h"

namespace bulrushfold {

/** Bounds of the volume of a log. */
struct LogBounds
{
  /** Lines of ordinary events in a second; as many may come at once. */
  double mOrdinaryPerSecond = 2'000;
  /** The same for warnings and errors. */
  double mUrgentPerSecond = 10'000;
  /** Bytes kept while the reader accepts none. */
  std::size_t mMaxBuffered = 512 * 1024;
};

/** Lines that were left out, in total. */
struct LogDrops
{
  std::uint64_t mOrdinary = 0;
  std::uint64_t mUrgent = 0;

  std::uint64_t Total() const { return mOrdinary + mUrgent; }
};

/**
 * Writes lines to a descriptor without ever waiting for its reader. Lines
 * beyond the bounds are left out and counted; ordinary ones leave the second
 * half of the buffer to warnings and errors.
 */
class LogWriter
{
public:
  /** aDescriptor stays open for as long as the writer lives. */
  LogWriter(int aDescriptor, const Clock& aClock, LogBounds aBounds);

  /** aLine without a line end. */
  void Write(std::string_view aLine, bool aIsUrgent);
  /** Writes what the reader accepts now. */
  void Flush();
  const LogDrops& Drops() const { return mDrops; }
  /** True when lines were left out since the last call, which is then over. */
  bool TakeNewDrops();

private:
  struct Bucket
  {
    double mPerSecond;
    double mLeft;
  };

  bool TakeToken(Bucket& aBucket);
  void Refill();

  int mDescriptor;
  const Clock& mClock;
  std::size_t mMaxBuffered;
  Bucket mOrdinary;
  Bucket mUrgent;
  Instant mRefilledAt;
  std::string mBuffer;
  LogDrops mDrops;
  std::uint64_t mReported = 0;
};

} // namespace bulrushfold

#endif
