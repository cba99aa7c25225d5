#ifndef BULRUSHFOLD_ROUTING_ENDPOINTDIRECTORY_H
#define BULRUSHFOLD_ROUTING_ENDPOINTDIRECTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** What an endpoint does with requests. */
enum class EndpointRole
{
  /** A plain service. */
  General,
  /** A model engine that only computes KV caches. */
  Prefill,
  /** A model engine that generates tokens. */
  Decode,
};

std::string_view EndpointRoleName(EndpointRole aRole);

/** What the registry says of one endpoint. */
struct EndpointRecord
{
  std::string mId;
  std::string mService;
  SocketAddress mAddress;
  std::string mFailureDomain;
  EndpointRole mRole = EndpointRole::General;
  bool mIsDraining = false;
  std::uint32_t mSlots = 1;
  /** Start of the process; tells a restarted endpoint from its predecessor. */
  std::int64_t mIncarnation = 0;

  bool operator==(const EndpointRecord& aOther) const
  {
    return mId == aOther.mId && mService == aOther.mService &&
           mAddress == aOther.mAddress &&
           mFailureDomain == aOther.mFailureDomain && mRole == aOther.mRole &&
           mIsDraining == aOther.mIsDraining && mSlots == aOther.mSlots &&
           mIncarnation == aOther.mIncarnation;
  }
};

/** A change of an endpoint's role that is being carried out. */
struct RoleOrder
{
  EndpointRole mRole = EndpointRole::Decode;
  /** Without effect by then the endpoint counts as it did before. */
  Instant mDeadline;
};

/** How the directory's belief of an endpoint changed. */
enum class EndpointChange
{
  Added,
  /** Another process under the same id. */
  Restarted,
  /** It may not get new requests any more. */
  Draining,
  /** It is offered again after it was leaving. */
  Returned,
  /** Its entry is missing after an outage of the registry; it may come back. */
  Missing,
  /** Another endpoint answered at its address. */
  Replaced,
  /** It was ordered to change its role and takes no new work until it has. */
  ChangingRole,
  RoleChanged,
  Removed,
};

std::string_view EndpointChangeName(EndpointChange aChange);

/**
 * The endpoints as the registry lists them. An entry that is missing right
 * after an outage of the registry is kept for a grace period, because entries
 * lapse during an outage although their endpoints live.
 */
class EndpointDirectory
{
public:
  using ChangeSignal =
    sigc::signal<void(const EndpointRecord&, EndpointChange)>;

  /** aGrace: time after an outage for which missing entries are kept. */
  explicit EndpointDirectory(Duration aGrace);

  /** Replaces the whole content by a list read at aRevision. */
  void Replace(const std::vector<EndpointRecord>& aRecords,
               std::uint64_t aRevision,
               Instant aNow);
  void Put(const EndpointRecord& aRecord,
           std::uint64_t aRevision,
           Instant aNow);
  /** The entry aId was removed, or no longer names an endpoint. */
  void Remove(const std::string& aId, std::uint64_t aRevision, Instant aNow);
  /**
   * Another endpoint answered at the address of aId, so the entry is out of
   * date. It is not used until the registry says something new of it.
   */
  void OnAddressReused(const std::string& aId);
  /** aId was ordered to change its role. */
  void OnRoleOrdered(const std::string& aId,
                     const RoleOrder& aOrder,
                     Instant aNow);
  /** aId takes no new work because it is to change its role. */
  bool IsChangingRole(const std::string& aId) const;
  /** Endpoints that change their role. */
  std::map<std::string, RoleOrder> RoleOrders(Instant aNow) const;
  /** The registry answers again after an outage. */
  void OnRegistryRecovered(Instant aNow);
  /** Drops entries whose grace period is over. */
  void Expire(Instant aNow);
  /** When Expire has something to do; empty when nothing waits. */
  std::optional<Instant> NextExpiry() const;

  /** Null when aId is not known. */
  const EndpointRecord* Find(const std::string& aId) const;
  /** The entry of aId is missing after an outage of the registry. */
  bool IsInDoubt(const std::string& aId) const;
  /** aId may get new requests. */
  bool IsUsable(const std::string& aId) const;
  /** Endpoints of aService that may get new requests. */
  std::vector<const EndpointRecord*> Usable(const std::string& aService,
                                            EndpointRole aRole) const;
  std::size_t Size() const { return mEntries.size(); }
  /** Revision of the registry that the content reflects. */
  std::uint64_t Revision() const { return mRevision; }
  ChangeSignal& OnChange() { return mOnChange; }

private:
  struct Entry
  {
    EndpointRecord mRecord;
    /** Set while the entry is missing in the registry. */
    std::optional<Instant> mGoneAt;
    /** Another endpoint has its address. */
    bool mIsReplaced = false;
    std::optional<RoleOrder> mRoleOrder;
  };
  static bool IsUsable(const Entry& aEntry)
  {
    return !aEntry.mRecord.mIsDraining && !aEntry.mIsReplaced &&
           !aEntry.mRoleOrder;
  }
  bool InGrace(Instant aNow) const { return aNow < mGraceEnds; }
  void Drop(const std::string& aId);

  Duration mGrace;
  Instant mGraceEnds;
  std::uint64_t mRevision = 0;
  std::map<std::string, Entry> mEntries;
  /** Ids by service. */
  std::map<std::string, std::vector<std::string>> mServices;
  ChangeSignal mOnChange;
};

} // namespace bulrushfold

#endif
