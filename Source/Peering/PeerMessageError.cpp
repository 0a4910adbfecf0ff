#include "Peering/PeerMessageError.h"

namespace acaciacross::peering {

PeerMessageError::PeerMessageError(const std::string &Reason)
    : common::Error(common::ResultCode::PeerMessageInvalid, Reason) {}

} // namespace acaciacross::peering
