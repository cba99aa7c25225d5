#include "Emulator/EmulatorServer.h"

#include <utility>

namespace bulrushfold {

namespace {
bool
IsTestCall(const HttpRequest& aRequest)
{
  return aRequest.mPath == "/faults" || aRequest.mPath == "/stats" ||
         aRequest.mPath == "/runs" ||
         (aRequest.mPath == "/vms" && aRequest.mMethod == HttpMethod::Put);
}
} // namespace

EmulatorServer::EmulatorServer(EventLoop& aLoop,
                               Handler aHandler,
                               std::string aIncarnation)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mIncarnation(std::move(aIncarnation))
  , mControlGroup(std::make_shared<ConnectionGroup>())
{
  mControlGroup->mIncarnation = mIncarnation;
}

EmulatorServer::~EmulatorServer()
{
  mDelayed.clear();
  for (auto& it : mListeners) {
    it.mServer.reset();
    it.mGroup->mOpenExchanges.clear();
  }
}

absl::Status
EmulatorServer::Listen(const SocketAddress& aAddress)
{
  mAddress = aAddress;
  return StartListener();
}

absl::Status
EmulatorServer::StartListener()
{
  Listener listener;
  listener.mGroup = std::make_shared<ConnectionGroup>();
  listener.mGroup->mIncarnation = mIncarnation;
  HttpServerLimits limits;
  limits.mWriteTimeout = std::chrono::minutes(10);
  listener.mServer = std::make_unique<HttpServer>(
    mLoop,
    limits,
    [this, group = listener.mGroup](std::shared_ptr<HttpExchange> aExchange) {
      Accept(std::move(aExchange), group);
    });
  absl::Status status = listener.mServer->Listen(mAddress);
  if (status.ok()) {
    mListeners.push_back(std::move(listener));
  }
  return status;
}

absl::Status
EmulatorServer::SilenceOpenConnections()
{
  if (mListeners.empty()) {
    return absl::OkStatus();
  }
  // The old server keeps its connections open; a new server listens on the
  // address.
  mListeners.back().mGroup->mIsSilent = true;
  mListeners.back().mServer->StopListening();
  return StartListener();
}

absl::Status
EmulatorServer::SetSilent(bool aIsSilent)
{
  const bool wasSilent = std::exchange(mIsSilent, aIsSilent);
  return aIsSilent && !wasSilent ? SilenceOpenConnections() : absl::OkStatus();
}

void
EmulatorServer::Accept(std::shared_ptr<HttpExchange> aExchange,
                       const std::shared_ptr<ConnectionGroup>& aGroup)
{
  if (IsTestCall(aExchange->Request())) {
    Handle(std::make_shared<EmulatorCall>(std::move(aExchange), mControlGroup));
    return;
  }
  if (mIsSilent || aGroup->mIsSilent) {
    aGroup->KeepOpen(std::move(aExchange));
    return;
  }
  auto call = std::make_shared<EmulatorCall>(std::move(aExchange), aGroup);
  if (mDelay.count() > 0) {
    Delay(std::move(call));
  } else {
    Handle(call);
  }
}

void
EmulatorServer::Delay(std::shared_ptr<EmulatorCall> aCall)
{
  const std::uint64_t id = mNextDelayed++;
  mDelayed[id] = mLoop.After(mDelay, [this, id, call = std::move(aCall)] {
    auto timer = mDelayed.extract(id);
    Handle(call);
  });
}

void
EmulatorServer::Handle(const std::shared_ptr<EmulatorCall>& aCall)
{
  try {
    mHandler(aCall);
  } catch (const nlohmann::json::exception& e) {
    aCall->ReplyProblem(HttpStatus::BadRequest, "invalid_request", e.what());
  }
}

} // namespace bulrushfold
