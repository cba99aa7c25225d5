#ifndef BULRUSHFOLD_NET_SOCKETOPTIONS_H
#define BULRUSHFOLD_NET_SOCKETOPTIONS_H

#include <optional>
#include <string>

#include <netinet/in.h>

#include "Base/Clock.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/**
 * Sets TCP_NODELAY, so that small writes are sent immediately. Without it, a
 * token is not sent until the receiver acknowledges the previous one, which
 * takes up to 40 ms. A negative aSocket is ignored.
 */
void SetTcpNoDelay(int aSocket);

/**
 * Makes the kernel fail a connection within about aTimeout when the remote
 * host has disappeared without closing it: the kernel probes an idle
 * connection, and limits the time in which sent data is not acknowledged. A
 * negative aSocket is ignored.
 */
void DetectDeadConnection(int aSocket, Duration aTimeout);

/** Converts aAddress for socket calls; std::nullopt when it is not IPv4. */
std::optional<sockaddr_in> ToSockaddr(const SocketAddress& aAddress);

/** Host of an IPv4 address in dotted form; empty for other families. */
std::string FormatHost(const sockaddr& aAddress);

} // namespace bulrushfold

#endif
