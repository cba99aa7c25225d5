#include "Routing/EndpointLoads.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Age at which a stated load says nothing about the present any more. */
constexpr Duration kReportLifetime = std::chrono::milliseconds(300);

template<typename Number>
void
Subtract(Number& aFrom, Number aAmount)
{
  aFrom -= std::min(aFrom, aAmount);
}
} // namespace

void
EndpointLoads::Begin(const std::string& aEndpoint, const EndpointWork& aWork)
{
  EndpointWork& own = mOwn[aEndpoint];
  own.mRequests += aWork.mRequests;
  own.mPrefillTokens += aWork.mPrefillTokens;
  mOnOwnChange.emit(aWork);
}

void
EndpointLoads::End(const std::string& aEndpoint, const EndpointWork& aWork)
{
  const auto it = mOwn.find(aEndpoint);
  if (it == mOwn.end()) {
    return;
  }
  Subtract(it->second.mRequests, aWork.mRequests);
  Subtract(it->second.mPrefillTokens, aWork.mPrefillTokens);
  if (it->second.IsEmpty()) {
    mOwn.erase(it);
  }
  mOnOwnChange.emit(aWork);
}

void
EndpointLoads::SetPeer(const std::string& aPeer, EndpointWorks aWorks)
{
  mPeers[aPeer] = std::move(aWorks);
}

void
EndpointLoads::RemovePeer(const std::string& aPeer)
{
  mPeers.erase(aPeer);
}

void
EndpointLoads::OnLoadReport(const std::string& aEndpoint,
                            const ReportedLoad& aLoad,
                            Instant aNow)
{
  mReports[aEndpoint] = { aLoad, aNow, Total(aEndpoint).mRequests };
}

void
EndpointLoads::RemoveReport(const std::string& aEndpoint)
{
  mReports.erase(aEndpoint);
}

EndpointWork
EndpointLoads::Own(const std::string& aEndpoint) const
{
  const auto it = mOwn.find(aEndpoint);
  return it == mOwn.end() ? EndpointWork() : it->second;
}

EndpointWork
EndpointLoads::Total(const std::string& aEndpoint) const
{
  EndpointWork total = Own(aEndpoint);
  for (const auto& [peer, works] : mPeers) {
    if (const auto it = works.find(aEndpoint); it != works.end()) {
      total.mRequests += it->second.mRequests;
      total.mPrefillTokens += it->second.mPrefillTokens;
    }
  }
  return total;
}

double
EndpointLoads::Requests(const std::string& aEndpoint, Instant aNow) const
{
  const double known = Total(aEndpoint).mRequests;
  const auto it = mReports.find(aEndpoint);
  if (it == mReports.end() || aNow - it->second.mAt > kReportLifetime) {
    return known;
  }
  // The report is newer than what peers told, but older than own changes.
  const Report& report = it->second;
  const double stated = report.mLoad.mRunning + report.mLoad.mWaiting;
  return std::max(known, stated + known - report.mKnown);
}

} // namespace bulrushfold
