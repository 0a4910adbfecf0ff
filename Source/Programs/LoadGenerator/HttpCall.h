#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALL_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_HTTPCALL_H

#include "Common/Address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace acaciacross::loadgenerator {

/// One HTTP call; Done gets status 0 when there was no whole reply.
struct HttpCall {
  using Completion = std::function<void(long Status, const std::string &Body)>;

  common::Address Target;
  std::string Path;
  /// Empty: a GET.
  std::string Body;
  std::chrono::milliseconds Timeout{1'000};
  Completion Done;
};

} // namespace acaciacross::loadgenerator

#endif
