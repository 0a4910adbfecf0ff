#include "SystemTests/SearcherHandle.h"

#include "SystemTests/HttpCaller.h"

#include <stdexcept>

namespace acaciacross::systemtests {

void SearcherHandle::setFault(const std::string &Name,
                              const std::string &Value) const {
  const HttpReply Reply = HttpCaller::call(
      "POST", this->ControlAddress + "/control/faults?" + Name + '=' + Value);
  if (Reply.Status != 200)
    throw std::runtime_error("fault " + Name + " not set at " + this->Id);
}

} // namespace acaciacross::systemtests
