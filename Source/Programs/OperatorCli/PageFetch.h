#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_PAGEFETCH_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_PAGEFETCH_H

#include "Common/Address.h"

#include <chrono>
#include <optional>
#include <string>

namespace acaciacross::operatorcli {

/// Reads a page of an entry VM.
class PageFetch {
public:
  /// Empty when there is no reply with status 200 in time.
  static std::optional<std::string> get(const common::Address &Vm,
                                        const std::string &Path,
                                        std::chrono::milliseconds Timeout);
};

} // namespace acaciacross::operatorcli

#endif
