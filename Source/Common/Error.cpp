#include "Common/Error.h"

namespace acaciacross::common {

Error::Error(ResultCode Result, const std::string &Message)
    : std::runtime_error(Message), Code(Result) {}

ResultCode Error::code() const { return this->Code; }

} // namespace acaciacross::common
