#ifndef BULRUSHFOLD_TESTS_EMULATOR_ENGINEFIXTURE_H
#define BULRUSHFOLD_TESTS_EMULATOR_ENGINEFIXTURE_H

#include <memory>
#include <string>

#include "Emulator/EngineEmulator.h"
#include "Emulator/TokenSource.h"
#include "EmulatorFixture.h"

namespace bulrushfold {

inline const std::string kPrompt = "a prompt of some length";

inline EngineEmulatorSettings
FastSettings(EngineRole aRole)
{
  EngineEmulatorSettings settings;
  settings.mAddress = FreeAddress();
  settings.mRole = aRole;
  settings.mModels = { "m" };
  settings.mSlots = 2;
  settings.mPieces = 10;
  settings.mPrefillTokensPerSecond = 1e6;
  settings.mTokenInterval = std::chrono::milliseconds(1);
  // Long enough that these do not expire in a test, unless it lowers them.
  settings.mEvictionTime = std::chrono::seconds(60);
  settings.mResumeTimeout = std::chrono::seconds(60);
  settings.mStallTimeout = std::chrono::milliseconds(100);
  settings.mLoadInterval = std::chrono::milliseconds(10);
  settings.mEventLag = Duration(0);
  settings.mEventLossProbability = 0;
  return settings;
}

inline nlohmann::json
Work(const std::string& aRequest, std::uint64_t aAttempt = 1)
{
  return { { "request", aRequest },
           { "attempt", aAttempt },
           { "owner", "daemon/1" } };
}

inline std::string
ExpectedText(std::uint64_t aFrom, std::uint64_t aTo)
{
  TokenSource source("m", kPrompt);
  std::string text;
  for (std::uint64_t i = aFrom; i < aTo; ++i) {
    text += source.Token(i);
  }
  return text;
}

/** A prefill and a decode engine, and the calls that a router makes to them. */
struct Engines
{
  explicit Engines(
    const EngineEmulatorSettings& aPrefill = FastSettings(EngineRole::Prefill),
    const EngineEmulatorSettings& aDecode = FastSettings(EngineRole::Decode))
    : mPrefillAddress(aPrefill.mAddress)
    , mDecodeAddress(aDecode.mAddress)
    , mPrefill(mLoop, mClock, mRandom, aPrefill, [this] { ++mCrashes; })
    , mDecode(mLoop, mClock, mRandom, aDecode, [this] { ++mCrashes; })
    , mCaller(mLoop)
  {
    REQUIRE(mPrefill.Listen().ok());
    REQUIRE(mDecode.Listen().ok());
  }

  HttpCallReply Prefill(nlohmann::json aWork,
                        const std::string& aPrompt = kPrompt,
                        const std::string& aModel = "m")
  {
    aWork["model"] = aModel;
    aWork["prompt"] = aPrompt;
    aWork["max_tokens"] = 10;
    return mCaller.Post(mPrefillAddress, "/engine/prefill", aWork);
  }
  HttpCallReply Transfer(nlohmann::json aWork, const std::string& aKv)
  {
    aWork["source"] = FormatAddress(mPrefillAddress);
    aWork["kv"] = aKv;
    return mCaller.Post(mDecodeAddress, "/engine/transfer", aWork);
  }
  std::unique_ptr<StreamedAnswer> Decode(nlohmann::json aWork,
                                         const std::string& aKv,
                                         std::uint64_t aMaxTokens,
                                         std::uint64_t aOffset = 0)
  {
    aWork["kv"] = aKv;
    aWork["max_tokens"] = aMaxTokens;
    aWork["offset"] = aOffset;
    return mCaller.Stream(
      mDecodeAddress, HttpMethod::Post, "/engine/decode", aWork.dump());
  }
  /** Prefills and transfers aWork; returns its handle at the decode engine. */
  std::string Prepare(const nlohmann::json& aWork)
  {
    const HttpCallReply prefill = Prefill(aWork);
    REQUIRE(prefill.mStatus == 200);
    const HttpCallReply transfer =
      Transfer(aWork, nlohmann::json::parse(prefill.mBody)["kv"]);
    REQUIRE(transfer.mStatus == 200);
    return nlohmann::json::parse(transfer.mBody)["kv"];
  }
  std::uint64_t PiecesUsed(const SocketAddress& aAddress)
  {
    return mCaller.Get(aAddress, "/stats")["pieces_used"];
  }
  std::uint64_t Count(const SocketAddress& aAddress, const std::string& aName)
  {
    return mCaller.Get(aAddress, "/stats")["calls"].value(aName, 0);
  }
  std::uint64_t Cancel(const SocketAddress& aAddress,
                       const nlohmann::json& aWork)
  {
    const auto reply = mCaller.Post(aAddress, "/engine/cancel", aWork);
    REQUIRE(reply.mStatus == 200);
    return nlohmann::json::parse(reply.mBody)["cancelled"];
  }
  bool Until(const std::function<bool()>& aCondition)
  {
    return Eventually(mLoop, aCondition);
  }

  EventLoop mLoop;
  SystemClock mClock;
  Random mRandom{ 1 };
  int mCrashes = 0;
  SocketAddress mPrefillAddress;
  SocketAddress mDecodeAddress;
  EngineEmulator mPrefill;
  EngineEmulator mDecode;
  TestCaller mCaller;
};

} // namespace bulrushfold

#endif
