#ifndef BULRUSHFOLD_TESTS_ADAPTER_FAKEPLATFORMSTORE_H
#define BULRUSHFOLD_TESTS_ADAPTER_FAKEPLATFORMSTORE_H

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "Emulator/StoreContent.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"

namespace bulrushfold {

/** Fault of a fake store. */
enum class StoreFault
{
  None,
  /** The store answers 503. */
  Unavailable,
  /** The store answers 429. */
  RateLimited,
  /** The store closes the connection of each call. */
  Reset,
  /** The store answers no call. */
  NoAnswer,
  /** The store applies writes and does not answer them. */
  UnansweredWrites,
};

/** Fake of the platform's metadata store that implements its published
 * protocol. */
class FakePlatformStore
{
public:
  explicit FakePlatformStore(EventLoop& aLoop);

  const SocketAddress& Address() const { return mAddress; }
  void SetFault(StoreFault aFault);
  /** Discards the changes so far: watches from earlier revisions get 410. */
  void DiscardHistory();
  /** Closes the connections of all pending watches. */
  void CloseWatches();
  /** Sets the number of objects on one page of a listing; 3 at first. */
  void SetPageSize(std::size_t aSize) { mPageSize = aSize; }
  /** A copy of all objects and of the history, for ReturnFrom. */
  StoreContent Copy() const { return mContent; }
  /** The store comes back from aCopy: all later changes are lost, their
   * revisions are assigned again, and the era rises by one. Pending watches get
   * 410. */
  void ReturnFrom(const StoreContent& aCopy);
  /** Sends aText as the era from now on; nullopt: no era. */
  void SetEra(std::optional<std::string> aText) { mEra = std::move(aText); }

  /** Time for which the last watch that was not answered at once may wait. */
  std::optional<Duration> mLastWatchWait;

  /** Writes an object unconditionally, as the platform itself does. */
  void Write(const std::string& aKey, const nlohmann::json& aSpec);
  /** Writes an object whose "spec" is sent as the text aSpec, which need not be
   * valid JSON. */
  void WriteText(const std::string& aKey, const std::string& aSpec);
  void Remove(const std::string& aKey);
  /** "spec" of the object; null when there is none. */
  nlohmann::json Spec(const std::string& aKey) const;
  /** Number of calls received with aMethod. */
  std::size_t CountCalls(const std::string& aMethod) const;
  /** Numbers of calls by method and kind; those of watches by "watch" and kind.
   */
  const std::map<std::string, std::size_t>& CallsByKind() const
  {
    return mCallsByKind;
  }
  std::size_t PendingWatches() const { return mWatches.size(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Watch
  {
    Exchange mExchange;
    std::string mPrefix;
    std::uint64_t mFrom = 0;
    EventHandle mTimer;
  };

  void Handle(const Exchange& aExchange);
  bool ApplyFault(const Exchange& aExchange);
  void HandleKind(const Exchange& aExchange, const std::string& aKind);
  void HandleObject(const Exchange& aExchange, const std::string& aKey);
  void List(const Exchange& aExchange, const std::string& aPrefix);
  void BeginWatch(const Exchange& aExchange, const std::string& aPrefix);
  bool AnswerWatch(const Watch& aWatch, bool aIsTimeout);
  void NotifyWatches();
  void Put(const Exchange& aExchange,
           const std::string& aKey,
           std::uint64_t aExpected);
  nlohmann::json ObjectJson(const std::string& aKey,
                            std::uint64_t aRevision,
                            const std::string& aBody) const;
  void Reply(const Exchange& aExchange,
             int aStatus,
             const nlohmann::json& aBody);

  EventLoop& mLoop;
  SocketAddress mAddress;
  StoreContent mContent{ 1000 };
  /** Texts of WriteText by the JSON string that stands for each in mContent. */
  std::map<std::string, std::string> mTexts;
  std::size_t mPageSize = 3;
  std::uint64_t mOldestRevision = 0;
  std::optional<std::string> mEra = "1";
  StoreFault mFault = StoreFault::None;
  std::map<std::string, std::size_t> mCalls;
  std::map<std::string, std::size_t> mCallsByKind;
  std::list<Watch> mWatches;
  std::list<Exchange> mUnanswered;
  HttpServer mServer;
};

} // namespace bulrushfold

#endif
