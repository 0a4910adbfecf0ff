#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_SERVICEENTRY_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_SERVICEENTRY_H

#include "Programs/OperatorCli/SearcherEntry.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// A service on the status page.
struct ServiceEntry {
  std::string Name;
  std::vector<SearcherEntry> Searchers;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("name", this->Name),
       cereal::make_nvp("searchers", this->Searchers));
  }
};

} // namespace acaciacross::operatorcli

#endif
