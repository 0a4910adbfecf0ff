#ifndef ACACIACROSS_UNITTESTS_CONTROL_RUNONCONTROLTHREAD_H
#define ACACIACROSS_UNITTESTS_CONTROL_RUNONCONTROLTHREAD_H

#include "Control/ControlThread.h"

#include <functional>
#include <future>

namespace acaciacross::control {

/// Runs Work on the control thread after all tasks posted so far, and returns
/// its result.
template <typename Result>
Result runOnControlThread(ControlThread &Control,
                          const std::function<Result(ControlState &)> &Work) {
  std::promise<Result> Promise;
  Control.post([&](ControlState &State) { Promise.set_value(Work(State)); });
  return Promise.get_future().get();
}

} // namespace acaciacross::control

#endif
