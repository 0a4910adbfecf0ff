#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMSTATE_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMSTATE_H

#include "StandIns/Http/LaggedValue.h"
#include "StandIns/Platform/CallLimiter.h"
#include "StandIns/Platform/ChangeLog.h"
#include "StandIns/Platform/PlatformMode.h"
#include "StandIns/Platform/VmEntry.h"

#include <condition_variable>
#include <mutex>

namespace acaciacross::standins {

/// State that the connections of the platform share, guarded by Mutex. Changed
/// is notified when a waiting call may be able to reply.
struct PlatformState {
  PlatformState(std::size_t History, std::size_t CallsPerSecond)
      : Log(History), Limiter(CallsPerSecond), Vms({}) {}

  std::mutex Mutex;
  std::condition_variable Changed;
  ChangeLog Log;
  CallLimiter Limiter;
  LaggedValue<std::vector<VmEntry>> Vms;
  PlatformMode Mode;
  std::uint64_t VmListCalls = 0;
  bool IsStopping = false;
};

} // namespace acaciacross::standins

#endif
