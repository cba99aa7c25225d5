#ifndef BULRUSHFOLD_EMULATOR_ENGINEMESSAGES_H
#define BULRUSHFOLD_EMULATOR_ENGINEMESSAGES_H

#include <cstdint>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "Settings/Settings.h"

namespace bulrushfold {

/** One attempt of a request; identifies its work and memory in an engine. */
struct WorkId
{
  std::string mRequest;
  std::uint64_t mAttempt = 0;

  bool operator<(const WorkId& aOther) const
  {
    return std::tie(mRequest, mAttempt) <
           std::tie(aOther.mRequest, aOther.mAttempt);
  }
  bool operator==(const WorkId& aOther) const
  {
    return mRequest == aOther.mRequest && mAttempt == aOther.mAttempt;
  }
};

/** Body of POST /engine/prefill. */
struct PrefillOrder
{
  WorkId mWork;
  std::string mOwner;
  std::string mModel;
  std::string mAdapter;
  std::string mPrompt;
  std::string mGenerated;
  std::uint64_t mOffset = 0;
  std::uint64_t mMaxTokens = 0;
  int mPriority = 0;
};

/** Body of POST /engine/transfer. */
struct TransferOrder
{
  WorkId mWork;
  std::string mOwner;
  SocketAddress mSource;
  std::string mKv;
};

/** Body of POST /engine/decode. */
struct DecodeOrder
{
  WorkId mWork;
  std::string mOwner;
  std::string mKv;
  /** Length of the whole answer, including the tokens before mOffset. */
  std::uint64_t mMaxTokens = 0;
  std::uint64_t mOffset = 0;
  int mPriority = 0;
};

/** Body of POST /engine/order. */
struct EngineOrder
{
  std::uint64_t mFencing = 0;
  std::string mOrder;
  std::string mRole;
  std::string mModel;
  std::string mAdapter;
};

/** These parse a body and throw a JSON exception for an invalid member. */
WorkId ReadWorkId(const nlohmann::json& aBody);
PrefillOrder ReadPrefillOrder(const nlohmann::json& aBody);
TransferOrder ReadTransferOrder(const nlohmann::json& aBody);
DecodeOrder ReadDecodeOrder(const nlohmann::json& aBody);
EngineOrder ReadEngineOrder(const nlohmann::json& aBody);

} // namespace bulrushfold

#endif
