#ifndef ACACIACROSS_STANDINS_SEARCHER_WAKEEVENT_H
#define ACACIACROSS_STANDINS_SEARCHER_WAKEEVENT_H

namespace acaciacross::standins {

/// Wakes a thread that polls file descriptors.
class WakeEvent {
public:
  WakeEvent();
  ~WakeEvent();
  WakeEvent(const WakeEvent &) = delete;
  WakeEvent &operator=(const WakeEvent &) = delete;

  void set();
  /// Readable once set() was called.
  int descriptor() const;

private:
  int Descriptor;
};

} // namespace acaciacross::standins

#endif
