#ifndef BULRUSHFOLD_TESTS_ADAPTER_STANDINSTORE_H
#define BULRUSHFOLD_TESTS_ADAPTER_STANDINSTORE_H

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "Emulator/StoreContent.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"

namespace bulrushfold {

/** What goes wrong at a stand-in of the platform's store. */
enum class StoreFault
{
  None,
  /** It answers 503. */
  Busy,
  /** It answers 429. */
  Limited,
  /** It closes connections. */
  Reset,
  /** It answers nothing. */
  Silent,
  /** It carries writes out and does not answer them. */
  LosesAnswers,
};

/** Stand-in of the platform's metadata store, by its published protocol. */
class StandInStore
{
public:
  explicit StandInStore(EventLoop& aLoop);

  const SocketAddress& Address() const { return mAddress; }
  void SetFault(StoreFault aFault);
  /** Watches from earlier revisions get 410 from now on. */
  void ForgetHistory();
  /** Cuts all waiting watches. */
  void CutWatches();

  /** Writes as the platform does, without conditions. */
  void Write(const std::string& aKey, const nlohmann::json& aSpec);
  void Remove(const std::string& aKey);
  /** "spec" of the object; null when there is none. */
  nlohmann::json Spec(const std::string& aKey) const;
  /** Calls received, by method. */
  std::size_t Calls(const std::string& aMethod) const;
  std::size_t WaitingWatches() const { return mWatches.size(); }

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
  bool Fails(const Exchange& aExchange);
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
  std::uint64_t mOldest = 0;
  StoreFault mFault = StoreFault::None;
  std::map<std::string, std::size_t> mCalls;
  std::list<Watch> mWatches;
  std::list<Exchange> mUnanswered;
  HttpServer mServer;
};

} // namespace bulrushfold

#endif
