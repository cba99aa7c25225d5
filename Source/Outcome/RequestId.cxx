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
constexpr std::size_t kTagDigit = 15;
constexpr std::size_t kTagDigits = 3;
constexpr std::uint64_t kTagMask = 0xfff;
constexpr std::size_t kCopies = 2;

using Ranked = std::vector<ReplicaCandidate>;

/** aLive by rendezvous weight for aTag, heaviest first. */
Ranked
Rank(std::uint32_t aTag, const std::vector<ReplicaCandidate>& aLive)
{
  std::vector<std::pair<std::uint64_t, const ReplicaCandidate*>> weighted;
  weighted.reserve(aLive.size());
  for (const auto& it : aLive) {
    weighted.emplace_back(Hash64(it.mDaemon, aTag), &it);
  }
  std::sort(
    weighted.begin(), weighted.end(), [](const auto& aLeft, const auto& aIt) {
      return std::make_pair(aIt.first, aIt.second->mDaemon) <
             std::make_pair(aLeft.first, aLeft.second->mDaemon);
    });
  Ranked ranked;
  ranked.reserve(weighted.size());
  for (const auto& it : weighted) {
    ranked.push_back(*it.second);
  }
  return ranked;
}

/** The first daemons of aRanked outside aDomain, then inside it. */
std::vector<std::string>
FirstOutside(const Ranked& aRanked,
             std::string_view aDomain,
             std::string_view aExcept)
{
  std::vector<std::string> names;
  for (const bool inside : { false, true }) {
    for (const auto& it : aRanked) {
      if (names.size() < kCopies && it.mDaemon != aExcept &&
          (it.mFailureDomain == aDomain) == inside) {
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
  return id.replace(kTagDigit, kTagDigits, tag);
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
  const auto digits = aRequestId.substr(kTagDigit, kTagDigits);
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
  return FirstOutside(Rank(DaemonTag(aDaemon), aLive), aFailureDomain, aDaemon);
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
  const Ranked ranked = Rank(*tag, aLive);
  std::vector<std::string> owners = names;
  // The entry daemon may be gone, so that only its tag is known.
  owners.emplace_back();
  for (const auto& domain : domains) {
    for (const auto& owner : owners) {
      for (const auto& it : FirstOutside(ranked, domain, owner)) {
        add(it);
      }
    }
  }
  return names;
}

} // namespace bulrushfold
