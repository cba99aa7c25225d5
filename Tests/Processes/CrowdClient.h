#ifndef BULRUSHFOLD_TESTS_PROCESSES_CROWDCLIENT_H
#define BULRUSHFOLD_TESTS_PROCESSES_CROWDCLIENT_H

#include <cstddef>
#include <string>

#include "Settings/Settings.h"

namespace bulrushfold {

/** A client that sends a text without blocking and stays connected. */
class CrowdClient
{
public:
  /** aPieceBytes: most bytes that one call of Send sends; 0: no limit. */
  CrowdClient(const SocketAddress& aAddress,
              std::string aText,
              std::size_t aPieceBytes);
  CrowdClient(const CrowdClient&) = delete;
  CrowdClient& operator=(const CrowdClient&) = delete;
  ~CrowdClient();

  /** Sends and receives what the socket takes and has; true when bytes were
   * sent. */
  bool Send();
  /** The other side has closed the connection. */
  bool IsClosed() const { return mIsClosed; }
  const std::string& Received() const { return mReceived; }

private:
  void Receive();

  int mSocket;
  std::string mText;
  std::size_t mPieceBytes;
  std::size_t mSent = 0;
  std::string mReceived;
  bool mIsClosed = false;
};

} // namespace bulrushfold

#endif
