#ifndef ACACIACROSS_PEERING_PULLLISTENER_H
#define ACACIACROSS_PEERING_PULLLISTENER_H

#include "Common/Address.h"
#include "Peering/ConfigurationChangesMessage.h"

namespace acaciacross::peering {

/// Receives the result of each pull on the control thread.
class PullListener {
public:
  virtual ~PullListener() = default;

  virtual void onChanges(const common::Address &From,
                         const ConfigurationChangesMessage &Message) = 0;
  virtual void onPullFailed(const common::Address &From) = 0;
};

} // namespace acaciacross::peering

#endif
