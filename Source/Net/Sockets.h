#ifndef ACACIACROSS_NET_SOCKETS_H
#define ACACIACROSS_NET_SOCKETS_H

#include "Common/Address.h"
#include "Net/Descriptor.h"

namespace acaciacross::net {

/// A non-blocking listening socket. Throws common::Error (SocketFailed).
Descriptor listenAt(const common::Address &Local);

/// A non-blocking socket whose connection is being established; not open when
/// the system refuses at once.
Descriptor beginConnect(const common::Address &Remote);

/// The next waiting connection, non-blocking; not open when there is none.
Descriptor acceptFrom(const Descriptor &Listening);

/// The pending error of a socket; 0 for none.
int takeSocketError(const Descriptor &Socket);

} // namespace acaciacross::net

#endif
