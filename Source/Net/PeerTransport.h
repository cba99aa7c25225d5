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

/** Counters of frames and bytes since the start of the process. */
struct PeerStatistics
{
  std::uint64_t mFramesSent = 0;
  std::uint64_t mFramesReceived = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  /** Received frames that were malformed, unauthenticated or too large. */
  std::uint64_t mFramesRefused = 0;
  /** Frames that were not sent, because they were too large or the send buffer
   * of the connection was full. */
  std::uint64_t mFramesDropped = 0;
};

/**
 * Sends and receives messages between daemons over TCP. One-way messages may
 * be lost. A call ends with the reply or with one of these errors:
 * DeadlineExceeded (no reply in time; the peer may have executed the call),
 * Unavailable (the connection closed; the peer may have executed the call) or
 * Aborted (the message was not sent, or the peer refused the call without
 * executing it).
 */
class PeerTransport
{
public:
  using ReplyHook = std::function<void(absl::StatusOr<std::string>)>;
  /** Sends the reply to a call. The handler calls it exactly once, immediately
   * or later; for a one-way message it has no effect. */
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
  /** Sends a one-way message, which has no reply. */
  void Send(const PeerTarget& aTarget,
            wire::MessageKind::type aKind,
            std::string aPayload);
  /** Sends a call. aHook is called once, with the reply or with an error, after
   * aTimeout at the latest. */
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
    std::uint64_t mConnectionId = 0;
    /** Number of frames received on the connection when the call was sent. */
    std::uint64_t mFramesReceivedAtSend = 0;
  };
  /** Ends a call whose timeout has expired. */
  void ExpireCall(std::int64_t aCallId);

  Connection& GetOrOpenConnection(const PeerTarget& aTarget);
  wire::Envelope MakeEnvelope(const std::string& aReceiver,
                              wire::MessageKind::type aKind,
                              std::string aPayload);
  /** False when the frame is too large or the send buffer is full. */
  bool SendEnvelope(Connection& aConnection, const wire::Envelope& aEnvelope);
  void HandleFrame(std::uint64_t aConnectionId, std::string_view aFrame);
  void HandleMessage(std::uint64_t aConnectionId,
                     const wire::Envelope& aEnvelope);
  void HandleReply(const wire::Envelope& aEnvelope);
  void FinishCall(std::int64_t aCallId, absl::StatusOr<std::string> aReply);
  void Close(std::uint64_t aConnectionId);
  std::uint64_t AddConnection(std::unique_ptr<Connection> aConnection);

  EventLoop& mLoop;
  std::string mName;
  std::string mIncarnation;
  SocketAddress mAddress;
  std::size_t mMaxFrameBytes;
  PeerCodec mCodec;
  evconnlistener* mListener = nullptr;
  std::map<wire::MessageKind::type, Handler> mHandlers;
  std::uint64_t mNextConnectionId = 1;
  std::map<std::uint64_t, std::unique_ptr<Connection>> mConnections;
  std::map<SocketAddress, std::uint64_t> mOutgoingConnections;
  std::int64_t mNextSequence = 1;
  std::int64_t mNextCallId = 1;
  std::map<std::int64_t, PendingCall> mPendingCalls;
  PeerStatistics mStatistics;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
