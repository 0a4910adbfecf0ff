#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_PAGEFETCHER_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_PAGEFETCHER_H

#include "Common/Address.h"

#include <chrono>
#include <optional>
#include <string>

namespace acaciacross::operatorcli {

/// Fetches a page of an entry VM over HTTP.
class PageFetcher {
public:
  /// Empty when there is no response with status 200 in time.
  static std::optional<std::string> get(const common::Address &Vm,
                                        const std::string &Path,
                                        std::chrono::milliseconds Timeout);
};

} // namespace acaciacross::operatorcli

#endif
