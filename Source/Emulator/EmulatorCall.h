#ifndef BULRUSHFOLD_EMULATOR_EMULATORCALL_H
#define BULRUSHFOLD_EMULATOR_EMULATORCALL_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Net/HttpServer.h"

namespace bulrushfold {

/** Status codes that the emulators answer with. */
enum class HttpStatus
{
  Ok = 200,
  Created = 201,
  BadRequest = 400,
  NotFound = 404,
  Conflict = 409,
  Gone = 410,
  PreconditionFailed = 412,
  PayloadTooLarge = 413,
  PreconditionRequired = 428,
  TooManyRequests = 429,
  Unavailable = 503,
  GatewayTimeout = 504,
};

/**
 * Connections that become silent together. A silent connection stays open and
 * carries no further bytes.
 */
struct ConnectionGroup
{
  bool mIsSilent = false;
  /** Included in every answer unless empty. */
  std::string mIncarnation;
  /** Exchanges of silent connections, owned here so that they stay open. */
  std::vector<std::shared_ptr<HttpExchange>> mOpenExchanges;

  /** Keeps aExchange open without an answer. */
  void KeepOpen(std::shared_ptr<HttpExchange> aExchange);
};

/**
 * One request to an emulator. While its connection group is silent, all answers
 * are dropped and the connection stays open.
 */
class EmulatorCall
{
public:
  EmulatorCall(std::shared_ptr<HttpExchange> aExchange,
               std::shared_ptr<ConnectionGroup> aGroup);
  EmulatorCall(const EmulatorCall&) = delete;
  EmulatorCall& operator=(const EmulatorCall&) = delete;
  ~EmulatorCall();

  const HttpRequest& Request() const { return mExchange->Request(); }
  /** The body as a JSON object; throws a JSON exception for any other body. */
  nlohmann::json Body() const;

  void Reply(HttpStatus aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody);
  void ReplyJson(HttpStatus aStatus, const nlohmann::json& aBody);
  /** Answers with a problem document that also has the members of aExtra. */
  void ReplyProblem(HttpStatus aStatus,
                    std::string_view aCode,
                    std::string_view aDetail,
                    const nlohmann::json& aExtra = nlohmann::json::object());
  void StartStream(HttpStatus aStatus, const HttpHeaders& aHeaders);
  void SendChunk(std::string_view aData);
  void EndStream();
  void Abort();

  bool IsFinished() const { return mExchange->IsFinished(); }
  std::size_t PendingBytes() const { return mExchange->PendingBytes(); }
  void OnClosed(std::function<void()> aHook)
  {
    mExchange->OnClosed(std::move(aHook));
  }

private:
  HttpHeaders WithIncarnation(HttpHeaders aHeaders) const;
  bool IsSilent() const { return mGroup->mIsSilent; }

  std::shared_ptr<HttpExchange> mExchange;
  std::shared_ptr<ConnectionGroup> mGroup;
};

} // namespace bulrushfold

#endif
