#ifndef BULRUSHFOLD_PLATFORM_HTTPOBJECTSTORE_H
#define BULRUSHFOLD_PLATFORM_HTTPOBJECTSTORE_H

#include <memory>
#include <string>

#include "Net/HttpClient.h"
#include "Platform/ObjectStore.h"
#include "Platform/StoreCalls.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** The object API over HTTP and JSON. */
class HttpObjectStore
  : public ObjectStore
  , public VmList
{
public:
  HttpObjectStore(HttpClient& aClient, const PlatformSettings& aSettings);
  ~HttpObjectStore() override;

  void Get(const std::string& aKey, GetHook aHook) override;
  void Put(const std::string& aKey,
           const std::string& aBody,
           std::optional<std::uint64_t> aExpected,
           PutHook aHook) override;
  void Delete(const std::string& aKey,
              std::optional<std::uint64_t> aExpected,
              PutHook aHook) override;
  void List(const std::string& aPrefix, ListHook aHook) override;
  std::unique_ptr<StoreWatch> Watch(const std::string& aPrefix,
                                    std::uint64_t aRevision,
                                    StoreWatchHooks aHooks) override;
  void ListVms(VmHook aHook) override;
  const StoreStatistics& Statistics() const override
  {
    return mCalls.Statistics();
  }

private:
  void Send(HttpMethod aMethod,
            const std::string& aTarget,
            HttpHeaders aHeaders,
            const std::string& aBody,
            StoreCalls::ReplyHook aHook);
  HttpCallRequest MakeRequest(HttpMethod aMethod, const std::string& aTarget);

  HttpClient& mClient;
  PlatformSettings mSettings;
  StoreCalls mCalls;
};

} // namespace bulrushfold

#endif
