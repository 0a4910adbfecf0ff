#ifndef ACACIACROSS_STANDINS_SEARCHER_WAKEEVENT_H
#define ACACIACROSS_STANDINS_SEARCHER_WAKEEVENT_H

namespace acaciacross::standins {

/// An event that wakes a thread which polls file descriptors. Stays set.
class WakeEvent {
public:
  WakeEvent();
  ~WakeEvent();
  WakeEvent(const WakeEvent &) = delete;
  WakeEvent &operator=(const WakeEvent &) = delete;

  void set();
  /// File descriptor that is readable from the first set() on.
  int descriptor() const;

private:
  int Descriptor;
};

} // namespace acaciacross::standins

#endif
