#ifndef BULRUSHFOLD_DAEMON_REQUESTFILTERS_H
#define BULRUSHFOLD_DAEMON_REQUESTFILTERS_H

#include <string>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/FilterChain.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Continues the caller's trace or starts a new one (W3C trace context). */
class TraceFilter : public Filter
{
public:
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;
};

/** Authenticates the caller and finds the workspace of its token. */
class AuthenticationFilter : public Filter
{
public:
  explicit AuthenticationFilter(const Configuration& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  const Configuration& mConfiguration;
};

/** Parses the request and checks model, service and deadline. */
class ClassifyFilter : public Filter
{
public:
  ClassifyFilter(const Configuration& aConfiguration,
                 const LimitSettings& aLimits)
    : mConfiguration(aConfiguration)
    , mLimits(aLimits)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  bool ReadDeadline(const RequestPointer& aRequest) const;
  void ClassifyCompletion(const RequestPointer& aRequest,
                          CompletionKind aKind,
                          const Next& aNext) const;
  void ClassifyService(const RequestPointer& aRequest, const Next& aNext) const;

  const Configuration& mConfiguration;
  LimitSettings mLimits;
};

} // namespace bulrushfold

#endif
