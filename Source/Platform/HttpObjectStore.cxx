#include "Platform/HttpObjectStore.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

// A watch sends an empty line at least this often; silence for three times as
// long means that the connection is dead.
constexpr Duration kWatchKeepAlive = std::chrono::seconds(2);

absl::Status
StatusOf(const HttpCallReply& aReply, const std::string& aTarget)
{
  return StoreReplyStatus(aReply, "object API " + aTarget);
}

absl::StatusOr<std::uint64_t>
VersionOf(const HttpCallReply& aReply)
{
  std::uint64_t version = 0;
  const auto tag = aReply.mHeaders.Find("ETag");
  if (!tag || !absl::SimpleAtoi(*tag, &version)) {
    return absl::UnknownError("object API: no version in the answer");
  }
  return version;
}

StoredObject
ParseObject(const Json& aJson)
{
  return { aJson.at("key").get<std::string>(),
           aJson.at("version").get<std::uint64_t>(),
           aJson.at("body").get<std::string>(),
           aJson.value("deleted", false) };
}

absl::StatusOr<StoreListing>
ParseListing(const std::string& aBody)
{
  StoreListing listing;
  try {
    const Json json = Json::parse(aBody);
    listing.mRevision = json.at("revision").get<std::uint64_t>();
    for (const auto& it : json.at("objects")) {
      listing.mObjects.push_back(ParseObject(it));
    }
  } catch (const Json::exception& e) {
    return absl::UnknownError(absl::StrCat("object API: listing: ", e.what()));
  }
  return listing;
}

absl::StatusOr<std::vector<VmEntry>>
ParseVms(const std::string& aBody)
{
  std::vector<VmEntry> vms;
  try {
    const Json json = Json::parse(aBody);
    for (const auto& it : json.at("vms")) {
      VmEntry entry;
      entry.mName = it.at("name").get<std::string>();
      entry.mFailureDomain = it.at("failure_domain").get<std::string>();
      const auto state = ParseVmState(it.at("state").get<std::string>());
      if (!state || !ParseAddress(it.at("peer_address").get<std::string>(),
                                  entry.mPeerAddress)) {
        return absl::UnknownError("object API: VM list: invalid entry");
      }
      entry.mState = *state;
      vms.push_back(std::move(entry));
    }
  } catch (const Json::exception& e) {
    return absl::UnknownError(absl::StrCat("object API: VM list: ", e.what()));
  }
  return vms;
}

/** A watch over one streamed HTTP reply of JSON lines. */
class HttpStoreWatch : public StoreWatch
{
public:
  HttpStoreWatch(std::uint64_t aRevision, StoreWatchHooks aHooks)
    : mRevision(aRevision)
    , mHooks(std::move(aHooks))
  {
  }

  void Feed(std::string_view aData)
  {
    mBuffer.append(aData);
    std::size_t end = 0;
    while ((end = mBuffer.find('\n')) != std::string::npos) {
      const std::string line = mBuffer.substr(0, end);
      mBuffer.erase(0, end + 1);
      if (!line.empty()) {
        TakeLine(line);
      }
    }
  }

  void End(const absl::Status& aStatus)
  {
    mHooks.mOnEnd(aStatus.ok() ? absl::UnavailableError("the watch ended")
                               : aStatus,
                  mRevision);
  }

  std::unique_ptr<HttpCall> mCall;

private:
  void TakeLine(const std::string& aLine)
  {
    const Json json = Json::parse(aLine, nullptr, false);
    if (json.is_discarded() || !json.contains("revision") ||
        !json.contains("key") || !json.contains("version") ||
        !json.contains("body")) {
      return;
    }
    mRevision = json["revision"].get<std::uint64_t>();
    mHooks.mOnChange(ParseObject(json));
  }

  std::uint64_t mRevision;
  StoreWatchHooks mHooks;
  std::string mBuffer;
};

} // namespace

HttpObjectStore::HttpObjectStore(HttpClient& aClient,
                                 const PlatformSettings& aSettings)
  : mClient(aClient)
  , mSettings(aSettings)
  , mCalls(aClient)
{
}

HttpObjectStore::~HttpObjectStore() = default;

HttpCallRequest
HttpObjectStore::MakeRequest(HttpMethod aMethod, const std::string& aTarget)
{
  HttpCallRequest request;
  request.mAddress = mSettings.mStoreAddress;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mConnectTimeout = mSettings.mCallTimeout;
  request.mReadTimeout = mSettings.mCallTimeout;
  return request;
}

void
HttpObjectStore::Send(HttpMethod aMethod,
                      const std::string& aTarget,
                      HttpHeaders aHeaders,
                      const std::string& aBody,
                      StoreCalls::ReplyHook aHook)
{
  HttpCallRequest request = MakeRequest(aMethod, aTarget);
  request.mHeaders = std::move(aHeaders);
  request.mBody = aBody;
  mCalls.Send(std::move(request), std::move(aHook));
}

void
HttpObjectStore::Get(const std::string& aKey, GetHook aHook)
{
  Send(HttpMethod::Get,
       absl::StrCat("/objects/", aKey),
       {},
       "",
       [aKey, hook = std::move(aHook)](HttpCallReply aReply) {
         if (const auto status = StatusOf(aReply, aKey); !status.ok()) {
           hook(status);
           return;
         }
         const auto version = VersionOf(aReply);
         if (!version.ok()) {
           hook(version.status());
           return;
         }
         hook(StoredObject{ aKey, *version, std::move(aReply.mBody) });
       });
}

void
HttpObjectStore::Put(const std::string& aKey,
                     const std::string& aBody,
                     std::optional<std::uint64_t> aExpected,
                     PutHook aHook)
{
  HttpHeaders headers;
  if (aExpected) {
    headers.Add("If-Match", absl::StrCat(*aExpected));
  } else {
    headers.Add("If-None-Match", "*");
  }
  Send(HttpMethod::Put,
       absl::StrCat("/objects/", aKey),
       std::move(headers),
       aBody,
       [aKey, hook = std::move(aHook)](const HttpCallReply& aReply) {
         const auto status = StatusOf(aReply, aKey);
         hook(status.ok() ? VersionOf(aReply) : status);
       });
}

void
HttpObjectStore::Delete(const std::string& aKey,
                        std::optional<std::uint64_t> aExpected,
                        PutHook aHook)
{
  HttpHeaders headers;
  if (aExpected) {
    headers.Add("If-Match", absl::StrCat(*aExpected));
  }
  Send(HttpMethod::Delete,
       absl::StrCat("/objects/", aKey),
       std::move(headers),
       "",
       [aKey, hook = std::move(aHook)](const HttpCallReply& aReply) {
         const auto status = StatusOf(aReply, aKey);
         hook(status.ok() ? absl::StatusOr<std::uint64_t>(0) : status);
       });
}

void
HttpObjectStore::List(const std::string& aPrefix, ListHook aHook)
{
  Send(HttpMethod::Get,
       absl::StrCat("/objects?prefix=", aPrefix),
       {},
       "",
       [aPrefix, hook = std::move(aHook)](const HttpCallReply& aReply) {
         const auto status = StatusOf(aReply, aPrefix);
         hook(status.ok() ? ParseListing(aReply.mBody) : status);
       });
}

std::unique_ptr<StoreWatch>
HttpObjectStore::Watch(const std::string& aPrefix,
                       std::uint64_t aRevision,
                       StoreWatchHooks aHooks)
{
  mCalls.CountWatch();
  auto watch = std::make_unique<HttpStoreWatch>(aRevision, std::move(aHooks));
  HttpCallRequest request =
    MakeRequest(HttpMethod::Get,
                absl::StrCat("/watch?prefix=", aPrefix, "&from=", aRevision));
  request.mMaxIdleTime = Duration::zero();
  request.mReadTimeout = 3 * kWatchKeepAlive;
  HttpCallHooks hooks;
  hooks.mOnChunk = [raw = watch.get()](std::string_view aData) {
    raw->Feed(aData);
  };
  hooks.mOnDone = [raw = watch.get(), aPrefix](const HttpCallReply& aReply) {
    raw->End(StatusOf(aReply, aPrefix));
  };
  watch->mCall = mClient.Start(std::move(request), std::move(hooks));
  return watch;
}

void
HttpObjectStore::ListVms(VmHook aHook)
{
  Send(HttpMethod::Get,
       "/vms",
       {},
       "",
       [hook = std::move(aHook)](const HttpCallReply& aReply) {
         const auto status = StatusOf(aReply, "/vms");
         hook(status.ok() ? ParseVms(aReply.mBody) : status);
       });
}

} // namespace bulrushfold
