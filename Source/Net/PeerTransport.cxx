#include "Net/PeerTransport.h"

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "Base/Log.h"
#include "Net/SocketOptions.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kLengthBytes = 4;
// A peer that does not read for long loses messages instead of growing memory.
constexpr std::size_t kMaxQueuedFrames = 4;
/** A connection whose data nobody acknowledges for this long is closed, so
 * that the next message opens a new one. */
constexpr Duration kDeadAfter = std::chrono::seconds(2);
} // namespace

/** One TCP connection that carries frames in both directions. */
class PeerTransport::Connection
{
public:
  Connection(PeerTransport& aTransport, evutil_socket_t aSocket)
    : mTransport(aTransport)
    , mBufferevent(bufferevent_socket_new(aTransport.mLoop.Base(),
                                          aSocket,
                                          BEV_OPT_CLOSE_ON_FREE))
  {
    bufferevent_setcb(mBufferevent, &HandleRead, nullptr, &HandleEvent, this);
    bufferevent_enable(mBufferevent, EV_READ | EV_WRITE);
    SendAtOnce(aSocket);
    DetectDeadConnection(aSocket, kDeadAfter);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { bufferevent_free(mBufferevent); }

  bool Connect(const SocketAddress& aAddress)
  {
    sockaddr_in address = ToSockaddr(aAddress).value_or(sockaddr_in{});
    const bool isStarted =
      bufferevent_socket_connect(mBufferevent,
                                 reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address)) == 0;
    SendAtOnce(bufferevent_getfd(mBufferevent));
    DetectDeadConnection(bufferevent_getfd(mBufferevent), kDeadAfter);
    return isStarted;
  }

  /** False when too many bytes wait already. */
  bool Write(std::string_view aFrame)
  {
    evbuffer* output = bufferevent_get_output(mBufferevent);
    if (evbuffer_get_length(output) >
        kMaxQueuedFrames * mTransport.mMaxFrameBytes) {
      return false;
    }
    const std::uint32_t n = htonl(static_cast<std::uint32_t>(aFrame.size()));
    evbuffer_add(output, &n, kLengthBytes);
    evbuffer_add(output, aFrame.data(), aFrame.size());
    return true;
  }

  std::uint64_t mId = 0;
  std::uint64_t mFramesReceived = 0;

private:
  static void HandleRead(bufferevent*, void* aSelf)
  {
    static_cast<Connection*>(aSelf)->ReadFrames();
  }

  static void HandleEvent(bufferevent*, short aEvents, void* aSelf)
  {
    auto* self = static_cast<Connection*>(aSelf);
    if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) !=
        0) {
      self->mTransport.Close(self->mId);
    }
  }

  void ReadFrames()
  {
    evbuffer* input = bufferevent_get_input(mBufferevent);
    PeerTransport& transport = mTransport;
    const std::uint64_t id = mId;
    for (;;) {
      std::uint32_t n = 0;
      if (evbuffer_copyout(input, &n, kLengthBytes) <
          static_cast<ev_ssize_t>(kLengthBytes)) {
        return;
      }
      n = ntohl(n);
      if (n > transport.mMaxFrameBytes) {
        ++transport.mStatistics.mFramesRefused;
        LogEvent(LogLevel::Warning,
                 "peer_frame_refused",
                 { { "reason", "too_large" }, { "bytes", n } });
        transport.Close(id);
        return;
      }
      if (evbuffer_get_length(input) < kLengthBytes + n) {
        return;
      }
      evbuffer_drain(input, kLengthBytes);
      std::string frame(n, '\0');
      evbuffer_remove(input, frame.data(), n);
      ++mFramesReceived;
      transport.mStatistics.mBytesReceived += kLengthBytes + n;
      transport.HandleFrame(id, frame);
      if (transport.mConnections.count(id) == 0) {
        return;
      }
    }
  }

  PeerTransport& mTransport;
  bufferevent* mBufferevent;
};

PeerTransport::PeerTransport(EventLoop& aLoop,
                             const DaemonSettings& aDaemon,
                             const PeerSettings& aSettings,
                             std::string aIncarnation)
  : mLoop(aLoop)
  , mName(aDaemon.mName)
  , mIncarnation(std::move(aIncarnation))
  , mAddress(aDaemon.mPeerAddress)
  , mMaxFrameBytes(aSettings.mMaxFrameBytes)
  , mCodec(aDaemon.mName, aSettings.mKeys)
{
}

PeerTransport::~PeerTransport()
{
  *mIsAlive = false;
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
}

absl::Status
PeerTransport::Listen()
{
  const sockaddr_in address = ToSockaddr(mAddress).value_or(sockaddr_in{});
  mListener = evconnlistener_new_bind(
    mLoop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      auto* self = static_cast<PeerTransport*>(aSelf);
      self->Adopt(std::make_unique<Connection>(*self, aSocket));
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
    -1,
    reinterpret_cast<const sockaddr*>(&address),
    sizeof(address));
  if (mListener == nullptr) {
    return absl::UnavailableError(absl::StrCat(
      "cannot listen at ", FormatAddress(mAddress), ": ", strerror(errno)));
  }
  return absl::OkStatus();
}

void
PeerTransport::Handle(wire::MessageKind::type aKind, Handler aHandler)
{
  mHandlers[aKind] = std::move(aHandler);
}

std::uint64_t
PeerTransport::Adopt(std::unique_ptr<Connection> aConnection)
{
  const std::uint64_t id = mNextConnection++;
  aConnection->mId = id;
  mConnections[id] = std::move(aConnection);
  return id;
}

PeerTransport::Connection&
PeerTransport::ConnectionTo(const PeerTarget& aTarget)
{
  if (const auto it = mOutgoing.find(aTarget.mAddress); it != mOutgoing.end()) {
    return *mConnections.at(it->second);
  }
  const std::uint64_t id = Adopt(std::make_unique<Connection>(*this, -1));
  mOutgoing[aTarget.mAddress] = id;
  Connection& connection = *mConnections.at(id);
  if (!connection.Connect(aTarget.mAddress)) {
    mLoop.Defer([this, id, alive = mIsAlive] {
      if (*alive) {
        Close(id);
      }
    });
  }
  return connection;
}

wire::Envelope
PeerTransport::MakeEnvelope(const std::string& aReceiver,
                            wire::MessageKind::type aKind,
                            std::string aPayload)
{
  wire::Envelope envelope;
  envelope.protocolVersion = kPeerProtocolVersion;
  envelope.sender = mName;
  envelope.incarnation = mIncarnation;
  envelope.sequence = mNextSequence++;
  envelope.role = wire::FrameRole::ONE_WAY;
  envelope.kind = aKind;
  envelope.callId = 0;
  envelope.payload = std::move(aPayload);
  envelope.receiver = aReceiver;
  return envelope;
}

bool
PeerTransport::Transmit(Connection& aConnection,
                        const wire::Envelope& aEnvelope)
{
  const std::string frame = mCodec.Encode(aEnvelope);
  if (frame.size() > mMaxFrameBytes || !aConnection.Write(frame)) {
    ++mStatistics.mFramesDropped;
    return false;
  }
  ++mStatistics.mFramesSent;
  mStatistics.mBytesSent += kLengthBytes + frame.size();
  return true;
}

void
PeerTransport::Send(const PeerTarget& aTarget,
                    wire::MessageKind::type aKind,
                    std::string aPayload)
{
  Transmit(ConnectionTo(aTarget),
           MakeEnvelope(aTarget.mName, aKind, std::move(aPayload)));
}

void
PeerTransport::Call(const PeerTarget& aTarget,
                    wire::MessageKind::type aKind,
                    std::string aPayload,
                    Duration aTimeout,
                    ReplyHook aHook)
{
  const std::int64_t id = mNextCall++;
  Connection& connection = ConnectionTo(aTarget);
  wire::Envelope envelope =
    MakeEnvelope(aTarget.mName, aKind, std::move(aPayload));
  envelope.role = wire::FrameRole::CALL;
  envelope.callId = id;
  PendingCall& call = mCalls[id];
  call.mHook = std::move(aHook);
  call.mConnection = connection.mId;
  call.mFramesBefore = connection.mFramesReceived;
  call.mTimer = mLoop.After(aTimeout, [this, id] { ExpireCall(id); });
  if (!Transmit(connection, envelope)) {
    mLoop.Defer([this, id, alive = mIsAlive] {
      if (*alive) {
        FinishCall(id, absl::AbortedError("the message was not sent"));
      }
    });
  }
}

void
PeerTransport::ExpireCall(std::int64_t aCallId)
{
  const auto call = mCalls.find(aCallId);
  if (call == mCalls.end()) {
    return;
  }
  const std::uint64_t id = call->second.mConnection;
  const std::uint64_t framesBefore = call->second.mFramesBefore;
  FinishCall(aCallId, absl::DeadlineExceededError("no reply in time"));
  // A connection that carried nothing since then may have gone silent for
  // good, so the next message opens a new one.
  if (const auto it = mConnections.find(id);
      it != mConnections.end() && it->second->mFramesReceived == framesBefore) {
    Close(id);
  }
}

void
PeerTransport::HandleFrame(std::uint64_t aConnection, std::string_view aFrame)
{
  const auto envelope = mCodec.Decode(aFrame);
  if (!envelope.ok()) {
    ++mStatistics.mFramesRefused;
    LogEvent(LogLevel::Warning,
             "peer_frame_refused",
             { { "reason", std::string(envelope.status().message()) } });
    Close(aConnection);
    return;
  }
  ++mStatistics.mFramesReceived;
  if (envelope->role == wire::FrameRole::REPLY ||
      envelope->role == wire::FrameRole::CALL_FAILED) {
    HandleReply(*envelope);
  } else {
    HandleCall(aConnection, *envelope);
  }
}

void
PeerTransport::HandleCall(std::uint64_t aConnection,
                          const wire::Envelope& aEnvelope)
{
  Responder respond = [](const absl::StatusOr<std::string>&) {};
  if (aEnvelope.role == wire::FrameRole::CALL) {
    respond = [this,
               alive = mIsAlive,
               aConnection,
               sender = aEnvelope.sender,
               kind = aEnvelope.kind,
               call = aEnvelope.callId](absl::StatusOr<std::string> aReply) {
      if (!*alive) {
        return;
      }
      const auto it = mConnections.find(aConnection);
      if (it == mConnections.end()) {
        return;
      }
      const bool isOk = aReply.ok();
      wire::Envelope reply = MakeEnvelope(
        sender,
        kind,
        isOk ? *std::move(aReply) : std::string(aReply.status().message()));
      reply.role = isOk ? wire::FrameRole::REPLY : wire::FrameRole::CALL_FAILED;
      reply.callId = call;
      Transmit(*it->second, reply);
    };
  }
  const auto it = mHandlers.find(aEnvelope.kind);
  if (it == mHandlers.end()) {
    respond(absl::UnimplementedError("no handler for this kind of message"));
    return;
  }
  it->second(aEnvelope.sender, aEnvelope.payload, std::move(respond));
}

void
PeerTransport::HandleReply(const wire::Envelope& aEnvelope)
{
  if (aEnvelope.role == wire::FrameRole::REPLY) {
    FinishCall(aEnvelope.callId, aEnvelope.payload);
  } else {
    FinishCall(aEnvelope.callId, absl::AbortedError(aEnvelope.payload));
  }
}

void
PeerTransport::FinishCall(std::int64_t aCallId,
                          absl::StatusOr<std::string> aReply)
{
  const auto it = mCalls.find(aCallId);
  if (it == mCalls.end()) {
    return;
  }
  const ReplyHook hook = std::move(it->second.mHook);
  mCalls.erase(it);
  hook(std::move(aReply));
}

void
PeerTransport::Close(std::uint64_t aConnection)
{
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  for (auto out = mOutgoing.begin(); out != mOutgoing.end(); ++out) {
    if (out->second == aConnection) {
      mOutgoing.erase(out);
      break;
    }
  }
  // The call may come from inside a callback of this connection, so it is
  // freed in a later turn.
  std::shared_ptr<Connection> closing = std::move(it->second);
  mConnections.erase(it);
  mLoop.Defer([closing] {});
  std::vector<std::int64_t> failed;
  for (const auto& [id, call] : mCalls) {
    if (call.mConnection == aConnection) {
      failed.push_back(id);
    }
  }
  for (const auto id : failed) {
    FinishCall(id, absl::UnavailableError("the connection closed"));
  }
}

} // namespace bulrushfold
