#ifndef BULRUSHFOLD_TESTS_ADAPTER_FURTHERROUTER_H
#define BULRUSHFOLD_TESTS_ADAPTER_FURTHERROUTER_H

#include <memory>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

/** A router that shares the store and the endpoints of a fixture. */
class FurtherRouter
{
public:
  FurtherRouter(PlatformFixture& aPlatform,
                const std::string& aName,
                RegistryCodec aCodec = { &platform::ReadConfig,
                                         &platform::ReadEndpoint })
    : mSettings(aPlatform.mSettings)
    , mClient(aPlatform.mLoop, PlatformFixture::kMaxReplyBytes)
    , mStore(aPlatform.mLoop, mClient, aPlatform.mFakeStore.Address())
  {
    mSettings.mName = aName;
    mSettings.mCallerAddress = FreeAddress();
    mSettings.mReadinessAddress = FreeAddress();
    mSettings.mPeerAddress = FreeAddress();
    mRouter = std::make_unique<Router>(aPlatform.mLoop,
                                       mSettings,
                                       mClient,
                                       mStore,
                                       aPlatform.mProtocol,
                                       std::move(aCodec));
    REQUIRE(mRouter->Start().ok());
  }
  const SocketAddress& CallerAddress() const
  {
    return mSettings.mCallerAddress;
  }
  const SocketAddress& ReadinessAddress() const
  {
    return mSettings.mReadinessAddress;
  }

private:
  RouterSettings mSettings;
  HttpClient mClient;
  platform::PlatformStore mStore;
  std::unique_ptr<Router> mRouter;
};

} // namespace bulrushfold

#endif
