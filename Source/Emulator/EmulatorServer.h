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
 * HTTP server of an emulator. It implements the faults that all emulators
 * share: delayed answers and silent connections, which stay open and carry no
 * further bytes. Faults do not affect control calls of tests (/faults, /stats,
 * /runs, PUT /vms). When the handler throws a JSON exception, the answer is
 * status 400.
 */
class EmulatorServer
{
public:
  using Handler = std::function<void(std::shared_ptr<EmulatorCall>)>;

  /** Every answer includes aIncarnation unless it is empty. */
  EmulatorServer(EventLoop& aLoop,
                 Handler aHandler,
                 std::string aIncarnation = "");
  EmulatorServer(const EmulatorServer&) = delete;
  EmulatorServer& operator=(const EmulatorServer&) = delete;
  ~EmulatorServer();

  absl::Status Listen(const SocketAddress& aAddress);
  /** Sets the time between the arrival of a call and its handling. */
  void SetDelay(Duration aDelay) { mDelay = aDelay; }
  /**
   * Makes every open connection silent until it is closed. Connections opened
   * later are served.
   */
  absl::Status SilenceOpenConnections();
  /**
   * While true, new connections are accepted but silent. Connections that were
   * open at the change to true stay silent until they are closed.
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
