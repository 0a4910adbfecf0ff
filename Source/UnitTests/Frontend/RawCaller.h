#ifndef ACACIACROSS_UNITTESTS_FRONTEND_RAWCALLER_H
#define ACACIACROSS_UNITTESTS_FRONTEND_RAWCALLER_H

#include "Common/Address.h"

#include <string>

namespace acaciacross::frontend {

/// A TCP connection of a caller that sends arbitrary bytes.
class RawCaller {
public:
  explicit RawCaller(const common::Address &Server);
  ~RawCaller();

  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  /// Returns false when the server has closed the connection.
  bool send(const std::string &Bytes);
  void sendRequest(const std::string &RequestLine, const std::string &Body);

  /// One complete response, or what arrived before the connection was closed.
  std::string receive();

private:
  int Socket;
};

} // namespace acaciacross::frontend

#endif
