#include "Routing/StreamRuns.h"

#include <utility>

namespace bulrushfold {

void
StreamRuns::Add(const StreamRun& aRun)
{
  mOwn[aRun.mNumber] = aRun;
  HandleOwnChange();
}

void
StreamRuns::OnStarted(std::uint64_t aNumber, Instant aNow)
{
  const auto it = mOwn.find(aNumber);
  if (it != mOwn.end() && !it->second.mStartedAt) {
    it->second.mStartedAt = aNow;
    HandleOwnChange();
  }
}

void
StreamRuns::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  if (const auto it = mOwn.find(aNumber); it != mOwn.end()) {
    it->second.mEndpoint = aEndpoint;
    HandleOwnChange();
  }
}

void
StreamRuns::Remove(std::uint64_t aNumber)
{
  if (mOwn.erase(aNumber) > 0) {
    HandleOwnChange();
  }
}

void
StreamRuns::HandleOwnChange()
{
  mIsIndexed = false;
  mOnOwnChange.emit();
}

void
StreamRuns::SetPeer(const std::string& aPeer, std::vector<StreamRun> aRuns)
{
  mIsIndexed = false;
  mPeers[aPeer] = std::move(aRuns);
}

void
StreamRuns::RemovePeer(const std::string& aPeer)
{
  mIsIndexed = false;
  mPeers.erase(aPeer);
}

const std::vector<const StreamRun*>&
StreamRuns::At(const std::string& aEndpoint) const
{
  if (!mIsIndexed) {
    mIsIndexed = true;
    mIndex.clear();
    for (const auto& [number, run] : mOwn) {
      mIndex[run.mEndpoint].push_back(&run);
    }
    for (const auto& [peer, runs] : mPeers) {
      for (const auto& it : runs) {
        mIndex[it.mEndpoint].push_back(&it);
      }
    }
  }
  static const std::vector<const StreamRun*> sNoRuns;
  const auto it = mIndex.find(aEndpoint);
  return it == mIndex.end() ? sNoRuns : it->second;
}

std::vector<const StreamRun*>
StreamRuns::WithPrompt(std::uint64_t aKey) const
{
  std::vector<const StreamRun*> found;
  for (const auto& [number, run] : mOwn) {
    if (run.mPromptKey == aKey) {
      found.push_back(&run);
    }
  }
  for (const auto& [peer, runs] : mPeers) {
    for (const auto& it : runs) {
      if (it.mPromptKey == aKey) {
        found.push_back(&it);
      }
    }
  }
  return found;
}

std::vector<StreamRun>
StreamRuns::RunsOf(const std::string& aPeer) const
{
  const auto it = mPeers.find(aPeer);
  return it == mPeers.end() ? std::vector<StreamRun>() : it->second;
}

} // namespace bulrushfold
