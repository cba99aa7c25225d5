#include "Policy/PairSelector.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Endpoints looked at of each role. More than eight change the expected cost of
// the best one little, and 8 x 8 pairs take a few microseconds.
constexpr std::size_t kSample = 8;
constexpr std::size_t kMaxPrefixHolders = 3;
// Random part of the cost of an endpoint, in seconds.
constexpr double kJitterSeconds = 0.01;
// Cost of a full decode engine over an empty one, in seconds: streams on an
// engine with a small batch are faster.
constexpr double kOccupancySeconds = 0.1;
// Cost of decoding on an engine that also computes prompts, in seconds: both
// kinds of work slow each other down. A stalled or full path costs more.
constexpr double kMixedSeconds = 0.5;
// Steps that a decode engine needs until the first token is delivered.
constexpr double kFirstTokenSteps = 1.5;
} // namespace

PairSelector::PairSelector(EndpointTable& aEndpoints,
                           const PrefixIndex& aPrefixes,
                           const LinkSchedule& aLinks,
                           const CostModel& aCosts,
                           Random& aRandom)
  : mEndpoints(aEndpoints)
  , mPrefixes(aPrefixes)
  , mLinks(aLinks)
  , mCosts(aCosts)
  , mRandom(aRandom)
{
}

bool
PairSelector::IsUsable(const EndpointView& aView,
                       const std::vector<std::string>& aExcluded,
                       Instant aNow) const
{
  const auto& name = aView.mConfig.mName;
  return std::find(aExcluded.begin(), aExcluded.end(), name) ==
           aExcluded.end() &&
         mEndpoints.Allows(aView, aNow);
}

void
PairSelector::Sample(const std::vector<EndpointView*>& aPool,
                     const std::vector<std::string>& aExcluded,
                     Instant aNow,
                     std::vector<Candidate>& aCandidates)
{
  aCandidates.clear();
  const auto add = [&](EndpointView* aView) {
    if (IsUsable(*aView, aExcluded, aNow)) {
      aCandidates.push_back({ aView });
    }
  };
  if (aPool.size() <= 2 * kSample) {
    std::for_each(aPool.begin(), aPool.end(), add);
    return;
  }
  // A random start and a random stride visit distinct places of the pool.
  const std::size_t start = mRandom.UniformBelow(aPool.size());
  const std::size_t stride =
    1 + mRandom.UniformBelow(aPool.size() / kSample - 1);
  for (std::size_t n = 0; n < kSample; ++n) {
    add(aPool[(start + n * stride) % aPool.size()]);
  }
}

void
PairSelector::AddPrefixHolders(const std::vector<PrefixIndex::Hit>& aHits,
                               const ModelRequest& aRequest,
                               const std::vector<std::string>& aExcluded,
                               Instant aNow,
                               std::vector<Candidate>& aCandidates)
{
  for (const auto& hit : aHits) {
    EndpointView* view = mEndpoints.FindById(hit.mEndpoint);
    if (view == nullptr || !view->mConfig.CanPrefill() ||
        view->mConfig.mState != EndpointState::Live ||
        !view->mConfig.Serves(aRequest.mModel) ||
        !IsUsable(*view, aExcluded, aNow)) {
      continue;
    }
    const bool isKnown = std::any_of(
      aCandidates.begin(), aCandidates.end(), [view](const Candidate& aItem) {
        return aItem.mView == view;
      });
    if (!isKnown) {
      aCandidates.push_back({ view });
    }
  }
}

void
PairSelector::RatePrefill(const ModelRequest& aRequest,
                          const std::vector<PrefixIndex::Hit>& aHits,
                          Instant aNow,
                          Candidate& aCandidate)
{
  const EndpointView& view = *aCandidate.mView;
  double cached = 0;
  for (const auto& hit : aHits) {
    if (hit.mEndpoint == view.mId) {
      cached = hit.mTokens;
    }
  }
  const double prompt = static_cast<double>(aRequest.mPromptTokens);
  const double computed =
    std::max(1.0, prompt - mPreset.mPrefixWeight * cached);
  aCandidate.mWork = mCosts.PrefillTime(
    aRequest.mModel, view.mSpeed, static_cast<std::uint64_t>(computed));
  aCandidate.mReadyIn = view.mLoad.PrefillWait(aNow) + aCandidate.mWork;
  aCandidate.mCost =
    ToSeconds(aCandidate.mWork) + kJitterSeconds * mRandom.UniformReal();
}

void
PairSelector::RateDecode(const ModelRequest& aRequest,
                         Instant aNow,
                         Candidate& aCandidate)
{
  const EndpointView& view = *aCandidate.mView;
  const double slots =
    std::max<double>(1, static_cast<double>(view.mLoad.Slots()));
  const double freeSlots = view.mLoad.FreeSlots();
  const double freePieces =
    view.mLoad.FreePieces() -
    static_cast<double>(PieceCount(aRequest.mPromptTokens));
  aCandidate.mReadyIn = view.mLoad.DecodeWait(aNow);
  aCandidate.mWork =
    mCosts.DecodeTime(aRequest.mModel, view.mSpeed, aRequest.mMaxTokens);
  if (freeSlots < 1 || freePieces < 0) {
    // One slot becomes free in the mean time between two completions.
    const double missing = std::max(1.0, 1 - freeSlots);
    aCandidate.mReadyIn =
      std::max(aCandidate.mReadyIn,
               FromSeconds(ToSeconds(aCandidate.mWork) * missing / slots));
  }
  aCandidate.mCost = kOccupancySeconds * (1 - freeSlots / slots) +
                     kJitterSeconds * mRandom.UniformReal();
  if (view.mConfig.mRole == EngineRole::Both) {
    aCandidate.mCost += kMixedSeconds;
  }
}

Duration
PairSelector::FirstTokenAfter(const ModelRequest& aRequest,
                              const EndpointView& aPrefill,
                              const Candidate& aDecode,
                              Duration aReadyIn,
                              Instant aNow) const
{
  Duration arrives = aReadyIn;
  if (&aPrefill != aDecode.mView) {
    arrives += mLinks.Estimate(
      aPrefill.mConfig.mLink,
      aDecode.mView->mConfig.mLink,
      mCosts.CacheBytes(aRequest.mModel, aRequest.mPromptTokens),
      aNow + aReadyIn);
  }
  const Duration step =
    FromSeconds(kFirstTokenSteps * ToSeconds(aDecode.mWork) /
                mCosts.OutputTokens(aRequest.mModel, aRequest.mMaxTokens));
  return std::max(arrives, aDecode.mReadyIn) + step;
}

double
PairSelector::Lateness(Duration aFirstToken, Duration aBudget) const
{
  if (aFirstToken <= aBudget) {
    return 0;
  }
  return mPreset.mGoodputWeight * (1 + ToSeconds(aFirstToken - aBudget));
}

std::optional<PairChoice>
PairSelector::Choose(const ModelRequest& aRequest,
                     const std::vector<std::string>& aExcluded,
                     Duration aBudget,
                     Instant aNow)
{
  const EndpointPool* pool = mEndpoints.PoolOf(aRequest.mModel);
  if (pool == nullptr) {
    return std::nullopt;
  }
  const auto hits = mPrefixes.Find(aRequest.mPrefixes, kMaxPrefixHolders);
  Sample(pool->mPrefill, aExcluded, aNow, mPrefillCandidates);
  AddPrefixHolders(hits, aRequest, aExcluded, aNow, mPrefillCandidates);
  Sample(pool->mDecode, aExcluded, aNow, mDecodeCandidates);
  for (auto& it : mPrefillCandidates) {
    RatePrefill(aRequest, hits, aNow, it);
  }
  for (auto& it : mDecodeCandidates) {
    RateDecode(aRequest, aNow, it);
  }
  std::optional<PairChoice> best;
  for (const auto& prefill : mPrefillCandidates) {
    for (const auto& decode : mDecodeCandidates) {
      const Duration first = FirstTokenAfter(
        aRequest, *prefill.mView, decode, prefill.mReadyIn, aNow);
      // A cache that waits for a slot may be evicted.
      const Duration idle =
        std::max(Duration::zero(), decode.mReadyIn - prefill.mReadyIn);
      const double cost = ToSeconds(first) + prefill.mCost + decode.mCost +
                          mPreset.mWastedPrefillWeight * ToSeconds(idle) +
                          Lateness(first, aBudget);
      if (!best || cost < best->mCost) {
        best =
          PairChoice{ prefill.mView, decode.mView, first, prefill.mWork, cost };
      }
    }
  }
  return best;
}

std::optional<DecodeChoice>
PairSelector::ChooseDecode(const ModelRequest& aRequest,
                           const EndpointView& aPrefill,
                           Duration aReadyIn,
                           const std::vector<std::string>& aExcluded,
                           Duration aBudget,
                           Instant aNow)
{
  const EndpointPool* pool = mEndpoints.PoolOf(aRequest.mModel);
  if (pool == nullptr) {
    return std::nullopt;
  }
  Sample(pool->mDecode, aExcluded, aNow, mDecodeCandidates);
  std::optional<DecodeChoice> best;
  for (auto& it : mDecodeCandidates) {
    RateDecode(aRequest, aNow, it);
    const Duration first =
      FirstTokenAfter(aRequest, aPrefill, it, aReadyIn, aNow);
    const double cost = ToSeconds(first) + it.mCost + Lateness(first, aBudget);
    if (!best || cost < best->mCost) {
      best = DecodeChoice{ it.mView, first - aReadyIn, cost };
    }
  }
  return best;
}

} // namespace bulrushfold
