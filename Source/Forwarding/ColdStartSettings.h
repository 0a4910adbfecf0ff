#ifndef ACACIACROSS_FORWARDING_COLDSTARTSETTINGS_H
#define ACACIACROSS_FORWARDING_COLDSTARTSETTINGS_H

namespace acaciacross::forwarding {

/// How far the requests of all VMs to one cold searcher may exceed what the
/// searcher tolerates. The defaults are the strictest reading.
struct ColdStartSettings {
  /// Factor on the tolerated requests per second.
  double Overage = 1.0;
  /// Requests in any one second on top of that.
  double Slack = 0.0;
};

} // namespace acaciacross::forwarding

#endif
