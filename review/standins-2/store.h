#ifndef REVIEW_STANDINS_2_STORE_H
#define REVIEW_STANDINS_2_STORE_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "standins-2/http.h"

namespace standins {

/** The platform's metadata store, as PROTOCOL.md and the news page tell it. */
class Store
{
public:
  /** What the store holds at one moment. */
  struct Content
  {
    std::uint64_t mRevision = 1;
    struct Object
    {
      std::uint64_t mRevision = 0;
      std::uint64_t mCreated = 0;
      std::string mSpec;
    };
    std::map<std::string, Object> mObjects;
    struct Event
    {
      std::uint64_t mRevision = 0;
      std::string mKey;
      bool mIsDeleted = false;
      std::string mSpec;
    };
    std::deque<Event> mHistory;
  };

  explicit Store(const std::string& aHost);

  std::string Address() const { return mServer.Address(); }
  /** A write by the operator or a runner; one that changes nothing has no
   * effect. Returns the revision of the object. */
  std::uint64_t Write(const std::string& aKey, const nlohmann::json& aSpec);
  void Remove(const std::string& aKey);
  /** A copy of all that it holds now. */
  Content Copy();
  /** The store is away: no listener, and all connections are reset. */
  void GoAway();
  /** The store comes back with aCopy; its era rises by one. */
  void ComeBackFrom(const Content& aCopy);
  /** The store comes back with what it had. */
  void ComeBack();
  bool IsAway();
  std::uint64_t Revision();
  /** Called with each acknowledged write or deletion of the system. */
  std::function<void(const std::string&)> mOnSystemWrite;

private:
  void Handle(const Request& aRequest, Answer& aAnswer);
  void List(const Request& aRequest, const std::string& aKind, Answer& aAnswer);
  void Watch(const Request& aRequest,
             const std::string& aKind,
             Answer& aAnswer);
  void Change(const Request& aRequest,
              const std::string& aKey,
              bool aIsCreation,
              Answer& aAnswer);
  /** With mMutex held. */
  std::uint64_t Put(const std::string& aKey, const std::string& aSpec);
  void Delete(const std::string& aKey);
  nlohmann::json ObjectJson(const std::string& aKey) const;
  void Send(Answer& aAnswer, int aStatus, const nlohmann::json& aBody);

  std::mutex mMutex;
  std::condition_variable mChanged;
  Content mContent;
  std::uint64_t mEra = 1;
  bool mIsAway = false;
  Server mServer;
};

} // namespace standins

#endif
