#ifndef BULRUSHFOLD_SETTINGS_SETTINGS_H
#define BULRUSHFOLD_SETTINGS_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Log.h"

namespace bulrushfold {

/** IP number and port. */
struct SocketAddress
{
  std::string mHost;
  std::uint16_t mPort = 0;

  bool operator==(const SocketAddress& aOther) const
  {
    return mHost == aOther.mHost && mPort == aOther.mPort;
  }
  bool operator<(const SocketAddress& aOther) const
  {
    return mHost != aOther.mHost ? mHost < aOther.mHost : mPort < aOther.mPort;
  }
};

/** "HOST:PORT". */
std::string FormatAddress(const SocketAddress& aAddress);

/** Parses "HOST:PORT"; false when aText is not an address. */
bool ParseAddress(const std::string& aText, SocketAddress& aAddress);

/** Section [daemon]: this process and its place. */
struct DaemonSettings
{
  std::string mName;
  std::string mFailureDomain;
  std::string mRegion;
  SocketAddress mCallerAddress;
  SocketAddress mAdminAddress;
  SocketAddress mPeerAddress;
  LogLevel mLogLevel = LogLevel::Info;
};

/** Section [platform]: the object API and the VM list. */
struct PlatformSettings
{
  SocketAddress mStoreAddress;
  Duration mCallTimeout{};
  Duration mPollInterval{};
};

/** Key that authenticates messages between daemons. */
struct PeerKey
{
  std::string mId;
  /** Raw key bytes; the file holds them in hexadecimal. */
  std::string mBytes;
};

/** Section [peers]: messages between daemons. */
struct PeerSettings
{
  /** Accepted keys; the first one signs. */
  std::vector<PeerKey> mKeys;
  Duration mHeartbeatInterval{};
  Duration mSuspectAfter{};
  Duration mClockGapLimit{};
  std::size_t mMaxFrameBytes = 0;
};

/** Section [limits]: bounds on what callers may send and hold. */
struct LimitSettings
{
  std::size_t mMaxHeaderBytes = 0;
  std::size_t mMaxBodyBytes = 0;
  std::size_t mMaxStreams = 0;
  std::size_t mMaxStreamBufferBytes = 0;
  Duration mCallerReadTimeout{};
  Duration mCallerWriteTimeout{};
  Duration mDefaultDeadline{};
  Duration mMaxDeadline{};
};

/** Section [routing]: silence bounds and retries towards endpoints. */
struct RoutingSettings
{
  Duration mConnectTimeout{};
  Duration mStreamReadTimeout{};
  Duration mPrefillTimeout{};
  Duration mTransferTimeout{};
  Duration mServiceTimeout{};
  Duration mLoadPollInterval{};
  Duration mCancelRetryInterval{};
  double mRetryBudget = 0;
  std::uint64_t mCrashLimit = 0;
  Duration mDrainGrace{};
};

/** Section [bookings]: records of non-idempotent calls. */
struct BookingSettings
{
  std::uint64_t mShards = 0;
  Duration mCommitInterval{};
  Duration mRetention{};
  std::size_t mMaxPending = 0;
  std::size_t mMaxAnswerBytes = 0;
};

/** Section [telemetry]: traces, outcomes and metrics. */
struct TelemetrySettings
{
  /** Empty host: spans are not exported. */
  SocketAddress mOtlpAddress;
  Duration mOutcomeRetention{};
  std::size_t mMaxOutcomes = 0;
  std::size_t mMaxSpans = 0;
};

/** Section [admin]: tokens of the administration API, as SHA-256 digests. */
struct AdminSettings
{
  std::vector<std::string> mOperatorTokens;
  std::vector<std::string> mViewerTokens;
};

/** All settings of a daemon. */
struct Settings
{
  DaemonSettings mDaemon;
  PlatformSettings mPlatform;
  PeerSettings mPeers;
  LimitSettings mLimits;
  RoutingSettings mRouting;
  BookingSettings mBookings;
  TelemetrySettings mTelemetry;
  AdminSettings mAdmin;
};

} // namespace bulrushfold

#endif
