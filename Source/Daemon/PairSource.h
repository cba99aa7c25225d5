#ifndef BULRUSHFOLD_DAEMON_PAIRSOURCE_H
#define BULRUSHFOLD_DAEMON_PAIRSOURCE_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Cluster/Configuration.h"
#include "Daemon/RequestContext.h"
#include "Serving/ModelCall.h"

namespace bulrushfold {

/** A request for a pair of endpoints. */
struct PairRequest
{
  std::string mRequestId;
  std::uint32_t mAttempt = 0;
  std::string mWorkspace;
  RequestClass mClass = RequestClass::Interactive;
  std::string mModel;
  std::string mPrompt;
  std::uint64_t mMaxTokens = 0;
  Instant mDeadline;
  std::vector<std::string> mExcluded;
};

/** Selects and reserves pairs of endpoints. */
class PairSource
{
public:
  /** Empty: no pair, and waiting longer makes no sense. */
  using Hook = std::function<void(std::optional<EndpointPair>)>;

  virtual ~PairSource() = default;
  virtual void Select(const PairRequest& aRequest, Hook aHook) = 0;
  /** Returns the reservation of an attempt; harmless when there is none. */
  virtual void Release(const std::string& aRequestId,
                       std::uint32_t aAttempt) = 0;
};

/** Picks the endpoints with the fewest attempts of this daemon. */
class LocalPairSource : public PairSource
{
public:
  explicit LocalPairSource(const Configuration& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }
  void Select(const PairRequest& aRequest, Hook aHook) override;
  void Release(const std::string& aRequestId, std::uint32_t aAttempt) override;

private:
  using AttemptKey = std::pair<std::string, std::uint32_t>;

  const Configuration& mConfiguration;
  std::map<std::string, int> mInFlight;
  std::map<AttemptKey, EndpointPair> mAttempts;
};

} // namespace bulrushfold

#endif
