#ifndef ACACIACROSS_CONTROL_VIEWLISTENER_H
#define ACACIACROSS_CONTROL_VIEWLISTENER_H

#include "Control/ControlView.h"

#include <memory>

namespace acaciacross::control {

/// Receives each new view on the control thread. Implementations must not
/// block.
class ViewListener {
public:
  virtual ~ViewListener() = default;

  virtual void onView(std::shared_ptr<const ControlView> View) = 0;
};

} // namespace acaciacross::control

#endif
