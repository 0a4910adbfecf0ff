#ifndef ACACIACROSS_CONTROL_VMSTATE_H
#define ACACIACROSS_CONTROL_VMSTATE_H

namespace acaciacross::control {

/// State of a VM in the platform's VM list.
enum class VmState { Live, Leaving };

} // namespace acaciacross::control

#endif
