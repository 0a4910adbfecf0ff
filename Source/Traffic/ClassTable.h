#ifndef ACACIACROSS_TRAFFIC_CLASSTABLE_H
#define ACACIACROSS_TRAFFIC_CLASSTABLE_H

#include "Control/ControlView.h"
#include "Metrics/ClassReport.h"
#include "Traffic/ClassState.h"

#include <map>
#include <memory>
#include <vector>

namespace acaciacross::traffic {

/// The classes of one service.
class ClassTable {
public:
  explicit ClassTable(common::ServiceName Owner);

  void update(const control::ControlView &View);

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
