#ifndef BULRUSHFOLD_CLUSTER_HASHRINGS_H
#define BULRUSHFOLD_CLUSTER_HASHRINGS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushfold {

/**
 * Number of rings on which news is forwarded. With 5% loss and 3,500 daemons, 3
 * rings leave 0.35 daemons without an update, 4 rings 0.05, 5 rings none of 20
 * updates; each ring costs one message for each daemon and update.
 */
constexpr std::size_t kRingCount = 4;

/**
 * Live daemons on several rings, each in the order of its own hash, and
 * rendezvous hashing of keys over them. All daemons with the same members
 * compute the same result.
 */
class HashRings
{
public:
  explicit HashRings(std::size_t aRingCount = kRingCount);

  /** Adds a daemon or changes its failure domain. */
  void Insert(const std::string& aName, const std::string& aFailureDomain);
  void Remove(const std::string& aName);
  bool Contains(const std::string& aName) const;
  std::size_t Size() const { return mMembers.size(); }
  /** Increases with each change of the members; results may be kept while it
   * stays the same. */
  std::uint64_t Revision() const { return mRevision; }

  /**
   * The next daemon after aName on each ring, without aName and duplicates.
   * aName need not be a member.
   */
  std::vector<std::string> Successors(const std::string& aName) const;
  /** The daemons that have aName among their successors. */
  std::vector<std::string> Predecessors(const std::string& aName) const;

  /** Rendezvous hashing: the daemon of aKey; empty when there is none. */
  std::string Owner(std::string_view aKey) const;
  /**
   * The aCount first daemons of aKey in different failure domains, none of
   * them in aExcludedDomain; fewer when there are not enough domains.
   */
  std::vector<std::string> SelectAcrossDomains(
    std::string_view aKey,
    std::size_t aCount,
    const std::string& aExcludedDomain = {}) const;
  /** The aCount first daemons of aKey within aFailureDomain. */
  std::vector<std::string> SelectWithinDomain(
    std::string_view aKey,
    std::size_t aCount,
    const std::string& aFailureDomain) const;

  /** Failure domains with at least one member. */
  std::set<std::string> FailureDomains() const;
  /** Failure domain of a member; empty when aName is none. */
  std::string FailureDomainOf(const std::string& aName) const;
  /** All members in the order of their names. */
  std::vector<std::string> Names() const;
  /** The member at aIndex, 0 to Size() - 1, in no particular order. */
  const std::string& NameAt(std::size_t aIndex) const;

private:
  struct Member
  {
    std::string mFailureDomain;
    std::uint64_t mHash = 0;
  };
  using MemberMap = std::map<std::string, Member>;
  using Position = std::pair<std::uint64_t, const std::string*>;
  using Ranked = std::pair<std::uint64_t, const MemberMap::value_type*>;

  /** Members by rank for aKey, the first one first; only those of aDomain
   * unless it is null. */
  std::vector<Ranked> Rank(std::string_view aKey,
                           const std::string* aDomain) const;

  std::uint64_t mRevision = 0;
  MemberMap mMembers;
  /** Positions in ascending order; the names are keys of mMembers. */
  std::vector<std::vector<Position>> mRings;
};

} // namespace bulrushfold

#endif
