#ifndef ACACIACROSS_CONTROL_VMKIND_H
#define ACACIACROSS_CONTROL_VMKIND_H

namespace acaciacross::control {

/// Kind of a VM in the platform's VM list.
enum class VmKind { Entry, Upstream };

} // namespace acaciacross::control

#endif
