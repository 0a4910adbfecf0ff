#include "Peering/DropCounter.h"

#include "Common/Log.h"

#include <chrono>
#include <string>

namespace acaciacross::peering {

void DropCounter::record(const common::Address &From, std::string_view Reason,
                         common::MonotonicTime Now) {
  ++this->Total;
  if (Now < this->NextLogAt)
    return;
  this->NextLogAt = Now + std::chrono::seconds(1);
  common::logWarning(
      common::LogEvent::MessageDropped,
      "from=" + From.toString() + " reason=\"" + std::string(Reason) +
          "\" count=" + std::to_string(this->Total - this->LoggedTotal));
  this->LoggedTotal = this->Total;
}

std::uint64_t DropCounter::total() const { return this->Total; }

} // namespace acaciacross::peering
