#ifndef BULRUSHFOLD_PLATFORM_STORECALLS_H
#define BULRUSHFOLD_PLATFORM_STORECALLS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Net/HttpClient.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** Calls to a store over HTTP, and whether it answers them. */
class StoreCalls
{
public:
  using ReplyHook = std::function<void(HttpCallReply)>;

  /** aClient must outlive the calls. */
  explicit StoreCalls(HttpClient& aClient)
    : mClient(aClient)
  {
  }

  /** Sends a call that ends with the object returned. */
  std::unique_ptr<HttpCall> Start(HttpCallRequest aRequest, ReplyHook aHook);
  /** Sends a call that is kept here until it is over, and counts it. */
  void Send(HttpCallRequest aRequest, ReplyHook aHook);
  /** A watch begins. */
  void CountWatch() { ++mStatistics.mWatches; }
  const StoreStatistics& Statistics() const { return mStatistics; }

private:
  HttpClient& mClient;
  SystemClock mClock;
  StoreStatistics mStatistics;
  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> mCalls;
};

/** Status of a store's reply, as ObjectStore describes it. aPlace: what was
 * called, for the message. */
absl::Status StoreReplyStatus(const HttpCallReply& aReply,
                              const std::string& aPlace);

} // namespace bulrushfold

#endif
