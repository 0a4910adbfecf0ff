#ifndef ACACIACROSS_PEERING_PEERMESSAGEERROR_H
#define ACACIACROSS_PEERING_PEERMESSAGEERROR_H

#include "Common/Error.h"

#include <string>

namespace acaciacross::peering {

/// A message that cannot be encoded or decoded within its bounds.
class PeerMessageError : public common::Error {
public:
  explicit PeerMessageError(const std::string &Reason);
};

} // namespace acaciacross::peering

#endif
