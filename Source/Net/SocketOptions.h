#ifndef BULRUSHFOLD_NET_SOCKETOPTIONS_H
#define BULRUSHFOLD_NET_SOCKETOPTIONS_H

namespace bulrushfold {

/**
 * Sends small writes at once. Otherwise a token waits until the other side
 * acknowledges the one before, which takes up to 40 ms. A negative aSocket is
 * ignored.
 */
void SendAtOnce(int aSocket);

} // namespace bulrushfold

#endif
