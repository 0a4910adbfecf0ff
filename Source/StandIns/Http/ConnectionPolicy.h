#ifndef ACACIACROSS_STANDINS_HTTP_CONNECTIONPOLICY_H
#define ACACIACROSS_STANDINS_HTTP_CONNECTIONPOLICY_H

namespace acaciacross::standins {

/// Decides which new connections a server keeps, and is notified when one of
/// them closes.
class ConnectionPolicy {
public:
  virtual ~ConnectionPolicy() = default;

  /// False closes the connection at once.
  virtual bool admitConnection() = 0;

  /// Called once for each connection that was admitted.
  virtual void connectionClosed() = 0;
};

} // namespace acaciacross::standins

#endif
