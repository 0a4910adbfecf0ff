#ifndef ACACIACROSS_GATEWAY_PRIORITYCOUNTER_H
#define ACACIACROSS_GATEWAY_PRIORITYCOUNTER_H

#include <map>
#include <ostream>
#include <string>

namespace acaciacross::gateway {

/// A counter for each priority of routes.
class PriorityCounter {
public:
  void add(int Priority, double Amount = 1.0);
  /// Writes the counter in the Prometheus text format.
  void write(std::ostream &Page, const std::string &Name) const;

private:
  std::map<int, double> ByPriority;
  double Others = 0.0;
};

} // namespace acaciacross::gateway

#endif
