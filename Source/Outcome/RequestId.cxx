#include "Outcome/RequestId.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Base/Digest.h"
#include "Base/Identifiers.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kTagOffset = 15;
constexpr std::size_t kTagLength = 3;
constexpr std::uint64_t kTagMask = 0xfff;
constexpr std::size_t kReplicaCount = 2;

using RankedCandidates = std::vector<ReplicaCandidate>;

/** Sorts aLive by rendezvous weight for aTag, in descending order. */
RankedCandidates
Rank(std::uint32_t aTag, const std::vector<ReplicaCandidate>& aLive)
{
  std::vector<std::pair<std::uint64_t, const ReplicaCandidate*>> weighted;
  weighted.reserve(aLive.size());
  for (const auto& it : aLive) {
    weighted.emplace_back(Hash64(it.mDaemon, aTag), &it);
  }
  std::sort(weighted.begin(),
            weighted.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::make_pair(aRight.first, aRight.second->mDaemon) <
                     std::make_pair(aLeft.first, aLeft.second->mDaemon);
            });
  RankedCandidates ranked;
  ranked.reserve(weighted.size());
  for (const auto& it : weighted) {
    ranked.push_back(*it.second);
  }
  return ranked;
}

/**
 * Selects the first daemons of aRanked outside aDomain, then, if there are not
 * enough, the first ones in aDomain.
 */
std::vector<std::string>
SelectOutside(const RankedCandidates& aRanked,
              std::string_view aDomain,
              std::string_view aExcludedDaemon)
{
  std::vector<std::string> names;
  for (const bool isInside : { false, true }) {
    for (const auto& it : aRanked) {
      if (names.size() < kReplicaCount && it.mDaemon != aExcludedDaemon &&
          (it.mFailureDomain == aDomain) == isInside) {
        names.push_back(it.mDaemon);
      }
    }
  }
  return names;
}
} // namespace

std::string
MakeRequestId(WallTime aTime, Random& aRandom, std::string_view aDaemon)
{
  std::string id = MakeUuidV7(aTime, aRandom);
  const std::string tag =
    absl::StrCat(absl::Hex(DaemonTag(aDaemon), absl::kZeroPad3));
  return id.replace(kTagOffset, kTagLength, tag);
}

std::uint32_t
DaemonTag(std::string_view aDaemon)
{
  return static_cast<std::uint32_t>(Hash64(aDaemon) & kTagMask);
}

std::optional<std::uint32_t>
TagOfRequestId(std::string_view aRequestId)
{
  if (!UuidV7Time(aRequestId)) {
    return std::nullopt;
  }
  const auto digits = aRequestId.substr(kTagOffset, kTagLength);
  std::uint32_t tag = 0;
  if (!absl::SimpleHexAtoi(absl::string_view(digits.data(), digits.size()),
                           &tag)) {
    return std::nullopt;
  }
  return tag;
}

std::string
TraceIdOf(std::string_view aRequestId)
{
  std::string digits;
  for (const char c : aRequestId) {
    if (c != '-') {
      digits += c;
    }
  }
  return digits;
}

std::vector<std::string>
SelectReplicas(std::string_view aDaemon,
               std::string_view aFailureDomain,
               const std::vector<ReplicaCandidate>& aLive)
{
  return SelectOutside(
    Rank(DaemonTag(aDaemon), aLive), aFailureDomain, aDaemon);
}

std::vector<std::string>
SelectReplicaCandidates(std::string_view aRequestId,
                        const std::vector<ReplicaCandidate>& aLive)
{
  const auto tag = TagOfRequestId(aRequestId);
  if (!tag) {
    return {};
  }
  std::vector<std::string> names;
  std::set<std::string> seen;
  const auto add = [&](const std::string& aName) {
    if (seen.insert(aName).second) {
      names.push_back(aName);
    }
  };
  std::set<std::string> domains;
  for (const auto& it : aLive) {
    domains.insert(it.mFailureDomain);
    if (DaemonTag(it.mDaemon) == *tag) {
      add(it.mDaemon);
    }
  }
  const RankedCandidates ranked = Rank(*tag, aLive);
  std::vector<std::string> entryDaemons = names;
  // An empty name stands for an entry daemon that is no longer live, of which
  // only the tag is known.
  entryDaemons.emplace_back();
  for (const auto& domain : domains) {
    for (const auto& entryDaemon : entryDaemons) {
      for (const auto& it : SelectOutside(ranked, domain, entryDaemon)) {
        add(it);
      }
    }
  }
  return names;
}

} // namespace bulrushfold
