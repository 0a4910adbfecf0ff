#ifndef ACACIACROSS_FRONTEND_DECODEERROR_H
#define ACACIACROSS_FRONTEND_DECODEERROR_H

#include "Common/Identifiers.h"
#include "Common/ResultCode.h"

namespace acaciacross::frontend {

/// Why a request body was refused. The id is empty when it could not be read.
struct DecodeError {
  common::ResultCode Code = common::ResultCode::MalformedRequest;
  common::RequestId Id;
};

} // namespace acaciacross::frontend

#endif
