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
  explicit ClassTable(common::ServiceName Service);

  void update(const control::ControlView &View);

  /// Removes classes that are no longer in the configuration, except those in
  /// InUse. Returns the names of the removed classes.
  std::vector<common::ClassName>
  dropUnused(const std::set<const ClassState *> &InUse);
  /// Number of kept classes that are no longer in the configuration.
  std::size_t unusedCount() const;
  /// Above this number of unused classes, dropUnused is to be called. Some are
  /// kept so that a class that is configured again continues with its counts.
  static constexpr std::size_t MaxUnused = 64;

  /// Null if the class is not in the configuration in effect or belongs to
  /// another service.
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
