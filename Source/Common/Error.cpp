#include "Common/Error.h"

namespace acaciacross::common {

Error::Error(ResultCode Number, const std::string &Message)
    : std::runtime_error(Message), Code(Number) {}

ResultCode Error::code() const { return this->Code; }

} // namespace acaciacross::common
