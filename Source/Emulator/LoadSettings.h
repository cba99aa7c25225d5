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

/** Kind named aName; empty when there is none. */
std::optional<LoadKind> ParseLoadKind(std::string_view aName);

/** How requests of an open loop arrive. */
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
  /** Daemons, used in turn. */
  std::vector<SocketAddress> mTargets;
  /** Plain services whose runs are read at the end. */
  std::vector<SocketAddress> mServices;
  std::string mToken;
  std::vector<LoadShare> mMix{ {} };
  std::vector<std::string> mModels;
  /** Service and path, such as booking/book. */
  std::string mBookingPath = "booking/book";
  std::string mLookupPath = "booking/status";
  SizeRange mPromptTokens{ 50, 500 };
  SizeRange mMaxTokens{ 10, 50 };
  /** Number of different prompt beginnings; 0: none are shared. */
  std::uint64_t mSharedPrefixes = 0;
  std::uint64_t mSharedPrefixTokens = 512;
  /** Requests that the run starts at most. */
  std::uint64_t mRequests = 100;
  /** Time in which the run starts requests. */
  Duration mStartTime = std::chrono::seconds(30);
  /** Longest wait for answers after that. */
  Duration mDrainTime = std::chrono::seconds(30);
  /** Wait before the runs of services are read. */
  Duration mSettleTime = std::chrono::seconds(1);
  /** Requests a second; 0 selects the closed loop. */
  double mRate = 0;
  ArrivalPattern mPattern = ArrivalPattern::Poisson;
  /** Requests that arrive together when the pattern is bursty. */
  std::uint64_t mBurst = 10;
  /** Requests in progress in the closed loop. */
  std::uint64_t mConnections = 10;
  std::uint64_t mMaxAttempts = 3;
  Duration mRetryDelay = std::chrono::milliseconds(100);
  Duration mDeadline = std::chrono::seconds(30);
  /** Silence after which an answer counts as lost. */
  Duration mReadTimeout = std::chrono::seconds(35);
  double mCancelProbability = 0;
  /** Mean time after which a caller cancels. */
  Duration mCancelAfter = std::chrono::milliseconds(200);
  double mSlowProbability = 0;
  std::size_t mSlowBytesPerSecond = 2000;
  /** Probability of a prompt that makes engines crash. */
  double mCrashProbability = 0;
  Duration mFirstTokenTarget = std::chrono::milliseconds(900);
  Duration mTokenTarget = std::chrono::milliseconds(40);
  std::uint64_t mSeed = 1;
};

} // namespace bulrushfold

#endif
