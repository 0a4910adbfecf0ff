#ifndef ACACIACROSS_PEERING_DATAGRAMLISTENER_H
#define ACACIACROSS_PEERING_DATAGRAMLISTENER_H

#include "Common/Address.h"
#include "Peering/EvidenceMessage.h"
#include "Peering/ProbeAckMessage.h"
#include "Peering/ProbeMessage.h"

namespace acaciacross::peering {

/// Receives the valid datagrams of peers on the control thread.
class DatagramListener {
public:
  virtual ~DatagramListener() = default;

  virtual void onProbe(const common::Address &From,
                       const ProbeMessage &Message) = 0;
  virtual void onAck(const common::Address &From,
                     const ProbeAckMessage &Message) = 0;
  /// Not used by fleets without standby VMs.
  virtual void onEvidence(const common::Address &From,
                          const EvidenceMessage &Message) {
    static_cast<void>(From);
    static_cast<void>(Message);
  }
};

} // namespace acaciacross::peering

#endif
