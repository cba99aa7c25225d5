#include "Cluster/Dissemination.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"
#include "Cluster/MergePatch.h"

namespace bulrushfold {

namespace {
/** Maximum number of patches stored for each object. */
constexpr std::size_t kMaxPatches = 8;
/** Maximum number of updates of one object that wait for their base version. */
constexpr std::size_t kMaxWaiting = 8;
/** Maximum time for which the base version of a waiting update is fetched.
 * Afterwards the digest exchanges repair the difference. */
constexpr Duration kMaxBaseWait = std::chrono::seconds(10);
/** Maximum number of complete objects in the answer to one message; more
 * follow after the next digest. At 35 KB per object, the answer has at most 1.6
 * MB. */
constexpr std::size_t kMaxObjectsPerAnswer = 48;

std::int64_t
BodyHash(const std::string& aBody)
{
  return static_cast<std::int64_t>(Hash64(aBody));
}

wire::ConfigUpdate
MakeCompleteUpdate(const ConfigObject& aObject)
{
  wire::ConfigUpdate update;
  update.key = aObject.mKey;
  update.version = static_cast<std::int64_t>(aObject.mVersion);
  update.baseVersion = 0;
  update.body = aObject.mBody;
  update.bodyHash = BodyHash(aObject.mBody);
  update.wantsAck = false;
  return update;
}

wire::ObjectVersion
MakeVersion(const ConfigObject& aObject)
{
  wire::ObjectVersion version;
  version.key = aObject.mKey;
  version.version = static_cast<std::int64_t>(aObject.mVersion);
  return version;
}
} // namespace

Dissemination::Dissemination(std::string aSelf,
                             const HashRings& aRings,
                             PeerPicker aPickPeer,
                             Instant aNow)
  : mSelf(std::move(aSelf))
  , mRings(aRings)
  , mPickPeer(std::move(aPickPeer))
  , mNextDigest(aNow)
{
  // Spreads the first digests of daemons that start at the same time.
  mNextDigest += Duration(static_cast<std::int64_t>(
    Hash64(mSelf) % static_cast<std::uint64_t>(kDigestInterval.count())));
}

DisseminationResult
Dissemination::Tick(Instant aNow)
{
  DisseminationResult result;
  FetchOverdue(aNow, result);
  if (aNow >= mNextDigest) {
    // Digest exchanges that were due during a pause are skipped.
    mNextDigest = std::max(mNextDigest + kDigestInterval, aNow);
    if (const std::string peer = mPickPeer(); !peer.empty()) {
      result.mMessages.push_back({ peer, MakeDigest(false, false) });
    }
  }
  return result;
}

void
Dissemination::FetchOverdue(Instant aNow, DisseminationResult& aResult)
{
  for (auto& [key, updates] : mWaiting) {
    for (const auto& it : updates) {
      if (aNow - it.mReceivedAt >= kBaseWait) {
        Fetch(it.mFrom, { key }, aNow, aResult);
      }
    }
    updates.erase(std::remove_if(updates.begin(),
                                 updates.end(),
                                 [aNow](const WaitingUpdate& aUpdate) {
                                   return aNow - aUpdate.mReceivedAt >=
                                          kMaxBaseWait;
                                 }),
                  updates.end());
  }
}

void
Dissemination::Fetch(const std::string& aFrom,
                     const std::vector<std::string>& aKeys,
                     Instant aNow,
                     DisseminationResult& aResult)
{
  wire::ConfigFetch fetch;
  for (const auto& it : aKeys) {
    const auto [at, isNew] = mFetchedAt.insert({ it, aNow });
    if (isNew || aNow - at->second >= kFetchTimeout) {
      at->second = aNow;
      fetch.keys.push_back(it);
    }
  }
  if (!fetch.keys.empty()) {
    aResult.mMessages.push_back({ aFrom, std::move(fetch) });
  }
}

DisseminationResult
Dissemination::OnStoredObject(const std::string& aKey,
                              std::uint64_t aVersion,
                              const std::string& aBody)
{
  DisseminationResult result;
  if (aVersion <= Version(aKey)) {
    return result;
  }
  const ConfigObject object{ aKey, aVersion, CanonicalJson(aBody) };
  const ConfigObject* old = Find(aKey);
  const auto update =
    old == nullptr ? MakeCompleteUpdate(object) : MakeUpdate(*old, object);
  mFetchedAt.erase(aKey);
  Adopt("", update, object.mBody, result);
  ApplyWaiting(aKey, result);
  return result;
}

wire::ConfigUpdate
Dissemination::MakeUpdate(const ConfigObject& aOld,
                          const ConfigObject& aNew) const
{
  auto update = MakeCompleteUpdate(aNew);
  if (auto patch = MakeMergePatch(aOld.mBody, aNew.mBody)) {
    update.baseVersion = static_cast<std::int64_t>(aOld.mVersion);
    update.body = *std::move(patch);
  }
  return update;
}

void
Dissemination::Adopt(const std::string& aFrom,
                     const wire::ConfigUpdate& aUpdate,
                     std::string aBody,
                     DisseminationResult& aResult)
{
  ConfigObject& object = mObjects[aUpdate.key];
  const ConfigObject old = object;
  object.mKey = aUpdate.key;
  object.mVersion = static_cast<std::uint64_t>(aUpdate.version);
  object.mBody = std::move(aBody);
  aResult.mAdopted.push_back(object);
  const bool wasFetched = mFetchedAt.erase(aUpdate.key) != 0;
  if (!wasFetched || aUpdate.baseVersion != 0) {
    StorePatch(aUpdate);
    Forward(aFrom, aUpdate, aResult);
    return;
  }
  // The ring neighbours may lack the same versions, for example after a
  // partition. Forwarding a complete object would multiply its size; forwarding
  // a patch does not.
  const auto update = old.mVersion == 0 ? aUpdate : MakeUpdate(old, object);
  StorePatch(update);
  if (update.baseVersion != 0) {
    Forward(aFrom, update, aResult);
  }
}

void
Dissemination::Forward(const std::string& aFrom,
                       const wire::ConfigUpdate& aUpdate,
                       DisseminationResult& aResult) const
{
  for (const auto& it : mRings.Successors(mSelf)) {
    if (it != aFrom) {
      auto update = aUpdate;
      update.wantsAck = false;
      aResult.mMessages.push_back({ it, std::move(update) });
    }
  }
}

void
Dissemination::StorePatch(const wire::ConfigUpdate& aUpdate)
{
  auto& patches = mPatches[aUpdate.key];
  if (aUpdate.baseVersion == 0) {
    patches.clear();
    return;
  }
  patches.push_back(aUpdate);
  if (patches.size() > kMaxPatches) {
    patches.pop_front();
  }
}

std::optional<std::string>
Dissemination::Resolve(const wire::ConfigUpdate& aUpdate) const
{
  if (aUpdate.baseVersion == 0) {
    const bool isValid = BodyHash(aUpdate.body) == aUpdate.bodyHash;
    return isValid ? std::optional(aUpdate.body) : std::nullopt;
  }
  const ConfigObject* object = Find(aUpdate.key);
  if (object == nullptr ||
      object->mVersion != static_cast<std::uint64_t>(aUpdate.baseVersion)) {
    return std::nullopt;
  }
  auto body = ApplyMergePatch(object->mBody, aUpdate.body);
  return body && BodyHash(*body) == aUpdate.bodyHash ? body : std::nullopt;
}

bool
Dissemination::TryUpdate(const std::string& aFrom,
                         const wire::ConfigUpdate& aUpdate,
                         DisseminationResult& aResult)
{
  auto body = Resolve(aUpdate);
  if (!body) {
    return false;
  }
  Adopt(aFrom, aUpdate, *std::move(body), aResult);
  ApplyWaiting(aUpdate.key, aResult);
  return true;
}

void
Dissemination::ApplyWaiting(const std::string& aKey,
                            DisseminationResult& aResult)
{
  const auto it = mWaiting.find(aKey);
  if (it == mWaiting.end()) {
    return;
  }
  auto waiting = std::move(it->second);
  mWaiting.erase(it);
  std::sort(waiting.begin(),
            waiting.end(),
            [](const WaitingUpdate& aLeft, const WaitingUpdate& aRight) {
              return aLeft.mUpdate.version < aRight.mUpdate.version;
            });
  std::vector<WaitingUpdate> remaining;
  for (const auto& update : waiting) {
    const auto version = static_cast<std::uint64_t>(update.mUpdate.version);
    if (version > Version(aKey) &&
        !TryUpdate(update.mFrom, update.mUpdate, aResult)) {
      remaining.push_back(update);
    }
  }
  if (!remaining.empty()) {
    mWaiting[aKey] = std::move(remaining);
  }
}

void
Dissemination::QueueUpdate(const std::string& aFrom,
                           const wire::ConfigUpdate& aUpdate,
                           Instant aNow)
{
  auto& waiting = mWaiting[aUpdate.key];
  const bool isQueued =
    std::any_of(waiting.begin(), waiting.end(), [&](const auto& aItem) {
      return aItem.mUpdate.version == aUpdate.version;
    });
  if (!isQueued && waiting.size() < kMaxWaiting) {
    waiting.push_back({ aFrom, aUpdate, aNow });
  }
}

DisseminationResult
Dissemination::OnUpdate(const std::string& aFrom,
                        const wire::ConfigUpdate& aMessage,
                        Instant aNow)
{
  DisseminationResult result;
  if (aMessage.version <= 0 || aMessage.baseVersion < 0) {
    return result;
  }
  const auto version = static_cast<std::uint64_t>(aMessage.version);
  if (version > Version(aMessage.key) && !TryUpdate(aFrom, aMessage, result)) {
    QueueUpdate(aFrom, aMessage, aNow);
    if (aMessage.wantsAck) {
      Fetch(aFrom, { aMessage.key }, aNow, result);
    }
  }
  if (aMessage.wantsAck && Version(aMessage.key) >= version) {
    result.mMessages.push_back({ aFrom, MakeVersionDigest(aMessage.key) });
  }
  return result;
}

DisseminationResult
Dissemination::OnFetch(const std::string& aFrom,
                       const wire::ConfigFetch& aMessage) const
{
  DisseminationResult result;
  for (const auto& it : aMessage.keys) {
    const ConfigObject* object = Find(it);
    if (object != nullptr && result.mMessages.size() < kMaxObjectsPerAnswer) {
      result.mMessages.push_back({ aFrom, MakeCompleteUpdate(*object) });
    }
  }
  return result;
}

DisseminationResult
Dissemination::OnDigest(const std::string& aFrom,
                        const wire::ConfigDigest& aMessage,
                        Instant aNow)
{
  DisseminationResult result;
  if (!aMessage.askedKey.empty()) {
    result.mMessages.push_back({ aFrom, MakeVersionDigest(aMessage.askedKey) });
    return result;
  }
  const bool isEqual = aMessage.hash == Hash();
  if (!isEqual) {
    CompareVersions(aFrom, aMessage, aNow, result);
  }
  const bool isQuery = !aMessage.isComplete && aMessage.versions.empty();
  if (aMessage.wantsReply || (isQuery && !isEqual)) {
    auto answer = MakeDigest(!isEqual, false);
    answer.round = aMessage.round;
    result.mMessages.push_back({ aFrom, std::move(answer) });
  }
  return result;
}

void
Dissemination::CompareVersions(const std::string& aFrom,
                               const wire::ConfigDigest& aMessage,
                               Instant aNow,
                               DisseminationResult& aResult)
{
  std::map<std::string, std::uint64_t> peerVersions;
  std::vector<std::string> missing;
  for (const auto& it : aMessage.versions) {
    const auto version = static_cast<std::uint64_t>(it.version);
    peerVersions[it.key] = version;
    if (it.version > 0 && version > Version(it.key)) {
      missing.push_back(it.key);
    }
  }
  Fetch(aFrom, missing, aNow, aResult);
  if (aMessage.isComplete) {
    SendNewer(aFrom, peerVersions, aResult);
  }
}

std::vector<const wire::ConfigUpdate*>
Dissemination::PatchesFrom(const ConfigObject& aObject,
                           std::uint64_t aVersion) const
{
  std::vector<const wire::ConfigUpdate*> chain;
  const auto patches = mPatches.find(aObject.mKey);
  if (patches == mPatches.end()) {
    return chain;
  }
  std::uint64_t version = aVersion;
  for (const auto& it : patches->second) {
    if (static_cast<std::uint64_t>(it.baseVersion) == version) {
      chain.push_back(&it);
      version = static_cast<std::uint64_t>(it.version);
    }
  }
  return version == aObject.mVersion ? chain
                                     : std::vector<const wire::ConfigUpdate*>();
}

void
Dissemination::SendNewer(
  const std::string& aTo,
  const std::map<std::string, std::uint64_t>& aPeerVersions,
  DisseminationResult& aResult) const
{
  // For each object that no stored patches can update, the peer gets the
  // version only and fetches the object once instead of receiving it from
  // several daemons.
  auto offer = MakeDigest(false, false);
  for (const auto& [key, object] : mObjects) {
    const auto it = aPeerVersions.find(key);
    const std::uint64_t version = it == aPeerVersions.end() ? 0 : it->second;
    if (version >= object.mVersion) {
      continue;
    }
    const auto chain = PatchesFrom(object, version);
    for (const auto* patch : chain) {
      aResult.mMessages.push_back({ aTo, *patch });
    }
    if (chain.empty()) {
      offer.versions.push_back(MakeVersion(object));
    }
  }
  if (!offer.versions.empty()) {
    aResult.mMessages.push_back({ aTo, std::move(offer) });
  }
}

void
Dissemination::SetReadiness(wire::ConfigReadiness::type aReadiness)
{
  mReadiness = aReadiness;
}

std::int64_t
Dissemination::Hash() const
{
  std::uint64_t hash = 0;
  for (const auto& [key, object] : mObjects) {
    hash ^= Hash64(key, object.mVersion);
  }
  return static_cast<std::int64_t>(hash);
}

wire::ConfigDigest
Dissemination::MakeDigest(bool aIsComplete, bool aWantsReply) const
{
  wire::ConfigDigest digest;
  digest.hash = Hash();
  digest.round = 0;
  digest.wantsReply = aWantsReply;
  digest.isComplete = aIsComplete;
  digest.readiness = mReadiness;
  if (aIsComplete) {
    for (const auto& [key, object] : mObjects) {
      digest.versions.push_back(MakeVersion(object));
    }
  }
  return digest;
}

wire::ConfigDigest
Dissemination::MakeVersionDigest(const std::string& aKey) const
{
  auto digest = MakeDigest(false, false);
  digest.versions.push_back(MakeVersion({ aKey, Version(aKey), {} }));
  return digest;
}

wire::ConfigUpdate
Dissemination::MakeCopy(const std::string& aKey) const
{
  const auto patches = mPatches.find(aKey);
  auto update = patches == mPatches.end() || patches->second.empty()
                  ? MakeCompleteUpdate(mObjects.at(aKey))
                  : patches->second.back();
  update.wantsAck = true;
  return update;
}

std::uint64_t
Dissemination::Version(const std::string& aKey) const
{
  const ConfigObject* object = Find(aKey);
  return object == nullptr ? 0 : object->mVersion;
}

const ConfigObject*
Dissemination::Find(const std::string& aKey) const
{
  const auto it = mObjects.find(aKey);
  return it == mObjects.end() ? nullptr : &it->second;
}

} // namespace bulrushfold
