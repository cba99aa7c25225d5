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

/** Name, place and lifetime of a daemon. */
struct MemberInfo
{
  std::string mName;
  std::string mFailureDomain;
  SocketAddress mAddress;
  /** UUIDv7 of the process; empty while it is not known. */
  std::string mIncarnation;
};

/** What is known of one daemon. */
struct Member
{
  MemberInfo mInfo;
  /** 0 while the daemon is known only from the VM list. */
  std::int64_t mGeneration = 0;
  /** Generation with which the incarnation was first announced. */
  std::int64_t mFirstGeneration = 0;
  wire::MemberState::type mState = wire::MemberState::ALIVE;
  Instant mChangedAt;
  /** Daemons that suspect this generation; at most kMaxObservers. */
  std::vector<std::string> mObservers;
  /** True when the last VM list names it. */
  bool mIsListed = false;

  bool IsLive() const
  {
    return mState == wire::MemberState::ALIVE ||
           mState == wire::MemberState::SUSPECT;
  }
};

/** Live daemons that a change added or removed. */
struct MemberChanges
{
  std::vector<std::string> mJoined;
  std::vector<std::string> mLost;
};

/**
 * Daemons by name, the rings of the live ones, and a hash of the live ones for
 * each failure domain. Of two records of a daemon the one with the higher
 * generation counts, then the one with the later state: alive, suspect,
 * leaving, dead. The order in which records arrive therefore does not matter.
 */
class MemberTable
{
public:
  /** Observers after whom further reports change nothing. */
  static constexpr std::size_t kMaxObservers = 2;

  /** Merges a record; true when it was news. A record of an unknown daemon
   * without address is ignored. */
  bool Merge(const wire::MemberRecord& aRecord,
             Instant aNow,
             MemberChanges& aChanges);
  /** Adds a daemon known from the VM list only, unless it is known. */
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
  /** Forgets which daemons the VM list names. */
  void ClearListed();
  void Erase(const std::string& aName, MemberChanges& aChanges);

  Member* Find(const std::string& aName);
  const Member* Find(const std::string& aName) const;
  const std::map<std::string, Member>& Members() const { return mMembers; }
  const HashRings& Rings() const { return mRings; }

  /** Record of aMember for other daemons; details only when they are news or
   * aWithDetails. */
  static wire::MemberRecord RecordOf(const Member& aMember, bool aWithDetails);
  /** Complete records of a failure domain, at most kMaxRecords. */
  std::vector<wire::MemberRecord> RecordsOf(const std::string& aDomain) const;
  /** Hash of the live daemons of a failure domain. */
  std::int64_t DomainHash(const std::string& aDomain) const;
  std::map<std::string, std::int64_t> DomainHashes() const;
  /** Hash of all live daemons. */
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
