#ifndef ACACIACROSS_TRAFFIC_CLASSTABLE_H
#define ACACIACROSS_TRAFFIC_CLASSTABLE_H

#include "Control/ControlView.h"
#include "Metrics/ClassReport.h"
#include "Traffic/ClassState.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace acaciacross::traffic {

/// The classes of one service.
class ClassTable {
public:
  explicit ClassTable(common::ServiceName Owner);

  void update(const control::ControlView &View);

  /// Drops classes that have left the configuration, unless they are in Used;
  /// gives their names.
  std::vector<common::ClassName>
  dropUnused(const std::set<const ClassState *> &Used);
  /// Classes that have left the configuration and are kept all the same.
  std::size_t unusedCount() const;
  /// Beyond this they are to be dropped. Some are kept, since a class that
  /// comes back goes on with its counts.
  static constexpr std::size_t MaxUnused = 64;

  /// Null when the class is not in the configuration in effect, or not of this
  /// service.
  ClassState *find(const common::ClassName &Name);

  /// Classes in the configuration in effect.
  std::vector<const ClassState *> current() const;
  std::vector<metrics::ClassReport> reports() const;

private:
  common::ServiceName Service;
  std::map<common::ClassName, std::unique_ptr<ClassState>> Classes;
};

} // namespace acaciacross::traffic

#endif
