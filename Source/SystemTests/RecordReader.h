#ifndef ACACIACROSS_SYSTEMTESTS_RECORDREADER_H
#define ACACIACROSS_SYSTEMTESTS_RECORDREADER_H

#include "SystemTests/RecordedExecution.h"
#include "SystemTests/SearcherHandle.h"

#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// Reads the executions that the stand-ins of searchers have recorded.
class RecordReader {
public:
  /// \throws std::runtime_error when the record cannot be read, so that an
  /// unreadable record is never taken for an empty one.
  static std::vector<RecordedExecution> read(const SearcherHandle &Searcher,
                                             const std::string &RequestId = "");
};

} // namespace acaciacross::systemtests

#endif
