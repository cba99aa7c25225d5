#ifndef BULRUSHFOLD_EMULATOR_ENGINEEMULATOR_H
#define BULRUSHFOLD_EMULATOR_ENGINEEMULATOR_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Emulator/CacheEvents.h"
#include "Emulator/CancelTable.h"
#include "Emulator/DecodeBatch.h"
#include "Emulator/EmulatorServer.h"
#include "Emulator/EngineSettings.h"
#include "Emulator/EngineState.h"
#include "Emulator/KvExports.h"
#include "Emulator/KvImports.h"
#include "Emulator/KvTable.h"
#include "Emulator/PrefillQueue.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

namespace bulrushfold {

/** Emulator of a model engine with an HTTP interface. */
class EngineEmulator
{
public:
  /** aCrash ends the process; in-process tests pass a function that returns. */
  EngineEmulator(EventLoop& aLoop,
                 const Clock& aClock,
                 Random& aRandom,
                 const EngineEmulatorSettings& aSettings,
                 std::function<void()> aCrash);

  absl::Status Listen();

private:
  using Call = std::shared_ptr<EmulatorCall>;
  using Handler = void (EngineEmulator::*)(const Call&);
  static Handler FindHandler(const HttpRequest& aRequest);

  void Handle(const Call& aCall);
  void HandlePrefill(const Call& aCall);
  void HandleTransfer(const Call& aCall);
  void HandleKv(const Call& aCall);
  void HandleDecode(const Call& aCall);
  void HandleCancel(const Call& aCall);
  void HandleOrder(const Call& aCall);
  void HandleStatus(const Call& aCall);
  void HandleLoad(const Call& aCall);
  void HandleHoldings(const Call& aCall);
  void HandleEvents(const Call& aCall);
  void HandleFaults(const Call& aCall);
  void HandleStats(const Call& aCall);
  /** Refuses the call and returns false if the engine accepts no such work. */
  bool AdmitWork(const Call& aCall, const WorkId& aWork, bool aHasRole);
  /** Frees the KV caches of aRequest that no prefill, import or stream uses. */
  std::size_t CancelIdle(const std::string& aRequest, std::uint64_t aAttempt);
  void UpdateLoadReport();

  const Clock& mClock;
  EngineEmulatorSettings mSettings;
  EngineCounts mCounts;
  HttpClient mClient;
  EngineState mState;
  KvTable mTable;
  CacheEvents mEvents;
  CancelTable mCancels;
  PrefillQueue mPrefills;
  KvExports mExports;
  KvImports mImports;
  DecodeBatch mBatch;
  /** Body of GET /engine/load, and the time at which it was measured. */
  nlohmann::json mLoadReport;
  Instant mLoadReportAt;
  EventHandle mLoadTimer;
  bool mRefusesWork = false;
  EmulatorServer mServer;
};

} // namespace bulrushfold

#endif
