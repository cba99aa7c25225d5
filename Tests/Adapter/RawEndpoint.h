#ifndef BULRUSHFOLD_TESTS_ADAPTER_RAWENDPOINT_H
#define BULRUSHFOLD_TESTS_ADAPTER_RAWENDPOINT_H

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "Net/EventLoop.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** A request that a raw endpoint received. */
struct RawRequest
{
  std::size_t mConnection = 0;
  /** Number of earlier requests on the connection. */
  std::size_t mIndex = 0;
  std::string mPath;
  std::string mId;
  /** Head and body. */
  std::string mBytes;
};

/** How a raw endpoint closes a connection. */
enum class RawClose
{
  Orderly,
  Reset,
};

/** Fake endpoint whose answers a test writes byte by byte, for answers that no
 * sound HTTP server sends. */
class RawEndpoint
{
public:
  using Handler = std::function<void(const RawRequest&)>;

  /** aStage is "prefill" or "decode", or empty for a plain service. */
  RawEndpoint(EventLoop& aLoop, std::string aId, std::string aStage);
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;
  ~RawEndpoint();

  /** Sets the handler of requests other than reservations, which are granted,
   * and their release. The default handler does not answer. */
  void OnRequest(Handler aHandler) { mHandler = std::move(aHandler); }
  /** Sets the handler of reservations. */
  void OnReservation(Handler aHandler) { mReservationHandler = aHandler; }
  void Send(std::size_t aConnection, const std::string& aData);
  /** Sends aData again and again until the connection is closed. aInterval:
   * pause between two repetitions; zero: as fast as the router reads. */
  void SendWithoutEnd(std::size_t aConnection,
                      const std::string& aData,
                      Duration aInterval = Duration::zero());
  void Close(std::size_t aConnection, RawClose aHow);
  /** Number of connections accepted so far. */
  std::size_t ConnectionCount() const { return mConnections.size(); }
  /** Number of bytes that SendWithoutEnd has sent on the connection. */
  std::size_t EndlessBytes(std::size_t aConnection) const
  {
    return mConnections[aConnection].mEndlessTotal;
  }
  /** The router has closed the connection. */
  bool IsClosed(std::size_t aConnection) const;

  const SocketAddress& Address() const { return mAddress; }
  /** Registry entry that the endpoint writes into the store, a JSON text. */
  std::string RegistryEntry(const std::string& aService) const;
  const std::vector<RawRequest>& Requests() const { return mRequests; }

  /** An answer with a length. aFields: header lines, each with its line end. */
  static std::string Answer(int aStatus,
                            const std::string& aFields,
                            const std::string& aBody);
  /** Header lines that identify an answer of aRequest. */
  static std::string Proof(const RawRequest& aRequest);

private:
  struct Connection
  {
    int mSocket = -1;
    std::string mInput;
    std::string mEndless;
    std::size_t mEndlessSent = 0;
    std::size_t mEndlessTotal = 0;
    Duration mInterval{};
    Instant mNextSend;
    std::size_t mRequests = 0;
  };

  void Poll();
  void Accept();
  void Read(std::size_t aConnection);
  void Write(Connection& aConnection);
  void Dispatch(std::size_t aConnection, std::string aBytes);

  EventLoop& mLoop;
  std::string mId;
  std::string mStage;
  SocketAddress mAddress;
  int mListener;
  SystemClock mClock;
  Handler mHandler = [](const RawRequest&) {};
  Handler mReservationHandler;
  std::size_t mReservations = 0;
  std::vector<Connection> mConnections;
  std::vector<RawRequest> mRequests;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
