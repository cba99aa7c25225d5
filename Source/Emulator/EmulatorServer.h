#ifndef BULRUSHFOLD_EMULATOR_EMULATORSERVER_H
#define BULRUSHFOLD_EMULATOR_EMULATORSERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Emulator/EmulatorCall.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Settings/Settings.h"
#include "absl/status/status.h"

namespace bulrushfold {

/**
 * HTTP server of an emulator with the faults that all emulators share: delay
 * and silence. Test calls (/faults, /stats, /runs, PUT /vms) are exempt from
 * faults. A request that the handler cannot parse (JSON exception) is answered
 * with 400.
 */
class EmulatorServer
{
public:
  using Handler = std::function<void(std::shared_ptr<EmulatorCall>)>;

  /** aIncarnation is named in every answer unless it is empty. */
  EmulatorServer(EventLoop& aLoop,
                 Handler aHandler,
                 std::string aIncarnation = "");
  EmulatorServer(const EmulatorServer&) = delete;
  EmulatorServer& operator=(const EmulatorServer&) = delete;
  ~EmulatorServer();

  absl::Status Listen(const SocketAddress& aAddress);
  /** Time between the arrival of a call and its handling. */
  void SetDelay(Duration aDelay) { mDelay = aDelay; }
  /**
   * Makes every open connection silent for good; connections opened later
   * work.
   */
  absl::Status SilenceOpenConnections();
  /**
   * While true, calls are accepted and never answered. The open connections
   * stay silent for good.
   */
  absl::Status SetSilent(bool aIsSilent);

private:
  /** A listener and the connections that it accepted. */
  struct Listener
  {
    std::shared_ptr<ConnectionGroup> mGroup;
    std::unique_ptr<HttpServer> mServer;
  };
  absl::Status StartListener();
  void Accept(std::shared_ptr<HttpExchange> aExchange,
              const std::shared_ptr<ConnectionGroup>& aGroup);
  void Delay(std::shared_ptr<EmulatorCall> aCall);
  void Handle(const std::shared_ptr<EmulatorCall>& aCall);

  EventLoop& mLoop;
  Handler mHandler;
  std::string mIncarnation;
  SocketAddress mAddress;
  Duration mDelay{};
  bool mIsSilent = false;
  std::vector<Listener> mListeners;
  std::shared_ptr<ConnectionGroup> mControlGroup;
  std::uint64_t mNextDelayed = 1;
  std::map<std::uint64_t, EventHandle> mDelayed;
};

} // namespace bulrushfold

#endif
