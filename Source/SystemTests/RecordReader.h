#ifndef ACACIACROSS_SYSTEMTESTS_RECORDREADER_H
#define ACACIACROSS_SYSTEMTESTS_RECORDREADER_H

#include "SystemTests/RecordedExecution.h"
#include "SystemTests/SearcherHandle.h"

#include <string>
#include <vector>

namespace acaciacross::systemtests {

/// Reads what the stand-ins of running searchers recorded.
class RecordReader {
public:
  /// \throws std::runtime_error when the record cannot be read, so that a lost
  /// record never counts as one without executions.
  static std::vector<RecordedExecution> read(const SearcherHandle &Searcher,
                                             const std::string &RequestId = "");
};

} // namespace acaciacross::systemtests

#endif
