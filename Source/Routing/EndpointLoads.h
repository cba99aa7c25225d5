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
  /** Prompt tokens at a prefill engine that are not computed yet. */
  std::uint64_t mPrefillTokens = 0;

  bool IsEmpty() const { return mRequests == 0; }
};

/** Load that an endpoint stated in an answer. */
struct ReportedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

/** Work of one daemon at all endpoints, by endpoint. */
using EndpointWorks = std::map<std::string, EndpointWork>;

/**
 * Load of each endpoint: this daemon's work, which is exact, the work that
 * peers told of, and what the endpoint stated last.
 */
class EndpointLoads
{
public:
  // Work of this daemon.
  void Begin(const std::string& aEndpoint, const EndpointWork& aWork);
  void End(const std::string& aEndpoint, const EndpointWork& aWork);

  /** Replaces what aPeer told before. */
  void SetPeer(const std::string& aPeer, EndpointWorks aWorks);
  void RemovePeer(const std::string& aPeer);

  void OnLoadReport(const std::string& aEndpoint,
                    const ReportedLoad& aLoad,
                    Instant aNow);
  /** The endpoint is gone or restarted: nothing runs there. */
  void RemoveReport(const std::string& aEndpoint);

  /** Work of this daemon only. */
  EndpointWork Own(const std::string& aEndpoint) const;
  /** Work of this daemon and its peers. */
  EndpointWork Total(const std::string& aEndpoint) const;
  /** Requests at the endpoint, from all sources; the best estimate. */
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
    Instant mAt;
    /** Requests that were known when the report arrived. */
    std::uint32_t mKnown = 0;
  };

  EndpointWorks mOwn;
  std::map<std::string, EndpointWorks> mPeers;
  std::map<std::string, Report> mReports;
  sigc::signal<void(const EndpointWork&)> mOnOwnChange;
};

} // namespace bulrushfold

#endif
