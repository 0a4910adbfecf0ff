#ifndef ACACIACROSS_PEERING_PEERMESSAGEERROR_H
#define ACACIACROSS_PEERING_PEERMESSAGEERROR_H

#include "Common/Error.h"

#include <string>

namespace acaciacross::peering {

/// Thrown for a message that is malformed or exceeds its limits.
class PeerMessageError : public common::Error {
public:
  explicit PeerMessageError(const std::string &Reason);
};

} // namespace acaciacross::peering

#endif
