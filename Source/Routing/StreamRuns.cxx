#include "Routing/StreamRuns.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

void
StreamRuns::Insert(const StreamRun& aRun)
{
  EndpointRuns& runs = mIndex[aRun.mEndpoint];
  runs.mRuns.push_back(&aRun);
  ++runs.mVersion;
}

void
StreamRuns::Erase(const StreamRun& aRun)
{
  EndpointRuns& runs = mIndex[aRun.mEndpoint];
  runs.mRuns.erase(std::remove(runs.mRuns.begin(), runs.mRuns.end(), &aRun),
                   runs.mRuns.end());
  ++runs.mVersion;
}

void
StreamRuns::Add(const StreamRun& aRun)
{
  const auto [it, isNew] = mOwn.try_emplace(aRun.mNumber);
  if (!isNew) {
    Erase(it->second);
  }
  it->second = aRun;
  Insert(it->second);
  mOnOwnChange.emit();
}

void
StreamRuns::OnStarted(std::uint64_t aNumber, Instant aNow)
{
  const auto it = mOwn.find(aNumber);
  if (it != mOwn.end() && !it->second.mStartedAt) {
    it->second.mStartedAt = aNow;
    ++mIndex[it->second.mEndpoint].mVersion;
    mOnOwnChange.emit();
  }
}

void
StreamRuns::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  if (const auto it = mOwn.find(aNumber); it != mOwn.end()) {
    Erase(it->second);
    it->second.mEndpoint = aEndpoint;
    Insert(it->second);
    mOnOwnChange.emit();
  }
}

void
StreamRuns::Remove(std::uint64_t aNumber)
{
  if (const auto it = mOwn.find(aNumber); it != mOwn.end()) {
    Erase(it->second);
    mOwn.erase(it);
    mOnOwnChange.emit();
  }
}

void
StreamRuns::SetPeer(const std::string& aPeer, std::vector<StreamRun> aRuns)
{
  std::vector<StreamRun>& runs = mPeers[aPeer];
  for (const auto& it : runs) {
    Erase(it);
  }
  runs = std::move(aRuns);
  for (const auto& it : runs) {
    Insert(it);
  }
}

void
StreamRuns::RemovePeer(const std::string& aPeer)
{
  SetPeer(aPeer, {});
  mPeers.erase(aPeer);
}

const std::vector<const StreamRun*>&
StreamRuns::At(const std::string& aEndpoint) const
{
  static const std::vector<const StreamRun*> sNoRuns;
  const auto it = mIndex.find(aEndpoint);
  return it == mIndex.end() ? sNoRuns : it->second.mRuns;
}

std::uint64_t
StreamRuns::VersionAt(const std::string& aEndpoint) const
{
  const auto it = mIndex.find(aEndpoint);
  return it == mIndex.end() ? 0 : it->second.mVersion;
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
