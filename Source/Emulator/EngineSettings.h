#ifndef BULRUSHFOLD_EMULATOR_ENGINESETTINGS_H
#define BULRUSHFOLD_EMULATOR_ENGINESETTINGS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Where a prompt that contains kCrashMark ends the process. */
enum class EngineCrashPoint
{
  Never,
  Prefill,
  Decode,
};

/** Text in a prompt that makes an engine crash. */
constexpr const char* kCrashMark = "crash-engine";

/** Tokens that one piece of engine memory holds. */
constexpr std::uint64_t kTokensPerPiece = 2000;

/** Settings of the engine emulator. */
struct EngineEmulatorSettings
{
  SocketAddress mAddress;
  EngineRole mRole = EngineRole::Both;
  std::vector<std::string> mModels;
  std::uint64_t mSlots = 20;
  std::uint64_t mPieces = 400;
  double mPrefillTokensPerSecond = 10'000;
  /** Time between two tokens of a stream that runs alone. */
  Duration mTokenInterval = std::chrono::milliseconds(20);
  /** Growth of the token interval with each further stream, as a share. */
  double mBatchGrowth = 0.02;
  double mLinkBytesPerSecond = 50e6;
  std::uint64_t mKvBytesPerToken = 64;
  /** Time after which a prefill result that nobody took is evicted. */
  Duration mEvictionTime = std::chrono::milliseconds(800);
  /** Time for which a stream without a connection is kept. */
  Duration mResumeTime = std::chrono::seconds(10);
  /** Silence after which an import counts as stalled. */
  Duration mStallTime = std::chrono::seconds(2);
  std::uint64_t mPrefixCacheTokens = 200'000;
  bool mChecksFencing = false;
  Duration mLoadInterval = std::chrono::milliseconds(200);
  Duration mEventLag = std::chrono::milliseconds(200);
  /** Probability that a cache event is never reported. */
  double mEventGap = 0.02;
  Duration mRoleChangeTime = std::chrono::seconds(2);
  double mWeightBytes = 1e9;
  double mWeightBytesPerSecond = 500e6;
  EngineCrashPoint mCrashPoint = EngineCrashPoint::Decode;
  std::uint64_t mSeed = 1;
};

/** Counters that GET /stats reports. */
using EngineCounts = std::map<std::string, std::uint64_t>;

} // namespace bulrushfold

#endif
