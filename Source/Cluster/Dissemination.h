#ifndef BULRUSHFOLD_CLUSTER_DISSEMINATION_H
#define BULRUSHFOLD_CLUSTER_DISSEMINATION_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/ClusterMessage.h"
#include "Cluster/HashRings.h"

namespace bulrushfold {

/** A configuration object that a daemon holds. */
struct ConfigObject
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  std::string mBody;
};

/** What an event changed and what has to be sent. */
struct DisseminationResult
{
  Outbox mMessages;
  /** Objects adopted by this event, for Configuration::Apply. */
  std::vector<ConfigObject> mAdopted;
};

/**
 * Spread of versioned configuration objects. A version is adopted only when it
 * is higher than the one held. Each adopted version is forwarded once to the
 * ring successors, as a JSON merge patch (RFC 7386). A daemon that lacks the
 * base version waits kBaseWait for it and then fetches the whole object from
 * the sender. Digests exchanged with one random peer a second repair what was
 * lost.
 *
 * Events to deliver: Tick every kTickInterval; OnUpdate, OnFetch and OnDigest
 * with each message; OnStoredObject with each object read from the store (get,
 * list or watch) and each change that this daemon wrote. After each event,
 * mAdopted must be applied and ConfigReadiness, ConfigController and
 * ConfigCoverage receive the same digests (see there).
 */
class Dissemination
{
public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  /** Time between two digest exchanges of one daemon. */
  static constexpr Duration kDigestInterval = std::chrono::seconds(1);
  /** Time for which an update waits for its base version. */
  static constexpr Duration kBaseWait = std::chrono::milliseconds(200);
  /** Time after which a fetch may be sent again. */
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);

  /** Names the random peer of a digest exchange; empty when there is none. */
  using PeerPicker = std::function<std::string()>;

  /**
   * aRings: the live daemons of Membership; must outlive this object.
   * aPickPeer: Membership::PickRandomPeer.
   */
  Dissemination(std::string aSelf,
                const HashRings& aRings,
                PeerPicker aPickPeer,
                Instant aNow);

  DisseminationResult Tick(Instant aNow);
  /** An object from the store. */
  DisseminationResult OnStoredObject(const std::string& aKey,
                                     std::uint64_t aVersion,
                                     const std::string& aBody);
  DisseminationResult OnUpdate(const std::string& aFrom,
                               const wire::ConfigUpdate& aMessage,
                               Instant aNow);
  DisseminationResult OnFetch(const std::string& aFrom,
                              const wire::ConfigFetch& aMessage) const;
  DisseminationResult OnDigest(const std::string& aFrom,
                               const wire::ConfigDigest& aMessage,
                               Instant aNow);

  /** Said of this daemon in its digests; set from ConfigReadiness::State. */
  void SetReadiness(wire::ConfigReadiness::type aReadiness);
  /** Digest of this daemon; complete with all versions when aIsComplete. */
  wire::ConfigDigest MakeDigest(bool aIsComplete, bool aWantsReply) const;
  /** Digest that names only the version of aKey held here; an acknowledgement
   * or the answer to a digest with askedKey. */
  wire::ConfigDigest MakeVersionDigest(const std::string& aKey) const;
  /** The last update of object aKey, for a peer that must acknowledge it. The
   * object must be held. */
  wire::ConfigUpdate MakeCopy(const std::string& aKey) const;

  /** Version held; 0 when the object is not known. */
  std::uint64_t Version(const std::string& aKey) const;
  /** Object held; null when it is not known. */
  const ConfigObject* Find(const std::string& aKey) const;
  const std::map<std::string, ConfigObject>& Objects() const
  {
    return mObjects;
  }

private:
  /** An update whose base version is missing. */
  struct WaitingUpdate
  {
    std::string mFrom;
    wire::ConfigUpdate mUpdate;
    Instant mReceivedAt;
  };

  void Adopt(const std::string& aFrom,
             const wire::ConfigUpdate& aUpdate,
             std::string aBody,
             DisseminationResult& aResult);
  void Forward(const std::string& aFrom,
               const wire::ConfigUpdate& aUpdate,
               DisseminationResult& aResult) const;
  std::optional<std::string> Resolve(const wire::ConfigUpdate& aUpdate) const;
  bool TryUpdate(const std::string& aFrom,
                 const wire::ConfigUpdate& aUpdate,
                 DisseminationResult& aResult);
  void QueueUpdate(const std::string& aFrom,
                   const wire::ConfigUpdate& aUpdate,
                   Instant aNow);
  void ApplyWaiting(const std::string& aKey, DisseminationResult& aResult);
  void FetchOverdue(Instant aNow, DisseminationResult& aResult);
  void Fetch(const std::string& aFrom,
             const std::vector<std::string>& aKeys,
             Instant aNow,
             DisseminationResult& aResult);
  void SendNewer(const std::string& aTo,
                 const std::map<std::string, std::uint64_t>& aPeerVersions,
                 DisseminationResult& aResult) const;
  void CompareVersions(const std::string& aFrom,
                       const wire::ConfigDigest& aMessage,
                       Instant aNow,
                       DisseminationResult& aResult);
  std::vector<const wire::ConfigUpdate*> PatchesFrom(
    const ConfigObject& aObject,
    std::uint64_t aVersion) const;
  void StorePatch(const wire::ConfigUpdate& aUpdate);
  wire::ConfigUpdate MakeUpdate(const ConfigObject& aOld,
                                const ConfigObject& aNew) const;
  std::int64_t Hash() const;

  std::string mSelf;
  const HashRings& mRings;
  PeerPicker mPickPeer;
  wire::ConfigReadiness::type mReadiness = wire::ConfigReadiness::STARTING;
  std::map<std::string, ConfigObject> mObjects;
  /** Latest patches of each object, which repair a daemon that is behind. */
  std::map<std::string, std::deque<wire::ConfigUpdate>> mPatches;
  /** Updates whose base version is missing, by key. */
  std::map<std::string, std::vector<WaitingUpdate>> mWaiting;
  std::map<std::string, Instant> mFetchedAt;
  Instant mNextDigest;
};

} // namespace bulrushfold

#endif
