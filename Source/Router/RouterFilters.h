#ifndef BULRUSHFOLD_ROUTER_ROUTERFILTERS_H
#define BULRUSHFOLD_ROUTER_ROUTERFILTERS_H

#include <functional>
#include <memory>
#include <vector>

#include "Base/Random.h"
#include "Router/AnswerWriter.h"
#include "Router/RoutedRequest.h"
#include "Router/RouterServices.h"

namespace bulrushfold {

/** One step in the processing of a request. */
class RouterFilter
{
public:
  virtual ~RouterFilter() = default;
  /** Returns true when the next filter shall process the request, and false
   * when this one answered it or started a session for it. */
  virtual bool Handle(const RoutedRequestPointer& aRequest) = 0;
};

/** Runs filters in the order in which they were added. */
class RouterFilterChain
{
public:
  void Add(std::unique_ptr<RouterFilter> aFilter)
  {
    mFilters.push_back(std::move(aFilter));
  }
  void Run(const RoutedRequestPointer& aRequest);

private:
  std::vector<std::unique_ptr<RouterFilter>> mFilters;
};

/** Finds the route and service of the request and sets its deadline. */
class RouteFilter : public RouterFilter
{
public:
  /** Returns the current routes; null before the first configuration. */
  using TableSource = std::function<std::shared_ptr<const RouteTable>()>;

  RouteFilter(RouterServices& aServices, Random& aRandom, TableSource aTable);
  bool Handle(const RoutedRequestPointer& aRequest) override;

private:
  void Refuse(const RoutedRequestPointer& aRequest, const Refusal& aRefusal);

  RouterServices& mServices;
  Random& mRandom;
  TableSource mTable;
};

/** Refuses requests that have crashed endpoints, and those with a prompt part
 * that did. */
class CrashFilter : public RouterFilter
{
public:
  explicit CrashFilter(RouterServices& aServices)
    : mServices(aServices)
  {
  }
  bool Handle(const RoutedRequestPointer& aRequest) override;

private:
  RouterServices& mServices;
};

/** Refuses requests that a stopping daemon could not finish. */
class StopFilter : public RouterFilter
{
public:
  /** True when a new request with these parameters could not be finished. */
  using RefusalCheck = std::function<bool(const CallParameters&)>;

  StopFilter(RouterServices& aServices, RefusalCheck aIsRefused);
  bool Handle(const RoutedRequestPointer& aRequest) override;

private:
  RouterServices& mServices;
  RefusalCheck mIsRefused;
};

/** Starts a session for the request. */
class DispatchFilter : public RouterFilter
{
public:
  explicit DispatchFilter(RouterServices& aServices)
    : mServices(aServices)
  {
  }
  bool Handle(const RoutedRequestPointer& aRequest) override;

private:
  bool IsModelRequest(const RoutedRequest& aRequest) const;
  void StartStream(const RoutedRequestPointer& aRequest);

  RouterServices& mServices;
};

} // namespace bulrushfold

#endif
