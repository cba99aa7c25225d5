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

/** Stage at which a prompt that contains kCrashMarker ends the process. */
enum class EngineCrashPoint
{
  Never,
  Prefill,
  Decode,
};

/** Text in a prompt that makes an emulated engine crash. */
constexpr const char* kCrashMarker = "crash-engine";

/** Capacity of one piece of engine memory, in tokens. */
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
  /** Time between two tokens of a stream in a batch of one. */
  Duration mTokenInterval = std::chrono::milliseconds(20);
  /** Relative growth of the token interval with each further stream. */
  double mBatchGrowth = 0.02;
  double mLinkBytesPerSecond = 50e6;
  std::uint64_t mKvBytesPerToken = 64;
  /** An unused prefill result or import is evicted after this time. */
  Duration mEvictionTime = std::chrono::milliseconds(800);
  /** A stream without a connection can be resumed for this long. */
  Duration mResumeTimeout = std::chrono::seconds(10);
  /** An import that receives no byte for this long fails as stalled. */
  Duration mStallTimeout = std::chrono::seconds(2);
  std::uint64_t mPrefixCacheTokens = 200'000;
  bool mChecksFencing = false;
  Duration mLoadInterval = std::chrono::milliseconds(200);
  Duration mEventLag = std::chrono::milliseconds(200);
  /** Probability that a cache event is never reported. */
  double mEventLossProbability = 0.02;
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
