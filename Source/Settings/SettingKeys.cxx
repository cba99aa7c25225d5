#include "Settings/SettingsReader.h"

#include <cmath>
#include <utility>

#include "Base/EnumNames.h"
#include "Base/Secret.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace bulrushfold {

namespace {

constexpr EnumNames<LogLevel, 4> kLogLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

constexpr std::size_t kSha256HexDigits = 64;
constexpr std::size_t kMinPeerKeyBytes = 16;

using Store = std::function<bool(const std::string&, Settings&)>;

/** Stores a whole number in [aMin, aMax] into the member that aField names. */
template<typename Section, typename Number>
Store
StoreNumber(Section Settings::*aSection,
            Number Section::*aField,
            std::uint64_t aMin,
            std::uint64_t aMax)
{
  return [=](const std::string& aValue, Settings& aSettings) {
    std::uint64_t n = 0;
    if (!absl::SimpleAtoi(aValue, &n) || n < aMin || n > aMax) {
      return false;
    }
    (aSettings.*aSection).*aField = static_cast<Number>(n);
    return true;
  };
}

template<typename Section>
Store
StoreMilliseconds(Section Settings::*aSection, Duration Section::*aField)
{
  constexpr std::uint64_t kMaxMilliseconds = 7ULL * 24 * 3600 * 1000;
  return [=](const std::string& aValue, Settings& aSettings) {
    std::uint64_t n = 0;
    if (!absl::SimpleAtoi(aValue, &n) || n == 0 || n > kMaxMilliseconds) {
      return false;
    }
    (aSettings.*aSection).*aField = std::chrono::milliseconds(n);
    return true;
  };
}

template<typename Section>
Store
StoreText(Section Settings::*aSection, std::string Section::*aField)
{
  return [=](const std::string& aValue, Settings& aSettings) {
    (aSettings.*aSection).*aField = aValue;
    return !aValue.empty();
  };
}

template<typename Section>
Store
StoreAddress(Section Settings::*aSection, SocketAddress Section::*aField)
{
  return [=](const std::string& aValue, Settings& aSettings) {
    return ParseAddress(aValue, (aSettings.*aSection).*aField);
  };
}

Store
StoreTokenDigests(std::vector<std::string> AdminSettings::*aField)
{
  return [=](const std::string& aValue, Settings& aSettings) {
    std::vector<std::string> digests =
      absl::StrSplit(aValue, absl::ByAnyChar(", "), absl::SkipEmpty());
    for (const auto& it : digests) {
      if (it.size() != kSha256HexDigits || !FromHex(it)) {
        return false;
      }
    }
    aSettings.mAdmin.*aField = std::move(digests);
    return true;
  };
}

bool
StorePeerKeys(const std::string& aValue, Settings& aSettings)
{
  std::vector<PeerKey> keys;
  const std::vector<std::string> items =
    absl::StrSplit(aValue, absl::ByAnyChar(", "), absl::SkipEmpty());
  for (const auto& it : items) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(it, absl::MaxSplits(':', 1));
    const auto bytes = FromHex(parts.second);
    if (parts.first.empty() || !bytes || bytes->size() < kMinPeerKeyBytes) {
      return false;
    }
    keys.push_back({ parts.first, *bytes });
  }
  aSettings.mPeers.mKeys = std::move(keys);
  return !aSettings.mPeers.mKeys.empty();
}

bool
StoreLogLevel(const std::string& aValue, Settings& aSettings)
{
  const auto level = FindEnumValue(kLogLevelNames, aValue);
  if (level) {
    aSettings.mDaemon.mLogLevel = *level;
  }
  return level.has_value();
}

bool
StoreOtlpAddress(const std::string& aValue, Settings& aSettings)
{
  if (aValue == "none") {
    aSettings.mTelemetry.mOtlpAddress = {};
    return true;
  }
  return ParseAddress(aValue, aSettings.mTelemetry.mOtlpAddress);
}

bool
StoreRetryBudget(const std::string& aValue, Settings& aSettings)
{
  double share = 0;
  if (!absl::SimpleAtod(aValue, &share) || !std::isfinite(share) || share < 0 ||
      share > 1) {
    return false;
  }
  aSettings.mRouting.mRetryBudget = share;
  return true;
}

constexpr std::uint64_t kMaxCount = 1'000'000'000;

void
AddDaemonKeys(std::vector<SettingKey>& aKeys)
{
  const auto daemon = &Settings::mDaemon;
  aKeys.push_back({ "daemon",
                    "name",
                    "a name",
                    "",
                    "Unique name of this daemon; used in logs and traces.",
                    true,
                    StoreText(daemon, &DaemonSettings::mName) });
  aKeys.push_back({ "daemon",
                    "failure_domain",
                    "a name",
                    "",
                    "Failure domain of this VM.",
                    true,
                    StoreText(daemon, &DaemonSettings::mFailureDomain) });
  aKeys.push_back({ "daemon",
                    "region",
                    "a name",
                    "local",
                    "Region of this VM.",
                    false,
                    StoreText(daemon, &DaemonSettings::mRegion) });
  aKeys.push_back({ "daemon",
                    "caller_address",
                    "IP:PORT",
                    "",
                    "Address on which callers are served.",
                    true,
                    StoreAddress(daemon, &DaemonSettings::mCallerAddress) });
  aKeys.push_back({ "daemon",
                    "admin_address",
                    "IP:PORT",
                    "",
                    "Address of the administration API.",
                    true,
                    StoreAddress(daemon, &DaemonSettings::mAdminAddress) });
  aKeys.push_back({ "daemon",
                    "peer_address",
                    "IP:PORT",
                    "",
                    "Address on which other daemons connect.",
                    true,
                    StoreAddress(daemon, &DaemonSettings::mPeerAddress) });
  aKeys.push_back({ "daemon",
                    "log_level",
                    "debug, info, warning or error",
                    "info",
                    "Least severe events that are logged.",
                    false,
                    StoreLogLevel });
}

void
AddPlatformKeys(std::vector<SettingKey>& aKeys)
{
  const auto platform = &Settings::mPlatform;
  aKeys.push_back({ "platform",
                    "store_address",
                    "IP:PORT",
                    "",
                    "Address of the platform's object API.",
                    true,
                    StoreAddress(platform, &PlatformSettings::mStoreAddress) });
  aKeys.push_back(
    { "platform",
      "call_timeout_ms",
      "milliseconds",
      "1000",
      "Longest wait for one answer of the object API.",
      false,
      StoreMilliseconds(platform, &PlatformSettings::mCallTimeout) });
  aKeys.push_back(
    { "platform",
      "poll_interval_ms",
      "milliseconds",
      "5000",
      "Time between reads of the VM list.",
      false,
      StoreMilliseconds(platform, &PlatformSettings::mPollInterval) });
}

void
AddPeerKeys(std::vector<SettingKey>& aKeys)
{
  const auto peers = &Settings::mPeers;
  aKeys.push_back(
    { "peers",
      "keys",
      "ID:HEX,... with at least 16 bytes a key",
      "",
      "Keys that authenticate messages between daemons. All are accepted; the "
      "first one signs. To rotate: add the new key last everywhere, then move "
      "it first, then remove the old one.",
      true,
      StorePeerKeys });
  aKeys.push_back(
    { "peers",
      "heartbeat_interval_ms",
      "milliseconds",
      "500",
      "Time between heartbeats.",
      false,
      StoreMilliseconds(peers, &PeerSettings::mHeartbeatInterval) });
  aKeys.push_back({ "peers",
                    "suspect_after_ms",
                    "milliseconds",
                    "2000",
                    "Silence after which a daemon counts as failed.",
                    false,
                    StoreMilliseconds(peers, &PeerSettings::mSuspectAfter) });
  aKeys.push_back(
    { "peers",
      "clock_gap_limit_ms",
      "milliseconds",
      "1000",
      "A turn of the loop that is later than this counts as a pause: leases "
      "are dropped and versions compared before new work.",
      false,
      StoreMilliseconds(peers, &PeerSettings::mClockGapLimit) });
  aKeys.push_back(
    { "peers",
      "max_frame_bytes",
      "bytes, 4096 to 67108864",
      "4194304",
      "Largest message between daemons.",
      false,
      StoreNumber(peers, &PeerSettings::mMaxFrameBytes, 4096, 67108864) });
}

void
AddLimitKeys(std::vector<SettingKey>& aKeys)
{
  const auto limits = &Settings::mLimits;
  aKeys.push_back(
    { "limits",
      "max_header_bytes",
      "bytes, 1024 to 1048576",
      "16384",
      "Largest header block of a caller's request.",
      false,
      StoreNumber(limits, &LimitSettings::mMaxHeaderBytes, 1024, 1048576) });
  aKeys.push_back(
    { "limits",
      "max_body_bytes",
      "bytes, 1024 to 1073741824",
      "4194304",
      "Largest body of a caller's request.",
      false,
      StoreNumber(limits, &LimitSettings::mMaxBodyBytes, 1024, 1073741824) });
  aKeys.push_back(
    { "limits",
      "max_streams",
      "a count, 1 to 1000000000",
      "10000",
      "Requests in progress at one time.",
      false,
      StoreNumber(limits, &LimitSettings::mMaxStreams, 1, kMaxCount) });
  aKeys.push_back(
    { "limits",
      "max_stream_buffer_bytes",
      "bytes, 1024 to 1073741824",
      "262144",
      "Bytes of an answer that may wait for a slow caller.",
      false,
      StoreNumber(
        limits, &LimitSettings::mMaxStreamBufferBytes, 1024, 1073741824) });
  aKeys.push_back(
    { "limits",
      "caller_read_timeout_ms",
      "milliseconds",
      "10000",
      "Longest silence while a caller sends its request.",
      false,
      StoreMilliseconds(limits, &LimitSettings::mCallerReadTimeout) });
  aKeys.push_back(
    { "limits",
      "caller_write_timeout_ms",
      "milliseconds",
      "20000",
      "Longest time in which a caller accepts no byte of its answer.",
      false,
      StoreMilliseconds(limits, &LimitSettings::mCallerWriteTimeout) });
  aKeys.push_back(
    { "limits",
      "default_deadline_ms",
      "milliseconds",
      "60000",
      "Deadline of a request that names none.",
      false,
      StoreMilliseconds(limits, &LimitSettings::mDefaultDeadline) });
  aKeys.push_back({ "limits",
                    "max_deadline_ms",
                    "milliseconds",
                    "600000",
                    "Longest deadline that a caller may ask for.",
                    false,
                    StoreMilliseconds(limits, &LimitSettings::mMaxDeadline) });
}

void
AddRoutingKeys(std::vector<SettingKey>& aKeys)
{
  const auto routing = &Settings::mRouting;
  const auto span = [&](const char* aKey,
                        const char* aDefault,
                        const char* aHelp,
                        Duration RoutingSettings::*aField) {
    aKeys.push_back({ "routing",
                      aKey,
                      "milliseconds",
                      aDefault,
                      aHelp,
                      false,
                      StoreMilliseconds(routing, aField) });
  };
  span("connect_timeout_ms",
       "500",
       "Longest wait for a new connection.",
       &RoutingSettings::mConnectTimeout);
  span("stream_silence_ms",
       "2000",
       "Silence of an answer after which its endpoint is probed on a new "
       "connection.",
       &RoutingSettings::mStreamReadTimeout);
  span("prefill_timeout_ms",
       "30000",
       "Longest prefill.",
       &RoutingSettings::mPrefillTimeout);
  span("transfer_timeout_ms",
       "5000",
       "Longest transfer of a KV cache.",
       &RoutingSettings::mTransferTimeout);
  span("service_timeout_ms",
       "30000",
       "Longest call of a plain service.",
       &RoutingSettings::mServiceTimeout);
  span("load_poll_interval_ms",
       "500",
       "Time between load reports read.",
       &RoutingSettings::mLoadPollInterval);
  span("cancel_retry_interval_ms",
       "500",
       "Time after which an unconfirmed cancel is repeated.",
       &RoutingSettings::mCancelRetryInterval);
  aKeys.push_back({ "routing",
                    "retry_budget",
                    "a share, 0 to 1",
                    "0.1",
                    "Retries allowed, as a share of requests.",
                    false,
                    StoreRetryBudget });
  aKeys.push_back(
    { "routing",
      "crash_limit",
      "a count, 1 to 100",
      "3",
      "Crashes after which a request is refused.",
      false,
      StoreNumber(routing, &RoutingSettings::mCrashLimit, 1, 100) });
  span("drain_grace_ms",
       "600000",
       "Longest time that requests in progress may take to finish when the "
       "daemon stops.",
       &RoutingSettings::mDrainGrace);
}

void
AddBookingKeys(std::vector<SettingKey>& aKeys)
{
  const auto bookings = &Settings::mBookings;
  aKeys.push_back(
    { "bookings",
      "shards",
      "a count, 1 to 4096",
      "16",
      "Store objects that hold the records; must be equal in all daemons.",
      false,
      StoreNumber(bookings, &BookingSettings::mShards, 1, 4096) });
  aKeys.push_back(
    { "bookings",
      "commit_interval_ms",
      "milliseconds",
      "50",
      "Least time between two writes of one shard.",
      false,
      StoreMilliseconds(bookings, &BookingSettings::mCommitInterval) });
  aKeys.push_back(
    { "bookings",
      "retention_ms",
      "milliseconds",
      "86400000",
      "Time for which a record is kept.",
      false,
      StoreMilliseconds(bookings, &BookingSettings::mRetention) });
  aKeys.push_back(
    { "bookings",
      "max_pending",
      "a count, 1 to 1000000000",
      "1000",
      "Calls of one shard that may wait for the store.",
      false,
      StoreNumber(bookings, &BookingSettings::mMaxPending, 1, kMaxCount) });
  aKeys.push_back(
    { "bookings",
      "max_answer_bytes",
      "bytes, 256 to 524288",
      "16384",
      "Largest answer that is recorded whole.",
      false,
      StoreNumber(bookings, &BookingSettings::mMaxAnswerBytes, 256, 524288) });
}

void
AddTelemetryKeys(std::vector<SettingKey>& aKeys)
{
  const auto telemetry = &Settings::mTelemetry;
  aKeys.push_back({ "telemetry",
                    "otlp_address",
                    "IP:PORT or none",
                    "none",
                    "Collector that receives spans as OTLP JSON over HTTP.",
                    false,
                    StoreOtlpAddress });
  aKeys.push_back(
    { "telemetry",
      "outcome_retention_ms",
      "milliseconds",
      "3600000",
      "Time for which the outcome of a request is kept.",
      false,
      StoreMilliseconds(telemetry, &TelemetrySettings::mOutcomeRetention) });
  aKeys.push_back(
    { "telemetry",
      "max_outcomes",
      "a count, 1 to 1000000000",
      "100000",
      "Outcome records that are kept at one time.",
      false,
      StoreNumber(telemetry, &TelemetrySettings::mMaxOutcomes, 1, kMaxCount) });
  aKeys.push_back(
    { "telemetry",
      "max_spans",
      "a count, 1 to 1000000000",
      "50000",
      "Spans that are kept for explanations.",
      false,
      StoreNumber(telemetry, &TelemetrySettings::mMaxSpans, 1, kMaxCount) });
}

void
AddAdminKeys(std::vector<SettingKey>& aKeys)
{
  aKeys.push_back({ "admin",
                    "operator_token_sha256",
                    "SHA-256 digests in hexadecimal, separated by commas",
                    "",
                    "Digests of the tokens that may change state.",
                    true,
                    StoreTokenDigests(&AdminSettings::mOperatorTokens) });
  aKeys.push_back({ "admin",
                    "viewer_token_sha256",
                    "SHA-256 digests in hexadecimal, separated by commas",
                    "",
                    "Digests of the tokens that may only read.",
                    false,
                    StoreTokenDigests(&AdminSettings::mViewerTokens) });
}

std::vector<SettingKey>
MakeSettingKeys()
{
  std::vector<SettingKey> keys;
  AddDaemonKeys(keys);
  AddPlatformKeys(keys);
  AddPeerKeys(keys);
  AddLimitKeys(keys);
  AddRoutingKeys(keys);
  AddBookingKeys(keys);
  AddTelemetryKeys(keys);
  AddAdminKeys(keys);
  return keys;
}

} // namespace

const std::vector<SettingKey>&
SettingKeys()
{
  static const std::vector<SettingKey> sKeys = MakeSettingKeys();
  return sKeys;
}

} // namespace bulrushfold
