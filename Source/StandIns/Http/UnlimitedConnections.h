#ifndef ACACIACROSS_STANDINS_HTTP_UNLIMITEDCONNECTIONS_H
#define ACACIACROSS_STANDINS_HTTP_UNLIMITEDCONNECTIONS_H

#include "StandIns/Http/ConnectionPolicy.h"

namespace acaciacross::standins {

/// Admits every connection.
class UnlimitedConnections final : public ConnectionPolicy {
public:
  bool admitConnection() override { return true; }
  void connectionClosed() override {}
};

} // namespace acaciacross::standins

#endif
