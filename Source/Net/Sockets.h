#ifndef ACACIACROSS_NET_SOCKETS_H
#define ACACIACROSS_NET_SOCKETS_H

#include "Common/Address.h"
#include "Net/Descriptor.h"

#include <cstddef>
#include <string>

namespace acaciacross::net {

/// Opens a non-blocking listening socket. Throws common::Error (SocketFailed).
Descriptor listenAt(const common::Address &Local);

/// Opens a non-blocking socket and begins to connect it. The result is not open
/// when this fails at once.
Descriptor beginConnect(const common::Address &Remote);

/// Accepts the next pending connection as a non-blocking socket. The result is
/// not open when there is none.
Descriptor acceptFrom(const Descriptor &Listening);

/// The IP address of the peer; empty when the socket is not connected.
std::string remoteHost(const Descriptor &Socket);
/// Number of descriptors that this process may have open.
std::size_t descriptorLimit();

/// Number of sent bytes that the peer has not acknowledged; 0 when unknown.
std::size_t unacknowledgedBytes(const Descriptor &Socket);

/// Returns and clears the pending error (errno value) of a socket; 0 for none.
int takeSocketError(const Descriptor &Socket);

} // namespace acaciacross::net

#endif
