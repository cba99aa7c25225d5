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

/** The kind of work that an endpoint does. */
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

/** The registry's entry of one endpoint. */
struct EndpointRecord
{
  std::string mId;
  std::string mService;
  SocketAddress mAddress;
  std::string mFailureDomain;
  EndpointRole mRole = EndpointRole::General;
  bool mIsDraining = false;
  std::uint32_t mSlots = 1;
  /** Start time of the process; differs after a restart under the same id. */
  std::int64_t mIncarnation = 0;
  /** Version of its software, not of its models; empty: not stated. A stream
   * goes on only at the version that began it. */
  std::string mSoftware;

  bool operator==(const EndpointRecord& aOther) const
  {
    return mId == aOther.mId && mService == aOther.mService &&
           mAddress == aOther.mAddress &&
           mFailureDomain == aOther.mFailureDomain && mRole == aOther.mRole &&
           mIsDraining == aOther.mIsDraining && mSlots == aOther.mSlots &&
           mIncarnation == aOther.mIncarnation && mSoftware == aOther.mSoftware;
  }
};

/** A change of an endpoint's role that is being carried out. */
struct RoleOrder
{
  EndpointRole mRole = EndpointRole::Decode;
  /** If the role has not changed by this time, the order is dropped and the
   * endpoint is used in its old role again. */
  Instant mDeadline;
};

/** How an endpoint's entry in the directory changed. */
enum class EndpointChange
{
  Added,
  /** Another process runs under the same id. */
  Restarted,
  /** The endpoint drains and gets no new requests. */
  Draining,
  /** An answer of the endpoint states that it leaves; it gets no new requests,
   * whatever its entry says. */
  LeavingAnnounced,
  /** The endpoint asked for no requests for a time. */
  BackoffStarted,
  /** The endpoint may get new requests again. */
  Returned,
  /** The entry is missing after an outage of the registry and is kept for the
   * grace period. */
  Missing,
  /** Another endpoint answered at the address of this one. */
  Replaced,
  /** The endpoint was ordered to change its role and gets no new requests
   * until the change is done. */
  ChangingRole,
  RoleChanged,
  Removed,
};

std::string_view EndpointChangeName(EndpointChange aChange);

/**
 * The endpoints that the registry lists. An entry that is missing right after
 * an outage of the registry is kept for a grace period, because entries expire
 * during an outage although their endpoints still run.
 */
class EndpointDirectory
{
public:
  using ChangeSignal =
    sigc::signal<void(const EndpointRecord&, EndpointChange)>;

  /** aGracePeriod: time after an outage for which missing entries are kept. */
  explicit EndpointDirectory(Duration aGracePeriod);

  /** Replaces all entries by a list that was read at aRevision. */
  void Replace(const std::vector<EndpointRecord>& aRecords,
               std::uint64_t aRevision,
               Instant aNow);
  void Put(const EndpointRecord& aRecord,
           std::uint64_t aRevision,
           Instant aNow);
  /** The entry aId was removed, or no longer names an endpoint. */
  void Remove(const std::string& aId, std::uint64_t aRevision, Instant aNow);
  /**
   * Another endpoint answered at the address of aId, so the entry of aId is
   * out of date. aId is not used until its entry in the registry changes.
   */
  void OnAddressReused(const std::string& aId);
  /**
   * An answer of aId stated that the process aIncarnation leaves. aId gets no
   * new requests until its entry names another process or is removed. Without
   * effect when the entry names another process already.
   */
  void OnLeavingAnnounced(const std::string& aId, std::int64_t aIncarnation);
  /**
   * The process aIncarnation of aId asked for no requests before aUntil. The
   * time is never shortened; it ends when the entry names another process.
   * Without effect when the entry names another process already.
   */
  void OnBackoffRequested(const std::string& aId,
                          std::int64_t aIncarnation,
                          Instant aUntil);
  /** aId was ordered to change its role. */
  void OnRoleOrdered(const std::string& aId,
                     const RoleOrder& aOrder,
                     Instant aNow);
  /** True while aId gets no new requests because its role is changing. */
  bool IsChangingRole(const std::string& aId) const;
  /** Pending role changes, by endpoint id. */
  std::map<std::string, RoleOrder> RoleOrders(Instant aNow) const;
  /** The registry answers again after an outage. */
  void OnRegistryRecovered(Instant aNow);
  /** Drops missing entries after their grace period and role orders that had
   * no effect in time, and ends backoffs. */
  void Expire(Instant aNow);
  /** Time at which Expire must be called; empty when nothing can expire. */
  std::optional<Instant> NextExpiry() const;

  /** The entry of aId; null when there is none. */
  const EndpointRecord* Find(const std::string& aId) const;
  /** Version of the software of aId; empty when it is unknown. */
  std::string SoftwareOf(const std::string& aId) const;
  /** The entry of aId is missing after an outage of the registry. */
  bool IsMissing(const std::string& aId) const;
  /** aId asked for no requests at present. */
  bool IsInBackoff(const std::string& aId) const;
  /** End of the backoff of aId; empty when there is none. */
  std::optional<Instant> BackoffEnd(const std::string& aId) const;
  /** Earliest time at which a backoff ends and aService has an endpoint of
   * aRole that may get new requests; empty when it has one already, and when no
   * end of a backoff gives it one. */
  std::optional<Instant> FirstBackoffEnd(const std::string& aService,
                                         EndpointRole aRole) const;
  /** aId leaves, by its entry or by one of its answers. */
  bool IsLeaving(const std::string& aId) const;
  /** aId may get new requests. */
  bool IsUsable(const std::string& aId) const;
  /** aService has endpoints of aRole, and all of them leave. */
  bool AreAllLeaving(const std::string& aService, EndpointRole aRole) const;
  /** Endpoints of aService that may get new requests, valid until the next
   * change. */
  const std::vector<const EndpointRecord*>& Usable(const std::string& aService,
                                                   EndpointRole aRole) const;
  /** Endpoints of aService that may get new requests, or may get them after a
   * backoff. */
  std::vector<const EndpointRecord*> UsableOrInBackoff(
    const std::string& aService,
    EndpointRole aRole) const;
  std::size_t Size() const { return mEntries.size(); }
  /** Revision of the registry that the content reflects. */
  std::uint64_t Revision() const { return mRevision; }
  ChangeSignal& OnChange() { return mOnChange; }

private:
  struct Entry
  {
    EndpointRecord mRecord;
    /** End of the grace period; set while the registry lacks the entry. */
    std::optional<Instant> mDropAt;
    /** Another endpoint answered at the address of this one. */
    bool mIsReplaced = false;
    std::optional<RoleOrder> mRoleOrder;
    /** An answer of the endpoint stated that it leaves. */
    bool mHasAnnouncedLeaving = false;
    /** Set while the endpoint wants no requests. */
    std::optional<Instant> mBackoffEnd;
  };
  static bool IsLeaving(const Entry& aEntry)
  {
    return aEntry.mRecord.mIsDraining || aEntry.mHasAnnouncedLeaving;
  }
  static bool IsUsableOrInBackoff(const Entry& aEntry)
  {
    return !IsLeaving(aEntry) && !aEntry.mIsReplaced && !aEntry.mRoleOrder;
  }
  static bool IsUsable(const Entry& aEntry)
  {
    return IsUsableOrInBackoff(aEntry) && !aEntry.mBackoffEnd;
  }
  /** Endpoints of one service and role. */
  struct Pool
  {
    std::vector<const Entry*> mEntries;
    std::vector<const EndpointRecord*> mUsable;
  };

  /** The endpoints of aService with aRole, valid until the next change. */
  const Pool& PoolOf(const std::string& aService, EndpointRole aRole) const;
  bool IsInGracePeriod(Instant aNow) const { return aNow < mGracePeriodEnd; }
  void Drop(const std::string& aId);
  /** To be called when an entry of aService has changed. */
  void ForgetPools(const std::string& aService);

  Duration mGracePeriod;
  Instant mGracePeriodEnd;
  std::uint64_t mRevision = 0;
  std::map<std::string, Entry> mEntries;
  /** Ids by service. */
  std::map<std::string, std::vector<std::string>> mServices;
  /** Pools by service and role; built at the first lookup after a change, so
   * that a decision does not search for each entry. */
  mutable std::map<std::string, std::map<EndpointRole, Pool>> mPools;
  ChangeSignal mOnChange;
};

} // namespace bulrushfold

#endif
