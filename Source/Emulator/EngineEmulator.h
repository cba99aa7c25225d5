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

/** A model engine over HTTP, for tests. */
class EngineEmulator
{
public:
  /** aCrash ends the process; tests pass a hook that only records the call. */
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
  /** False after new work was refused. */
  bool AdmitWork(const Call& aCall, const WorkId& aWork, bool aHasRole);
  /** Ends caches that no prefill, import or stream refers to. */
  std::size_t CancelIdle(const std::string& aRequest, std::uint64_t aAttempt);
  void TakeLoadReport();

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
  /** What GET /engine/load reports, and when it was true. */
  nlohmann::json mLoadReport;
  Instant mLoadTakenAt;
  EventHandle mLoadTimer;
  bool mRefuses = false;
  EmulatorServer mServer;
};

} // namespace bulrushfold

#endif
