#ifndef ACACIACROSS_PEERING_DROPCOUNTER_H
#define ACACIACROSS_PEERING_DROPCOUNTER_H

#include "Common/Address.h"
#include "Common/Time.h"

#include <cstdint>
#include <string_view>

namespace acaciacross::peering {

/// Counts dropped messages. Logs them at most once a second, so that a faulty
/// peer cannot fill the log.
class DropCounter {
public:
  void record(const common::Address &From, std::string_view Reason,
              common::MonotonicTime Now);

  std::uint64_t total() const;

private:
  std::uint64_t Total = 0;
  /// Value of Total at the last log line.
  std::uint64_t LoggedTotal = 0;
  common::MonotonicTime NextLogAt = common::MonotonicTime::min();
};

} // namespace acaciacross::peering

#endif
