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
 * KV caches on their way to other engines. All of them share one link of
 * limited rate. A cache that was sent whole is removed here; one whose reader
 * went away is evicted as if nobody had taken it.
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
  /** Sends the next bytes; false when the export has ended. */
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
