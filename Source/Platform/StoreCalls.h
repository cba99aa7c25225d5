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

/** Sends HTTP calls to a store, and counts the calls and their failures. */
class StoreCalls
{
public:
  using ReplyHook = std::function<void(HttpCallReply)>;

  /** aClient must outlive this object and its calls. */
  explicit StoreCalls(HttpClient& aClient)
    : mClient(aClient)
  {
  }

  /** Sends a call; destroying the returned object cancels the call. */
  std::unique_ptr<HttpCall> Start(HttpCallRequest aRequest, ReplyHook aHook);
  /** Sends a call that this object owns until the call ends, and counts it as a
   * read or a write. */
  void Send(HttpCallRequest aRequest, ReplyHook aHook);
  /** Counts the start of a watch. */
  void CountWatch() { ++mStatistics.mWatches; }
  const StoreStatistics& Statistics() const { return mStatistics; }

private:
  HttpClient& mClient;
  SystemClock mClock;
  StoreStatistics mStatistics;
  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> mCalls;
};

/** Status of a store's reply, with the error codes of ObjectStore. aCallee is
 * what was called; the message begins with it. */
absl::Status StoreReplyStatus(const HttpCallReply& aReply,
                              const std::string& aCallee);

} // namespace bulrushfold

#endif
