#ifndef BULRUSHFOLD_NET_PEERTRANSPORT_H
#define BULRUSHFOLD_NET_PEERTRANSPORT_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Envelope_types.h"
#include "Net/EventLoop.h"
#include "Settings/Settings.h"
#include "Wire/PeerCodec.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

struct evconnlistener;

namespace bulrushfold {

/** Name and address of another daemon. */
struct PeerTarget
{
  std::string mName;
  SocketAddress mAddress;
};

/** Traffic between daemons since the start of the process. */
struct PeerStatistics
{
  std::uint64_t mFramesSent = 0;
  std::uint64_t mFramesReceived = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  /** Frames dropped as malformed, unauthenticated or too large. */
  std::uint64_t mFramesRefused = 0;
  /** Frames not sent because the connection could not take more. */
  std::uint64_t mFramesDropped = 0;
};

/**
 * Messages between daemons over TCP. One-way messages may be lost. A call ends
 * with the reply, or with DeadlineExceeded (no reply in time: the other side
 * may have acted), Unavailable (the connection closed: it may have acted) or
 * Aborted (the other side refused the call without acting).
 */
class PeerTransport
{
public:
  using ReplyHook = std::function<void(absl::StatusOr<std::string>)>;
  /** Answers a call; called exactly once, now or later. */
  using Responder = std::function<void(absl::StatusOr<std::string>)>;
  using Handler = std::function<
    void(const std::string& aSender, const std::string& aPayload, Responder)>;

  PeerTransport(EventLoop& aLoop,
                const DaemonSettings& aDaemon,
                const PeerSettings& aSettings,
                std::string aIncarnation);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  absl::Status Listen();
  /** Sets the handler of messages of kind aKind. */
  void Handle(wire::MessageKind::type aKind, Handler aHandler);
  /** Sends a message without reply. */
  void Send(const PeerTarget& aTarget,
            wire::MessageKind::type aKind,
            std::string aPayload);
  /** Sends a message and passes the reply to aHook, within aTimeout. */
  void Call(const PeerTarget& aTarget,
            wire::MessageKind::type aKind,
            std::string aPayload,
            Duration aTimeout,
            ReplyHook aHook);
  const PeerStatistics& Statistics() const { return mStatistics; }

private:
  class Connection;
  struct PendingCall
  {
    ReplyHook mHook;
    EventHandle mTimer;
    std::uint64_t mConnection = 0;
    /** Frames that the connection had received when the call was sent. */
    std::uint64_t mFramesBefore = 0;
  };
  void ExpireCall(std::int64_t aCallId);

  Connection& ConnectionTo(const PeerTarget& aTarget);
  wire::Envelope MakeEnvelope(const std::string& aReceiver,
                              wire::MessageKind::type aKind,
                              std::string aPayload);
  bool Transmit(Connection& aConnection, const wire::Envelope& aEnvelope);
  void HandleFrame(std::uint64_t aConnection, std::string_view aFrame);
  void HandleCall(std::uint64_t aConnection, const wire::Envelope& aEnvelope);
  void HandleReply(const wire::Envelope& aEnvelope);
  void FinishCall(std::int64_t aCallId, absl::StatusOr<std::string> aReply);
  void Close(std::uint64_t aConnection);
  std::uint64_t Adopt(std::unique_ptr<Connection> aConnection);

  EventLoop& mLoop;
  std::string mName;
  std::string mIncarnation;
  SocketAddress mAddress;
  std::size_t mMaxFrameBytes;
  PeerCodec mCodec;
  evconnlistener* mListener = nullptr;
  std::map<wire::MessageKind::type, Handler> mHandlers;
  std::uint64_t mNextConnection = 1;
  std::map<std::uint64_t, std::unique_ptr<Connection>> mConnections;
  std::map<SocketAddress, std::uint64_t> mOutgoing;
  std::int64_t mNextSequence = 1;
  std::int64_t mNextCall = 1;
  std::map<std::int64_t, PendingCall> mCalls;
  PeerStatistics mStatistics;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
