#ifndef BULRUSHFOLD_EMULATOR_KVEXPORTS_H
#define BULRUSHFOLD_EMULATOR_KVEXPORTS_H

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "Emulator/EmulatorCall.h"
#include "Emulator/EngineSettings.h"
#include "Emulator/KvTable.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/**
 * Transfers of KV caches to other engines. All transfers share one link of
 * limited rate. A cache is removed when it was sent completely. When the reader
 * disconnects earlier, the eviction time of the cache starts again.
 */
class KvExports
{
public:
  using Call = std::shared_ptr<EmulatorCall>;

  KvExports(EventLoop& aLoop,
            const EngineEmulatorSettings& aSettings,
            KvTable& aTable,
            EngineCounts& aCounts);

  /** Answers GET /engine/kv/HANDLE. */
  void Start(const std::string& aKv, const Call& aCall);
  /** While true, transfers in progress send nothing. */
  void SetStalled(bool aIsStalled) { mIsStalled = aIsStalled; }

private:
  struct Export
  {
    std::string mKv;
    Call mCall;
    std::uint64_t mRemaining = 0;
  };
  void Tick();
  /** Sends up to aBytes bytes; false when the transfer has ended. */
  bool Advance(Export& aExport, std::uint64_t aBytes);

  EventLoop& mLoop;
  const EngineEmulatorSettings& mSettings;
  KvTable& mTable;
  EngineCounts& mCounts;
  bool mIsStalled = false;
  std::list<Export> mExports;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
