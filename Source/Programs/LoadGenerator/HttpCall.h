#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALL_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALL_H

#include "Common/Address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace acaciacross::loadgenerator {

/// One HTTP call. OnCompleted receives status 0 when there was no complete
/// response.
struct HttpCall {
  using Completion = std::function<void(long Status, const std::string &Body)>;

  common::Address Target;
  std::string Path;
  /// An empty body makes the call a GET, any other a POST.
  std::string Body;
  std::chrono::milliseconds Timeout{1'000};
  Completion OnCompleted;
};

} // namespace acaciacross::loadgenerator

#endif
