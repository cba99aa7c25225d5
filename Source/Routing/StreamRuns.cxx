#include "Routing/StreamRuns.h"

#include <utility>

namespace bulrushfold {

void
StreamRuns::Add(const StreamRun& aRun)
{
  mOwn[aRun.mNumber] = aRun;
  mOnOwnChange.emit();
}

void
StreamRuns::OnStarted(std::uint64_t aNumber, Instant aNow)
{
  const auto it = mOwn.find(aNumber);
  if (it != mOwn.end() && !it->second.mStartedAt) {
    it->second.mStartedAt = aNow;
    mOnOwnChange.emit();
  }
}

void
StreamRuns::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  if (const auto it = mOwn.find(aNumber); it != mOwn.end()) {
    it->second.mEndpoint = aEndpoint;
    mOnOwnChange.emit();
  }
}

void
StreamRuns::Remove(std::uint64_t aNumber)
{
  if (mOwn.erase(aNumber) > 0) {
    mOnOwnChange.emit();
  }
}

const StreamRun*
StreamRuns::FindOwn(std::uint64_t aNumber) const
{
  const auto it = mOwn.find(aNumber);
  return it == mOwn.end() ? nullptr : &it->second;
}

void
StreamRuns::SetPeer(const std::string& aPeer, std::vector<StreamRun> aRuns)
{
  mPeers[aPeer] = std::move(aRuns);
}

std::vector<const StreamRun*>
StreamRuns::At(const std::string& aEndpoint) const
{
  std::vector<const StreamRun*> runs;
  for (const auto& [number, run] : mOwn) {
    if (run.mEndpoint == aEndpoint) {
      runs.push_back(&run);
    }
  }
  for (const auto& [peer, peerRuns] : mPeers) {
    for (const auto& it : peerRuns) {
      if (it.mEndpoint == aEndpoint) {
        runs.push_back(&it);
      }
    }
  }
  return runs;
}

std::size_t
StreamRuns::CountAt(const std::string& aEndpoint) const
{
  return At(aEndpoint).size();
}

} // namespace bulrushfold
