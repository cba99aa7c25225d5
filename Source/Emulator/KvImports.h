#ifndef BULRUSHFOLD_EMULATOR_KVIMPORTS_H
#define BULRUSHFOLD_EMULATOR_KVIMPORTS_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Emulator/EmulatorCall.h"
#include "Emulator/EngineMessages.h"
#include "Emulator/EngineSettings.h"
#include "Emulator/KvTable.h"
#include "Net/HttpClient.h"

namespace bulrushfold {

/** Transfers of KV caches from other engines. */
class KvImports
{
public:
  using Call = std::shared_ptr<EmulatorCall>;

  KvImports(HttpClient& aClient,
            const EngineEmulatorSettings& aSettings,
            KvTable& aTable,
            EngineCounts& aCounts);

  /** Answers POST /engine/transfer. */
  void Start(const TransferOrder& aOrder, const Call& aCall);
  /** Ends the imports of aRequest; aAttempt 0 means all attempts. */
  std::size_t Cancel(const std::string& aRequest, std::uint64_t aAttempt);

private:
  struct Import
  {
    TransferOrder mOrder;
    Call mCall;
    std::string mKv;
    std::string mContent;
    bool mHasContent = false;
    std::uint64_t mBytes = 0;
    std::unique_ptr<HttpCall> mFetch;
  };
  void HandleHeaders(const WorkId& aWork,
                     int aStatus,
                     const HttpHeaders& aHeaders);
  void HandleChunk(const WorkId& aWork, std::string_view aData);
  void HandleDone(const WorkId& aWork, const HttpCallReply& aReply);
  void Finish(Import& aImport);
  void Fail(Import& aImport, const HttpCallReply& aReply);

  HttpClient& mClient;
  const EngineEmulatorSettings& mSettings;
  KvTable& mTable;
  EngineCounts& mCounts;
  std::map<WorkId, Import> mImports;
};

} // namespace bulrushfold

#endif
