#ifndef ACACIACROSS_STANDINS_HTTP_UNLIMITEDCONNECTIONS_H
#define ACACIACROSS_STANDINS_HTTP_UNLIMITEDCONNECTIONS_H

#include "StandIns/Http/ConnectionObserver.h"

namespace acaciacross::standins {

/// Lets every connection in.
class UnlimitedConnections final : public ConnectionObserver {
public:
  bool connectionOpened() override { return true; }
  void connectionClosed() override {}
};

} // namespace acaciacross::standins

#endif
