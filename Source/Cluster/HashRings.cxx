#include "Cluster/HashRings.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
/** Finalizer of MurmurHash3, which mixes the hashes of a key and a member. */
std::uint64_t
Mix(std::uint64_t aKey, std::uint64_t aMember)
{
  constexpr unsigned kShift = 33;
  std::uint64_t value = aKey ^ (aMember * 0x9e3779b97f4a7c15);
  value = (value ^ (value >> kShift)) * 0xff51afd7ed558ccd;
  value = (value ^ (value >> kShift)) * 0xc4ceb9fe1a85ec53;
  return value ^ (value >> kShift);
}

/** Orders equal hashes by name, so that all daemons compute the same order. */
struct BeforeOnRing
{
  template<typename Position>
  bool operator()(const Position& aLeft, const Position& aRight) const
  {
    return aLeft.first != aRight.first ? aLeft.first < aRight.first
                                       : *aLeft.second < *aRight.second;
  }
};

void
AppendUnique(std::vector<std::string>& aNames, const std::string& aName)
{
  if (std::find(aNames.begin(), aNames.end(), aName) == aNames.end()) {
    aNames.push_back(aName);
  }
}
} // namespace

HashRings::HashRings(std::size_t aRingCount)
  : mRings(aRingCount)
{
}

void
HashRings::Insert(const std::string& aName, const std::string& aFailureDomain)
{
  const auto [it, isNew] =
    mMembers.insert({ aName, Member{ aFailureDomain, Hash64(aName) } });
  if (!isNew) {
    mRevision += it->second.mFailureDomain != aFailureDomain ? 1 : 0;
    it->second.mFailureDomain = aFailureDomain;
    return;
  }
  ++mRevision;
  for (std::size_t i = 0; i < mRings.size(); ++i) {
    const Position position{ Hash64(aName, i + 1), &it->first };
    auto& ring = mRings[i];
    ring.insert(
      std::lower_bound(ring.begin(), ring.end(), position, BeforeOnRing()),
      position);
  }
}

void
HashRings::Remove(const std::string& aName)
{
  const auto it = mMembers.find(aName);
  if (it == mMembers.end()) {
    return;
  }
  ++mRevision;
  for (std::size_t i = 0; i < mRings.size(); ++i) {
    const Position position{ Hash64(aName, i + 1), &it->first };
    auto& ring = mRings[i];
    ring.erase(
      std::lower_bound(ring.begin(), ring.end(), position, BeforeOnRing()));
  }
  mMembers.erase(it);
}

bool
HashRings::Contains(const std::string& aName) const
{
  return mMembers.count(aName) != 0;
}

std::vector<std::string>
HashRings::Successors(const std::string& aName) const
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < mRings.size() && !mMembers.empty(); ++i) {
    const auto& ring = mRings[i];
    const Position position{ Hash64(aName, i + 1), &aName };
    auto it =
      std::upper_bound(ring.begin(), ring.end(), position, BeforeOnRing());
    it = it == ring.end() ? ring.begin() : it;
    if (*it->second != aName) {
      AppendUnique(names, *it->second);
    }
  }
  return names;
}

std::vector<std::string>
HashRings::Predecessors(const std::string& aName) const
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < mRings.size() && !mMembers.empty(); ++i) {
    const auto& ring = mRings[i];
    const Position position{ Hash64(aName, i + 1), &aName };
    auto it =
      std::lower_bound(ring.begin(), ring.end(), position, BeforeOnRing());
    it = it == ring.begin() ? std::prev(ring.end()) : std::prev(it);
    if (*it->second != aName) {
      AppendUnique(names, *it->second);
    }
  }
  return names;
}

std::string
HashRings::Owner(std::string_view aKey) const
{
  const std::uint64_t key = Hash64(aKey);
  std::uint64_t best = 0;
  const std::string* owner = nullptr;
  for (const auto& [name, member] : mMembers) {
    const std::uint64_t rank = Mix(key, member.mHash);
    if (owner == nullptr || rank > best) {
      best = rank;
      owner = &name;
    }
  }
  return owner == nullptr ? std::string() : *owner;
}

std::vector<HashRings::Ranked>
HashRings::Rank(std::string_view aKey, const std::string* aDomain) const
{
  const std::uint64_t key = Hash64(aKey);
  std::vector<Ranked> ranked;
  for (const auto& it : mMembers) {
    if (aDomain == nullptr || it.second.mFailureDomain == *aDomain) {
      ranked.emplace_back(Mix(key, it.second.mHash), &it);
    }
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Ranked& aLeft, const Ranked& aRight) {
              return aLeft.first != aRight.first
                       ? aLeft.first > aRight.first
                       : aLeft.second->first < aRight.second->first;
            });
  return ranked;
}

std::vector<std::string>
HashRings::SelectAcrossDomains(std::string_view aKey,
                               std::size_t aCount,
                               const std::string& aExcludedDomain) const
{
  std::vector<std::string> names;
  std::set<std::string> domains{ aExcludedDomain };
  for (const auto& [rank, member] : Rank(aKey, nullptr)) {
    if (names.size() == aCount) {
      break;
    }
    if (domains.insert(member->second.mFailureDomain).second) {
      names.push_back(member->first);
    }
  }
  return names;
}

std::vector<std::string>
HashRings::SelectWithinDomain(std::string_view aKey,
                              std::size_t aCount,
                              const std::string& aFailureDomain) const
{
  std::vector<std::string> names;
  for (const auto& [rank, member] : Rank(aKey, &aFailureDomain)) {
    if (names.size() == aCount) {
      break;
    }
    names.push_back(member->first);
  }
  return names;
}

std::set<std::string>
HashRings::FailureDomains() const
{
  std::set<std::string> domains;
  for (const auto& [name, member] : mMembers) {
    domains.insert(member.mFailureDomain);
  }
  return domains;
}

std::string
HashRings::FailureDomainOf(const std::string& aName) const
{
  const auto it = mMembers.find(aName);
  return it == mMembers.end() ? std::string() : it->second.mFailureDomain;
}

std::vector<std::string>
HashRings::Names() const
{
  std::vector<std::string> names;
  names.reserve(mMembers.size());
  for (const auto& [name, member] : mMembers) {
    names.push_back(name);
  }
  return names;
}

const std::string&
HashRings::NameAt(std::size_t aIndex) const
{
  return *mRings.front()[aIndex].second;
}

} // namespace bulrushfold
