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
 * Number of rings on which updates are forwarded. With 5% message loss and
 * 3,500 daemons, an update does not reach 0.35 daemons on average with 3 rings
 * and 0.05 with 4 rings; with 5 rings, 20 updates reached all daemons. Each
 * ring costs one message per daemon and update.
 */
constexpr std::size_t kRingCount = 4;

/**
 * The live daemons, arranged on several rings with different hash orders, and
 * rendezvous hashing of keys to daemons. All daemons with the same members
 * compute the same results.
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
  /** Increases with each change of the members. Results stay valid while the
   * revision is the same. */
  std::uint64_t Revision() const { return mRevision; }

  /**
   * Returns the next daemon after aName on each ring, without duplicates and
   * without aName. aName need not be a member.
   */
  std::vector<std::string> Successors(const std::string& aName) const;
  /** Returns the daemons that have aName among their successors. */
  std::vector<std::string> Predecessors(const std::string& aName) const;

  /** Returns the daemon that rendezvous hashing selects for aKey; empty when
   * there are no members. */
  std::string Owner(std::string_view aKey) const;
  /**
   * Returns the aCount daemons with the highest rank for aKey in different
   * failure domains, except aExcludedDomain; fewer when there are not enough
   * domains.
   */
  std::vector<std::string> SelectAcrossDomains(
    std::string_view aKey,
    std::size_t aCount,
    const std::string& aExcludedDomain = {}) const;
  /** Returns the aCount daemons of aFailureDomain with the highest rank for
   * aKey. */
  std::vector<std::string> SelectWithinDomain(
    std::string_view aKey,
    std::size_t aCount,
    const std::string& aFailureDomain) const;

  /** Returns the failure domains with at least one member. */
  std::set<std::string> FailureDomains() const;
  /** Returns the failure domain of a member; empty when aName is not a
   * member. */
  std::string FailureDomainOf(const std::string& aName) const;
  /** Returns all members, ordered by name. */
  std::vector<std::string> Names() const;
  /** Returns the member at aIndex, 0 to Size() - 1, in an unspecified order. */
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

  /** Returns the members in descending order of their rank for aKey; only
   * those of aDomain unless it is null. */
  std::vector<Ranked> Rank(std::string_view aKey,
                           const std::string* aDomain) const;

  std::uint64_t mRevision = 0;
  MemberMap mMembers;
  /** Positions in ascending order. The names point to the keys of mMembers. */
  std::vector<std::vector<Position>> mRings;
};

} // namespace bulrushfold

#endif
