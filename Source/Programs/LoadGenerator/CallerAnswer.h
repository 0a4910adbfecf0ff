#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_CALLERANSWER_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_CALLERANSWER_H

#include <optional>
#include <string>

namespace acaciacross::loadgenerator {

/// Members of a response to POST /v1/query that the report uses.
struct CallerAnswer {
  std::string Outcome;
  double Coverage = 0.0;
};

} // namespace acaciacross::loadgenerator

#endif
