#include "Cluster/ConfigCoverage.h"

namespace bulrushfold {

ConfigCoverage::ConfigCoverage(const Membership& aMembership,
                               const Dissemination& aDissemination)
  : mMembership(aMembership)
  , mDissemination(aDissemination)
{
}

void
ConfigCoverage::Start(const std::string& aChangeId,
                      const std::string& aKey,
                      std::uint64_t aVersion,
                      Instant aNow)
{
  Query query;
  query.mStatus.mKey = aKey;
  query.mStatus.mVersion = aVersion;
  query.mNextRound = aNow + kFirstQueryDelay;
  query.mDeadline = aNow + kTimeout;
  mQueries[aChangeId] = query;
  UpdateStatus(mQueries[aChangeId], aNow);
}

void
ConfigCoverage::OnDigest(const std::string& aFrom,
                         const wire::ConfigDigest& aMessage)
{
  for (auto& [id, query] : mQueries) {
    for (const auto& it : aMessage.versions) {
      if (it.version > 0 && it.key == query.mStatus.mKey &&
          static_cast<std::uint64_t>(it.version) >= query.mStatus.mVersion) {
        query.mConfirmed.insert(aFrom);
      }
    }
  }
}

void
ConfigCoverage::UpdateStatus(Query& aQuery, Instant aNow) const
{
  auto& status = aQuery.mStatus;
  status.mMissing.clear();
  status.mInForce =
    mDissemination.Version(status.mKey) >= status.mVersion ? 1 : 0;
  for (const auto& it : mMembership.LivePeers()) {
    if (aQuery.mConfirmed.count(it) != 0) {
      ++status.mInForce;
    } else {
      status.mMissing.push_back(it);
    }
  }
  status.mUnreachable = mMembership.UnreachablePeers();
  status.mIsFinal = status.mMissing.empty() || aNow >= aQuery.mDeadline;
}

void
ConfigCoverage::SendQueries(Query& aQuery, Instant aNow, Outbox& aOutbox) const
{
  if (aNow >= aQuery.mNextRound) {
    aQuery.mNextRound = aNow + kQueryInterval;
    aQuery.mRemaining = aQuery.mStatus.mMissing;
  }
  for (std::size_t i = 0; i < kQueriesPerTick && !aQuery.mRemaining.empty();
       ++i) {
    auto digest = mDissemination.MakeDigest(false, false);
    digest.askedKey = aQuery.mStatus.mKey;
    aOutbox.push_back({ aQuery.mRemaining.back(), std::move(digest) });
    aQuery.mRemaining.pop_back();
  }
}

Outbox
ConfigCoverage::Tick(Instant aNow)
{
  Outbox outbox;
  for (auto it = mQueries.begin(); it != mQueries.end();) {
    Query& query = it->second;
    if (!query.mStatus.mIsFinal) {
      UpdateStatus(query, aNow);
    }
    if (!query.mStatus.mIsFinal) {
      SendQueries(query, aNow, outbox);
    }
    const bool isExpired =
      query.mStatus.mIsFinal && aNow - query.mDeadline > kRetention;
    it = isExpired ? mQueries.erase(it) : std::next(it);
  }
  return outbox;
}

const CoverageStatus*
ConfigCoverage::Find(const std::string& aChangeId) const
{
  const auto it = mQueries.find(aChangeId);
  return it == mQueries.end() ? nullptr : &it->second.mStatus;
}

} // namespace bulrushfold
