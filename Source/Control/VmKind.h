#ifndef ACACIACROSS_CONTROL_VMKIND_H
#define ACACIACROSS_CONTROL_VMKIND_H

namespace acaciacross::control {

/// What a VM of the platform's list is.
enum class VmKind { Entry, Upstream };

} // namespace acaciacross::control

#endif
