#ifndef ACACIACROSS_COMMON_ERROR_H
#define ACACIACROSS_COMMON_ERROR_H

#include "Common/ResultCode.h"

#include <stdexcept>
#include <string>

namespace acaciacross::common {

/// Base class of this project's exceptions.
class Error : public std::runtime_error {
public:
  Error(ResultCode Result, const std::string &Message);

  ResultCode code() const;

private:
  ResultCode Code;
};

} // namespace acaciacross::common

#endif
