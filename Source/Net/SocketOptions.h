#ifndef BULRUSHFOLD_NET_SOCKETOPTIONS_H
#define BULRUSHFOLD_NET_SOCKETOPTIONS_H

#include <optional>
#include <string>

#include <netinet/in.h>

#include "Base/Clock.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/**
 * Sends small writes at once. Otherwise a token waits until the other side
 * acknowledges the one before, which takes up to 40 ms. A negative aSocket is
 * ignored.
 */
void SetTcpNoDelay(int aSocket);

/**
 * Lets the kernel probe a connection that carries no data, so that another
 * side that vanished without closing is noticed within about aTimeout.
 */
void DetectDeadConnection(int aSocket, Duration aTimeout);

/** aAddress in the form of the socket calls; empty when it is not IPv4. */
std::optional<sockaddr_in> ToSockaddr(const SocketAddress& aAddress);

/** Host of an IPv4 address in dotted form; empty for other kinds. */
std::string FormatHost(const sockaddr& aAddress);

} // namespace bulrushfold

#endif
