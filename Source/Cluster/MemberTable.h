#ifndef BULRUSHFOLD_CLUSTER_MEMBERTABLE_H
#define BULRUSHFOLD_CLUSTER_MEMBERTABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/ClusterMessage.h"
#include "Cluster/HashRings.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Name, failure domain, address and process of a daemon. */
struct MemberInfo
{
  std::string mName;
  std::string mFailureDomain;
  SocketAddress mAddress;
  /** UUIDv7 of the process; empty while it is unknown. */
  std::string mIncarnation;
};

/** Recorded state of one daemon. */
struct Member
{
  MemberInfo mInfo;
  /** Generation of the record; 0 while only the VM list has named the
   * daemon. */
  std::int64_t mGeneration = 0;
  /** Generation with which the current incarnation was announced first. */
  std::int64_t mFirstGeneration = 0;
  wire::MemberState::type mState = wire::MemberState::ALIVE;
  Instant mChangedAt;
  /** Daemons that suspect this generation, at most kMaxObservers. */
  std::vector<std::string> mObservers;
  /** True when the last VM list contains the daemon. */
  bool mIsListed = false;

  bool IsLive() const
  {
    return mState == wire::MemberState::ALIVE ||
           mState == wire::MemberState::SUSPECT;
  }
};

/** Daemons that a change added to or removed from the live daemons. */
struct MemberChanges
{
  std::vector<std::string> mJoined;
  std::vector<std::string> mLost;
};

/**
 * Records of all daemons by name, the rings of the live daemons, and a hash of
 * the live daemons per failure domain. Of two records of a daemon, the one with
 * the higher generation takes precedence, then the one with the later state:
 * alive, suspect, leaving, dead. The result therefore does not depend on the
 * order in which records arrive.
 */
class MemberTable
{
public:
  /** Number of observers after which further reports have no effect. */
  static constexpr std::size_t kMaxObservers = 2;

  /** Merges a record; returns true when it changed the table. A record of an
   * unknown daemon without an address is ignored. */
  bool Merge(const wire::MemberRecord& aRecord,
             Instant aNow,
             MemberChanges& aChanges);
  /** Adds a daemon from the VM list unless the table already has a record of
   * it. */
  void Insert(const MemberInfo& aInfo,
              wire::MemberState::type aState,
              Instant aNow,
              MemberChanges& aChanges);
  /** Sets generation and state regardless of precedence. */
  void Set(const std::string& aName,
           std::int64_t aGeneration,
           wire::MemberState::type aState,
           Instant aNow,
           MemberChanges& aChanges);
  /** Marks all daemons as not contained in the VM list. */
  void ClearListed();
  void Erase(const std::string& aName, MemberChanges& aChanges);

  Member* Find(const std::string& aName);
  const Member* Find(const std::string& aName) const;
  const std::map<std::string, Member>& Members() const { return mMembers; }
  const HashRings& Rings() const { return mRings; }

  /** Returns the record of aMember for other daemons. It contains failure
   * domain, address and incarnation if aWithDetails, or while the daemon is
   * alive in the first generation of its incarnation. */
  static wire::MemberRecord RecordOf(const Member& aMember, bool aWithDetails);
  /** Returns the records of a failure domain with all details, at most
   * kMaxRecords. */
  std::vector<wire::MemberRecord> RecordsOf(const std::string& aDomain) const;
  /** Returns the hash of the live daemons of a failure domain. */
  std::int64_t DomainHash(const std::string& aDomain) const;
  std::map<std::string, std::int64_t> DomainHashes() const;
  /** Returns the hash of all live daemons. */
  std::int64_t ViewHash() const;

private:
  static constexpr std::size_t kMaxRecords = 256;

  void RemoveFromView(const Member& aMember);
  void AddToView(const Member& aMember);
  static void UpdateDetails(Member& aMember, const wire::MemberRecord& aRecord);
  static bool AddObserver(Member& aMember, const wire::MemberRecord& aRecord);

  std::map<std::string, Member> mMembers;
  HashRings mRings;
  std::map<std::string, std::uint64_t> mDomainHashes;
  std::uint64_t mViewHash = 0;
};

} // namespace bulrushfold

#endif
