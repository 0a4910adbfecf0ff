#ifndef ACACIACROSS_STANDINS_HTTP_CONNECTIONOBSERVER_H
#define ACACIACROSS_STANDINS_HTTP_CONNECTIONOBSERVER_H

namespace acaciacross::standins {

/// Is told of the connections of a server.
class ConnectionObserver {
public:
  virtual ~ConnectionObserver() = default;

  /// False closes the connection at once.
  virtual bool connectionOpened() = 0;

  /// Called once for each connection that was let in.
  virtual void connectionClosed() = 0;
};

} // namespace acaciacross::standins

#endif
