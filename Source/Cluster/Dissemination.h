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

/** A version of a configuration object. */
struct ConfigObject
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  std::string mBody;
};

/** Messages and state changes that result from an event. */
struct DisseminationResult
{
  Outbox mMessages;
  /** Objects adopted by this event, to pass to Configuration::Apply. */
  std::vector<ConfigObject> mAdopted;
};

/**
 * Distributes versioned configuration objects to all daemons. A daemon adopts a
 * version only if it is higher than its current one. Each adopted version is
 * forwarded once to the ring successors, as a JSON merge patch (RFC 7386). A
 * daemon that lacks the base version waits kBaseWait for it and then fetches
 * the complete object from the sender. Each daemon exchanges a digest with one
 * random peer per second, which repairs lost updates.
 *
 * Events to deliver: Tick every kTickInterval; OnUpdate, OnFetch and OnDigest
 * with each message; OnStoredObject with each object read from the store (get,
 * list or watch) and each change that this daemon wrote. After each event,
 * mAdopted must be applied. ConfigReadiness, ConfigController and
 * ConfigCoverage must receive the same digests.
 */
class Dissemination
{
public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  /** Interval of the digest exchanges that one daemon starts. */
  static constexpr Duration kDigestInterval = std::chrono::seconds(1);
  /** Time for which an update waits for its base version. */
  static constexpr Duration kBaseWait = std::chrono::milliseconds(200);
  /** Time after which a fetch of the same object may be repeated. */
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);

  /** Returns a random peer for a digest exchange; empty when there is none. */
  using PeerPicker = std::function<std::string()>;

  /**
   * aRings contains the live daemons of Membership and must outlive this
   * object. aPickPeer is Membership::PickRandomPeer.
   */
  Dissemination(std::string aSelf,
                const HashRings& aRings,
                PeerPicker aPickPeer,
                Instant aNow);

  DisseminationResult Tick(Instant aNow);
  /** Adopts an object from the store if its version is higher. */
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

  /** Sets the readiness that this daemon's digests contain;
   * ConfigReadiness::State. */
  void SetReadiness(wire::ConfigReadiness::type aReadiness);
  /** Returns a digest of this daemon, with the versions of all objects if
   * aIsComplete. */
  wire::ConfigDigest MakeDigest(bool aIsComplete, bool aWantsReply) const;
  /** Returns a digest that contains only this daemon's version of aKey. It
   * serves as an acknowledgement and as the answer to a digest with askedKey.
   * */
  wire::ConfigDigest MakeVersionDigest(const std::string& aKey) const;
  /** Returns the last update of object aKey with a request to acknowledge
   * it. This daemon must have the object. */
  wire::ConfigUpdate MakeCopy(const std::string& aKey) const;

  /** Returns this daemon's version of the object; 0 when it has none. */
  std::uint64_t Version(const std::string& aKey) const;
  /** Returns this daemon's version and body of the object; null when it has
   * none. */
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
  /** Latest patches of each object, which are sent to peers with older
   * versions. */
  std::map<std::string, std::deque<wire::ConfigUpdate>> mPatches;
  /** Updates whose base version is missing, by key. */
  std::map<std::string, std::vector<WaitingUpdate>> mWaiting;
  std::map<std::string, Instant> mFetchedAt;
  Instant mNextDigest;
};

} // namespace bulrushfold

#endif
