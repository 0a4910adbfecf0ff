#ifndef ACACIACROSS_SYSTEMTESTS_SEARCHERHANDLE_H
#define ACACIACROSS_SYSTEMTESTS_SEARCHERHANDLE_H

#include "SystemTests/ProcessHandle.h"

#include <cstdint>
#include <memory>
#include <string>

namespace acaciacross::systemtests {

/// A process that runs the stand-in for one searcher.
struct SearcherHandle {
  std::string Id;
  std::string Service;
  std::uint32_t Shard = 0;
  std::string Address;
  std::string ControlAddress;
  std::unique_ptr<ProcessHandle> Process;

  /// \throws std::runtime_error when the stand-in rejects the fault.
  void setFault(const std::string &Name, const std::string &Value) const;
};

} // namespace acaciacross::systemtests

#endif
