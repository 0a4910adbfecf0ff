#ifndef ACACIACROSS_FORWARDING_SERVEDSHARE_H
#define ACACIACROSS_FORWARDING_SERVEDSHARE_H

namespace acaciacross::forwarding {

/// How many of the requests that asked for something got it.
struct ServedShare {
  double Asked = 0.0;
  double Served = 0.0;

  /// Served by asked; 1 when none has asked.
  double ratio() const;
  /// Whether the share is so far below that of all that others have to yield.
  bool isStarved(const ServedShare &All) const;
};

} // namespace acaciacross::forwarding

#endif
