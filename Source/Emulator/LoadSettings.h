#ifndef BULRUSHFOLD_EMULATOR_LOADSETTINGS_H
#define BULRUSHFOLD_EMULATOR_LOADSETTINGS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Kinds of requests that the load tool sends. */
enum class LoadKind
{
  Completion,
  CompletionStream,
  Chat,
  ChatStream,
  Lookup,
  Booking,
};

/** Name of aKind in options and results. */
std::string_view LoadKindName(LoadKind aKind);

/** Kind with the name aName, if there is one. */
std::optional<LoadKind> ParseLoadKind(std::string_view aName);

/** Arrival process of an open loop. */
enum class ArrivalPattern
{
  Poisson,
  Bursty,
};

/** Weight of one kind among the requests. */
struct LoadShare
{
  LoadKind mKind = LoadKind::CompletionStream;
  double mWeight = 1;
};

/** Inclusive bounds of a random size. */
struct SizeRange
{
  std::uint64_t mMin = 0;
  std::uint64_t mMax = 0;
};

/** Settings of a load run. */
struct LoadSettings
{
  /** Daemons, used round-robin. */
  std::vector<SocketAddress> mTargets;
  /** Plain services whose runs are read at the end. */
  std::vector<SocketAddress> mServices;
  std::string mToken;
  std::vector<LoadShare> mMix{ {} };
  std::vector<std::string> mModels;
  /** Paths below /services/, as SERVICE/PATH. */
  std::string mBookingPath = "booking/book";
  std::string mLookupPath = "booking/status";
  SizeRange mPromptTokens{ 50, 500 };
  SizeRange mMaxTokens{ 10, 50 };
  /** Number of different shared prompt prefixes; 0: no prefix is shared. */
  std::uint64_t mSharedPrefixes = 0;
  std::uint64_t mSharedPrefixTokens = 512;
  /** Maximum number of requests that the run starts. */
  std::uint64_t mRequests = 100;
  /** The run starts requests for this long. */
  Duration mStartTime = std::chrono::seconds(30);
  /** Maximum wait for answers after mStartTime. */
  Duration mDrainTime = std::chrono::seconds(30);
  /** Wait between the last answer and reading the runs of the services. */
  Duration mSettleTime = std::chrono::seconds(1);
  /** Requests a second; 0 selects the closed loop. */
  double mRate = 0;
  ArrivalPattern mPattern = ArrivalPattern::Poisson;
  /** Requests that arrive together with ArrivalPattern::Bursty. */
  std::uint64_t mBurst = 10;
  /** Requests in progress in the closed loop. */
  std::uint64_t mConnections = 10;
  std::uint64_t mMaxAttempts = 3;
  Duration mRetryDelay = std::chrono::milliseconds(100);
  Duration mDeadline = std::chrono::seconds(30);
  /** An answer of which no byte arrives for this long is lost. */
  Duration mReadTimeout = std::chrono::seconds(35);
  double mCancelProbability = 0;
  /** Mean time after which a caller cancels. */
  Duration mCancelAfter = std::chrono::milliseconds(200);
  double mSlowProbability = 0;
  std::size_t mSlowBytesPerSecond = 2000;
  /** Probability of a prompt that makes an engine emulator crash. */
  double mCrashProbability = 0;
  Duration mFirstTokenTarget = std::chrono::milliseconds(900);
  Duration mTokenTarget = std::chrono::milliseconds(40);
  std::uint64_t mSeed = 1;
};

} // namespace bulrushfold

#endif
