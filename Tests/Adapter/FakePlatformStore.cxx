#include "FakePlatformStore.h"

#include <algorithm>
#include <utility>

#include "Net/LoopFixture.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

const std::string kObjectsPath = "/api/objects/";

std::uint64_t
NumberParameter(const HttpRequest& aRequest, const std::string& aName)
{
  return std::stoull(aRequest.Parameter(aName).value_or("0"));
}
} // namespace

FakePlatformStore::FakePlatformStore(EventLoop& aLoop)
  : mLoop(aLoop)
  , mAddress(FreeAddress())
  , mServer(aLoop, {}, [this](const Exchange& aExchange) { Handle(aExchange); })
{
  // The revisions of the platform's store start above zero.
  mContent.Put("other/start", "1", 0);
  static_cast<void>(mServer.Listen(mAddress));
}

void
FakePlatformStore::SetFault(StoreFault aFault)
{
  mFault = aFault;
  mUnanswered.clear();
  if (aFault != StoreFault::None && aFault != StoreFault::UnansweredWrites) {
    CloseWatches();
  }
}

void
FakePlatformStore::DiscardHistory()
{
  mOldestRevision = mContent.Revision();
  CloseWatches();
}

void
FakePlatformStore::CloseWatches()
{
  mWatches.clear();
}

void
FakePlatformStore::ReturnFrom(const StoreContent& aCopy)
{
  mContent = aCopy;
  mOldestRevision = std::min(mOldestRevision, mContent.Revision());
  mEra = std::to_string(std::stoull(mEra.value_or("0")) + 1);
  for (const Watch& it : mWatches) {
    Reply(it.mExchange, 410, Json());
  }
  CloseWatches();
}

void
FakePlatformStore::Write(const std::string& aKey, const Json& aSpec)
{
  const StoredObject* object = mContent.Find(aKey);
  mContent.Put(aKey, aSpec.dump(), object == nullptr ? 0 : object->mVersion);
  NotifyWatches();
}

void
FakePlatformStore::WriteText(const std::string& aKey, const std::string& aSpec)
{
  const std::string placeholder = absl::StrCat("text-", mTexts.size());
  mTexts[Json(placeholder).dump()] = aSpec;
  Write(aKey, placeholder);
}

void
FakePlatformStore::Remove(const std::string& aKey)
{
  mContent.Delete(aKey);
  NotifyWatches();
}

Json
FakePlatformStore::Spec(const std::string& aKey) const
{
  const StoredObject* object = mContent.Find(aKey);
  return object == nullptr ? Json() : Json::parse(object->mBody);
}

std::size_t
FakePlatformStore::CountCalls(const std::string& aMethod) const
{
  const auto it = mCalls.find(aMethod);
  return it == mCalls.end() ? 0 : it->second;
}

void
FakePlatformStore::Reply(const Exchange& aExchange,
                         int aStatus,
                         const Json& aBody)
{
  HttpHeaders headers{ { "Content-Type", "application/json" } };
  if (mEra) {
    headers.Add("Store-Era", *mEra);
  }
  aExchange->Reply(aStatus,
                   headers,
                   aBody.is_null() ? std::string()
                                   : absl::StrReplaceAll(aBody.dump(), mTexts));
}

bool
FakePlatformStore::ApplyFault(const Exchange& aExchange)
{
  switch (mFault) {
    case StoreFault::Unavailable:
      Reply(aExchange, 503, Json());
      return true;
    case StoreFault::RateLimited:
      Reply(aExchange, 429, Json());
      return true;
    case StoreFault::Reset:
      aExchange->Abort();
      return true;
    case StoreFault::NoAnswer:
      mUnanswered.push_back(aExchange);
      return true;
    case StoreFault::None:
    case StoreFault::UnansweredWrites:
      break;
  }
  return false;
}

void
FakePlatformStore::Handle(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string method(HttpMethodName(request.mMethod));
  ++mCalls[method];
  const std::string path =
    request.mPath.substr(std::min(kObjectsPath.size(), request.mPath.size()));
  ++mCallsByKind[(request.Parameter("watch") ? "watch" : method) + " " +
                 path.substr(0, path.find('/'))];
  if (ApplyFault(aExchange)) {
    return;
  }
  if (request.mPath.compare(0, kObjectsPath.size(), kObjectsPath) != 0) {
    Reply(aExchange, 404, Json());
    return;
  }
  if (path.find('/') == std::string::npos) {
    HandleKind(aExchange, path);
  } else {
    HandleObject(aExchange, path);
  }
}

void
FakePlatformStore::HandleKind(const Exchange& aExchange,
                              const std::string& aKind)
{
  const HttpRequest& request = aExchange->Request();
  if (request.mMethod == HttpMethod::Post) {
    const Json body = Json::parse(request.mBody);
    Put(aExchange,
        aKind + "/" + body.at("metadata").at("name").get<std::string>(),
        0);
  } else if (request.Parameter("watch")) {
    BeginWatch(aExchange, aKind + "/");
  } else {
    List(aExchange, aKind + "/");
  }
}

void
FakePlatformStore::HandleObject(const Exchange& aExchange,
                                const std::string& aKey)
{
  const HttpRequest& request = aExchange->Request();
  const StoredObject* object = mContent.Find(aKey);
  if (object == nullptr) {
    Reply(aExchange, 404, Json());
    return;
  }
  if (request.mMethod == HttpMethod::Get) {
    Reply(aExchange, 200, ObjectJson(aKey, object->mVersion, object->mBody));
    return;
  }
  std::uint64_t expected = NumberParameter(request, "revision");
  if (request.mMethod == HttpMethod::Put) {
    expected = Json::parse(request.mBody)["metadata"].value("revision",
                                                            object->mVersion);
    Put(aExchange, aKey, expected);
    return;
  }
  if (expected != 0 && expected != object->mVersion) {
    Reply(aExchange, 409, ObjectJson(aKey, object->mVersion, object->mBody));
    return;
  }
  Remove(aKey);
  Reply(aExchange, 200, Json::object());
}

void
FakePlatformStore::Put(const Exchange& aExchange,
                       const std::string& aKey,
                       std::uint64_t aExpected)
{
  const Json body = Json::parse(aExchange->Request().mBody);
  const auto result = mContent.Put(aKey, body.at("spec").dump(), aExpected);
  const StoredObject* object = mContent.Find(aKey);
  if (mFault == StoreFault::UnansweredWrites) {
    mUnanswered.push_back(aExchange);
  } else {
    Reply(aExchange,
          result.mIsApplied ? 200 : 409,
          ObjectJson(aKey, object->mVersion, object->mBody));
  }
  NotifyWatches();
}

void
FakePlatformStore::List(const Exchange& aExchange, const std::string& aPrefix)
{
  const std::string after =
    aPrefix + aExchange->Request().Parameter("after").value_or("");
  Json items = Json::array();
  bool hasMore = false;
  for (const StoredObject* it : mContent.List(aPrefix)) {
    if (it->mKey <= after) {
      continue;
    }
    if (items.size() == mPageSize) {
      hasMore = true;
      break;
    }
    items.push_back(ObjectJson(it->mKey, it->mVersion, it->mBody));
  }
  Reply(aExchange,
        200,
        { { "items", std::move(items) },
          { "more", hasMore },
          { "current_rev", mContent.Revision() } });
}

Json
FakePlatformStore::ObjectJson(const std::string& aKey,
                              std::uint64_t aRevision,
                              const std::string& aBody) const
{
  return { { "metadata",
             { { "name", aKey.substr(aKey.find('/') + 1) },
               { "revision", aRevision },
               { "create_revision", 1 },
               { "finalizers", Json::array() },
               { "deleting", false } } },
           { "spec", aBody.empty() ? Json() : Json::parse(aBody) },
           { "status", nullptr } };
}

void
FakePlatformStore::BeginWatch(const Exchange& aExchange,
                              const std::string& aPrefix)
{
  const HttpRequest& request = aExchange->Request();
  Watch watch{ aExchange, aPrefix, NumberParameter(request, "watch"), {} };
  if (watch.mFrom < mOldestRevision) {
    Reply(aExchange, 410, Json());
    return;
  }
  if (AnswerWatch(watch, false)) {
    return;
  }
  const auto wait =
    std::chrono::milliseconds(NumberParameter(request, "wait_ms"));
  mLastWatchWait = wait;
  const auto it = mWatches.insert(mWatches.end(), std::move(watch));
  it->mTimer = mLoop.After(wait, [this, it] {
    AnswerWatch(*it, true);
    mWatches.erase(it);
  });
}

bool
FakePlatformStore::AnswerWatch(const Watch& aWatch, bool aIsTimeout)
{
  const auto changes = mContent.ChangesAfter(aWatch.mFrom, aWatch.mPrefix);
  if (!changes) {
    Reply(aWatch.mExchange, 410, Json());
    return true;
  }
  if (changes->empty() && !aIsTimeout) {
    return false;
  }
  Json events = Json::array();
  for (const auto& it : *changes) {
    events.push_back(
      { { "deleted", it.mIsDeleted },
        { "object", ObjectJson(it.mKey, it.mRevision, it.mBody) } });
  }
  Reply(aWatch.mExchange,
        200,
        { { "events", std::move(events) },
          { "current_rev", mContent.Revision() } });
  return true;
}

void
FakePlatformStore::NotifyWatches()
{
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    it = AnswerWatch(*it, false) ? mWatches.erase(it) : std::next(it);
  }
}

} // namespace bulrushfold
