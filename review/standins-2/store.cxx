#include "standins-2/store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace standins {

namespace {
using Json = nlohmann::json;
const std::string kPrefix = "/api/objects/";
constexpr std::size_t kPageSize = 50;
constexpr double kAnswerMs = 4;
} // namespace

Store::Store(const std::string& aHost)
  : mServer(aHost, [this](const Request& aRequest, Answer& aAnswer) {
    Handle(aRequest, aAnswer);
  })
{
}

std::uint64_t
Store::Put(const std::string& aKey, const std::string& aSpec)
{
  auto& object = mContent.mObjects[aKey];
  if (object.mRevision != 0 && object.mSpec == aSpec) {
    return object.mRevision;
  }
  object.mRevision = ++mContent.mRevision;
  object.mCreated = object.mCreated == 0 ? object.mRevision : object.mCreated;
  object.mSpec = aSpec;
  mContent.mHistory.push_back({ object.mRevision, aKey, false, aSpec });
  mChanged.notify_all();
  return object.mRevision;
}

void
Store::Delete(const std::string& aKey)
{
  if (mContent.mObjects.erase(aKey) > 0) {
    mContent.mHistory.push_back({ ++mContent.mRevision, aKey, true, "null" });
    mChanged.notify_all();
  }
}

std::uint64_t
Store::Write(const std::string& aKey, const Json& aSpec)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return Put(aKey, aSpec.dump());
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Delete(aKey);
}

Store::Content
Store::Copy()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mContent;
}

std::uint64_t
Store::Revision()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mContent.mRevision;
}

bool
Store::IsAway()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mIsAway;
}

void
Store::GoAway()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsAway = true;
    mChanged.notify_all();
  }
  mServer.Stop();
}

void
Store::ComeBackFrom(const Content& aCopy)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mContent = aCopy;
    ++mEra;
  }
  ComeBack();
}

void
Store::ComeBack()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsAway = false;
  }
  mServer.Start();
}

Json
Store::ObjectJson(const std::string& aKey) const
{
  const auto& object = mContent.mObjects.at(aKey);
  return { { "metadata",
             { { "name", aKey.substr(aKey.find('/') + 1) },
               { "revision", object.mRevision },
               { "create_revision", object.mCreated },
               { "finalizers", Json::array() },
               { "deleting", false } } },
           { "spec", Json::parse(object.mSpec) },
           { "status", nullptr } };
}

void
Store::Send(Answer& aAnswer, int aStatus, const Json& aBody)
{
  std::string era;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    era = std::to_string(mEra);
  }
  aAnswer.Reply(
    aStatus,
    { { "Content-Type", "application/json" }, { "Store-Era", era } },
    aBody.is_null() ? "" : aBody.dump());
}

void
Store::Handle(const Request& aRequest, Answer& aAnswer)
{
  SleepMs(kAnswerMs);
  if (IsAway()) {
    return;
  }
  const std::string path = aRequest.mPath.compare(0, kPrefix.size(), kPrefix)
                             ? ""
                             : aRequest.mPath.substr(kPrefix.size());
  const bool isKind = path.find('/') == std::string::npos;
  if (path.empty()) {
    Send(aAnswer, 404, Json());
  } else if (aRequest.mMethod == "GET" && isKind) {
    if (aRequest.mQuery.count("watch") > 0) {
      Watch(aRequest, path, aAnswer);
    } else {
      List(aRequest, path, aAnswer);
    }
  } else if (aRequest.mMethod == "POST" && isKind) {
    const Json body = Json::parse(aRequest.mBody);
    Change(aRequest,
           path + "/" + body.at("metadata").at("name").get<std::string>(),
           true,
           aAnswer);
  } else if (aRequest.mMethod == "GET") {
    Json object;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mContent.mObjects.count(path) > 0) {
        object = ObjectJson(path);
      }
    }
    Send(aAnswer, object.is_null() ? 404 : 200, object);
  } else {
    Change(aRequest, path, false, aAnswer);
  }
}

void
Store::List(const Request& aRequest, const std::string& aKind, Answer& aAnswer)
{
  const auto after = aRequest.mQuery.find("after");
  const std::string prefix = aKind + "/";
  const std::string from =
    prefix + (after == aRequest.mQuery.end() ? "" : after->second);
  Json items = Json::array();
  bool hasMore = false;
  std::uint64_t revision = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    revision = mContent.mRevision;
    for (auto it = mContent.mObjects.upper_bound(from);
         it != mContent.mObjects.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
      if (items.size() == kPageSize) {
        hasMore = true;
        break;
      }
      items.push_back(ObjectJson(it->first));
    }
  }
  Send(
    aAnswer,
    200,
    { { "items", items }, { "more", hasMore }, { "current_rev", revision } });
}

void
Store::Watch(const Request& aRequest, const std::string& aKind, Answer& aAnswer)
{
  const std::uint64_t from =
    std::strtoull(aRequest.mQuery.at("watch").c_str(), nullptr, 10);
  const auto wait = aRequest.mQuery.find("wait_ms");
  const auto end =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(
      wait == aRequest.mQuery.end() ? 0 : std::atoi(wait->second.c_str()));
  const std::string prefix = aKind + "/";
  Json events = Json::array();
  std::uint64_t revision = 0;
  bool isGone = false;
  {
    std::unique_lock<std::mutex> lock(mMutex);
    const auto collect = [&] {
      isGone = from > mContent.mRevision;
      for (const auto& it : mContent.mHistory) {
        if (it.mRevision > from &&
            it.mKey.compare(0, prefix.size(), prefix) == 0) {
          events.push_back({ { "deleted", it.mIsDeleted },
                             { "object",
                               { { "metadata",
                                   { { "name", it.mKey.substr(prefix.size()) },
                                     { "revision", it.mRevision },
                                     { "create_revision", 1 },
                                     { "finalizers", Json::array() },
                                     { "deleting", false } } },
                                 { "spec", Json::parse(it.mSpec) },
                                 { "status", nullptr } } } });
        }
      }
      revision = mContent.mRevision;
      return mIsAway || isGone || !events.empty();
    };
    mChanged.wait_until(lock, end, collect);
    if (mIsAway) {
      return;
    }
  }
  if (isGone) {
    Send(aAnswer, 410, Json());
  } else {
    Send(aAnswer, 200, { { "events", events }, { "current_rev", revision } });
  }
}

void
Store::Change(const Request& aRequest,
              const std::string& aKey,
              bool aIsCreation,
              Answer& aAnswer)
{
  const Json body =
    aRequest.mBody.empty() ? Json::object() : Json::parse(aRequest.mBody);
  std::uint64_t expected = 0;
  if (body.contains("metadata")) {
    expected = body["metadata"].value("revision", std::uint64_t{ 0 });
  }
  if (const auto it = aRequest.mQuery.find("revision");
      it != aRequest.mQuery.end()) {
    expected = std::strtoull(it->second.c_str(), nullptr, 10);
  }
  int status = 200;
  Json object;
  std::string note;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto known = mContent.mObjects.find(aKey);
    const bool exists = known != mContent.mObjects.end();
    if (aIsCreation
          ? exists
          : exists && expected != 0 && expected != known->second.mRevision) {
      status = 409;
      object = ObjectJson(aKey);
    } else if (!aIsCreation && !exists) {
      status = 404;
    } else if (aRequest.mMethod == "DELETE") {
      Delete(aKey);
      object = Json::object();
    } else {
      Put(aKey, body.at("spec").dump());
      object = ObjectJson(aKey);
    }
    note = aRequest.mMethod + " " + aKey + " -> " + std::to_string(status) +
           ", store revision " + std::to_string(mContent.mRevision);
  }
  if (mOnSystemWrite && status == 200) {
    mOnSystemWrite(note);
  }
  Send(aAnswer, status, object);
}

} // namespace standins
