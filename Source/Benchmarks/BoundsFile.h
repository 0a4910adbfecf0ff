#ifndef ACACIACROSS_BENCHMARKS_BOUNDSFILE_H
#define ACACIACROSS_BENCHMARKS_BOUNDSFILE_H

#include "Benchmarks/Bound.h"
#include "Benchmarks/Measurement.h"

#include <string>
#include <vector>

namespace acaciacross::benchmarks {

/// File of bounds for measurements, one per line: name, "<=" or ">=", limit.
/// "#" starts a comment.
class BoundsFile {
public:
  /// Throws common::Error (SettingInvalid) when the file can't be read or a
  /// line can't be parsed.
  explicit BoundsFile(const std::string &Path);

  /// Prints each measurement with its bound. Returns false when a bound is
  /// violated or has no measurement.
  bool check(const std::vector<Measurement> &Measured) const;

private:
  std::vector<Bound> Bounds;
};

} // namespace acaciacross::benchmarks

#endif
