#ifndef BULRUSHFOLD_ROUTING_ENDPOINTLOADS_H
#define BULRUSHFOLD_ROUTING_ENDPOINTLOADS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"

namespace bulrushfold {

/** Work of one or more daemons at one endpoint. */
struct EndpointWork
{
  std::uint32_t mRequests = 0;
  /** Tokens of the prefills that have not ended at the endpoint. */
  std::uint64_t mPrefillTokens = 0;

  bool IsEmpty() const { return mRequests == 0; }
};

/** Load that an endpoint reported in an answer. */
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

/** Work of one daemon at all endpoints, by endpoint. */
using EndpointWorks = std::map<std::string, EndpointWork>;

/**
 * Load of each endpoint from three sources: the work of this daemon, which is
 * exact, the work that peers reported, and the latest load report of the
 * endpoint.
 */
class EndpointLoads
{
public:
  // Work that this daemon starts and ends at an endpoint.
  void Begin(const std::string& aEndpoint, const EndpointWork& aWork);
  void End(const std::string& aEndpoint, const EndpointWork& aWork);

  /** Replaces the work that aPeer reported before. */
  void SetPeer(const std::string& aPeer, EndpointWorks aWorks);
  void RemovePeer(const std::string& aPeer);

  void OnLoadReport(const std::string& aEndpoint,
                    const ReportedLoad& aLoad,
                    Instant aNow);
  /** Removes the load report of an endpoint that was removed or restarted. */
  void RemoveReport(const std::string& aEndpoint);

  /** Work of this daemon only. */
  EndpointWork Own(const std::string& aEndpoint) const;
  /** Work of this daemon and its peers. */
  EndpointWork Total(const std::string& aEndpoint) const;
  /** Estimated number of requests at the endpoint, from all sources. */
  double Requests(const std::string& aEndpoint, Instant aNow) const;
  const EndpointWorks& OwnWorks() const { return mOwn; }
  /** Emitted with the work of this daemon that began or ended. */
  sigc::signal<void(const EndpointWork&)>& OnOwnChange()
  {
    return mOnOwnChange;
  }

private:
  struct Report
  {
    ReportedLoad mLoad;
    Instant mReceivedAt;
    /** Requests of this daemon and its peers when the report arrived. */
    std::uint32_t mCountedRequests = 0;
  };

  EndpointWorks mOwn;
  std::map<std::string, EndpointWorks> mPeers;
  std::map<std::string, Report> mReports;
  sigc::signal<void(const EndpointWork&)> mOnOwnChange;
};

} // namespace bulrushfold

#endif
