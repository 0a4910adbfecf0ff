#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADSETTINGS_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADSETTINGS_H

#include "Common/Address.h"
#include "Programs/LoadGenerator/ClassShare.h"

#include <chrono>

namespace acaciacross::loadgenerator {

/// Settings of one run of the load generator.
struct LoadSettings {
  std::vector<common::Address> EntryVms;
  std::vector<ClassShare> Mix;
  double RequestsPerSecond = 10.0;
  std::chrono::milliseconds Duration{10'000};
  std::uint64_t MaxRequests = 1'000;
  std::uint64_t Seed = 1;
  std::chrono::milliseconds Deadline{2'000};
  /// Requests beyond this number are not sent and counted as "not_sent".
  std::size_t MaxInFlight = 500;
};

} // namespace acaciacross::loadgenerator

#endif
