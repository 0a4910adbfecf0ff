#ifndef ACACIACROSS_CONTROL_VMSTATE_H
#define ACACIACROSS_CONTROL_VMSTATE_H

namespace acaciacross::control {

/// What the platform says of a VM.
enum class VmState { Live, Leaving };

} // namespace acaciacross::control

#endif
