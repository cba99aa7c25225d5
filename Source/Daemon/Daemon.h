#ifndef BULRUSHFOLD_DAEMON_DAEMON_H
#define BULRUSHFOLD_DAEMON_DAEMON_H

#include <memory>
#include <set>
#include <string>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Cluster/Configuration.h"
#include "Daemon/AdminChanges.h"
#include "Daemon/AdminServer.h"
#include "Daemon/BookingController.h"
#include "Daemon/CancelController.h"
#include "Daemon/ClusterController.h"
#include "Daemon/EngineClient.h"
#include "Daemon/FilterChain.h"
#include "Daemon/HoldingsController.h"
#include "Daemon/LimitController.h"
#include "Daemon/LoadController.h"
#include "Daemon/LookupSession.h"
#include "Daemon/ModelSession.h"
#include "Daemon/OutcomeController.h"
#include "Daemon/OwnerController.h"
#include "Daemon/RoutingController.h"
#include "Daemon/ServiceClient.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/PeerTransport.h"
#include "Outcome/Metrics.h"
#include "Platform/HttpObjectStore.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** One router process: construction and connection of its parts. */
class Daemon
{
public:
  explicit Daemon(const Settings& aSettings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Opens the listening sockets; the error names the address. */
  absl::Status Start();
  /** Runs until a planned stop is complete. */
  void Run() { mLoop.Run(); }

private:
  void AddFilters();
  void BeginRequest(const RequestPointer& aRequest);
  void HandleCaller(std::shared_ptr<HttpExchange> aExchange);
  bool AnswerHealth(HttpExchange& aExchange);
  std::string FormatMetrics();
  DaemonStatus Status() const;
  bool IsReady() const;
  /** Begins a planned stop: no new work, then exit when all is finished. */
  void BeginStop();
  void EndStopWhenIdle();

  Settings mSettings;
  SystemClock mClock;
  Random mRandom;
  EventLoop mLoop;
  std::string mIncarnation;
  /** "DAEMON/INCARNATION". */
  std::string mOwnerId;
  HttpClient mHttpClient;
  HttpObjectStore mStore;
  PeerTransport mTransport;
  Configuration mConfiguration;
  Metrics mMetrics;
  ClusterController mCluster;
  OutcomeController mOutcomes;
  EngineClient mEngines;
  CancelController mCancels;
  OwnerController mOwners;
  RoutingController mRouting;
  LoadController mLoads;
  HoldingsController mHoldings;
  ModelSessionServices mModelServices;
  ServiceClient mServiceClient;
  ServiceSessionServices mServiceServices;
  BookingController mBookings;
  LimitController mLimits;
  AdminChanges mChanges;
  AdminServer mAdminServer;
  FilterChain mChain;
  HttpServer mCallerServer;
  EventHandle mTermSignal;
  EventHandle mIntSignal;
  EventHandle mStopTimer;
  std::size_t mInProgress = 0;
  bool mIsStopping = false;
};

} // namespace bulrushfold

#endif
