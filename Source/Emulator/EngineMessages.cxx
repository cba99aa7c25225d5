#include "Emulator/EngineMessages.h"

namespace bulrushfold {

using Json = nlohmann::json;

WorkId
ReadWorkId(const Json& aBody)
{
  return { aBody.at("request").get<std::string>(),
           aBody.at("attempt").get<std::uint64_t>() };
}

PrefillOrder
ReadPrefillOrder(const Json& aBody)
{
  PrefillOrder order;
  order.mWork = ReadWorkId(aBody);
  order.mOwner = aBody.at("owner").get<std::string>();
  order.mModel = aBody.at("model").get<std::string>();
  order.mAdapter = aBody.value("adapter", "");
  order.mPrompt = aBody.at("prompt").get<std::string>();
  order.mGenerated = aBody.value("generated", "");
  order.mOffset = aBody.value("offset", std::uint64_t{ 0 });
  order.mMaxTokens = aBody.at("max_tokens").get<std::uint64_t>();
  order.mPriority = aBody.value("priority", 0);
  return order;
}

TransferOrder
ReadTransferOrder(const Json& aBody)
{
  TransferOrder order;
  order.mWork = ReadWorkId(aBody);
  order.mOwner = aBody.at("owner").get<std::string>();
  order.mKv = aBody.at("kv").get<std::string>();
  // An invalid address stays empty, and the connection to it fails.
  ParseAddress(aBody.at("source").get<std::string>(), order.mSource);
  return order;
}

DecodeOrder
ReadDecodeOrder(const Json& aBody)
{
  DecodeOrder order;
  order.mWork = ReadWorkId(aBody);
  order.mOwner = aBody.value("owner", "");
  order.mKv = aBody.value("kv", "");
  order.mMaxTokens = aBody.at("max_tokens").get<std::uint64_t>();
  order.mOffset = aBody.value("offset", std::uint64_t{ 0 });
  order.mPriority = aBody.value("priority", 0);
  return order;
}

EngineOrder
ReadEngineOrder(const Json& aBody)
{
  EngineOrder order;
  order.mFencing = aBody.value("fencing", std::uint64_t{ 0 });
  order.mOrder = aBody.at("order").get<std::string>();
  order.mRole = aBody.value("role", "");
  order.mModel = aBody.value("model", "");
  order.mAdapter = aBody.value("adapter", "");
  return order;
}

} // namespace bulrushfold
