#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_SEARCHERENTRY_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_SEARCHERENTRY_H

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace acaciacross::operatorcli {

/// A searcher on the status page.
struct SearcherEntry {
  std::string Id;
  std::string Address;
  std::string State;
  double Share = 0;
  std::uint64_t ConnectionQuota = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("id", this->Id),
       cereal::make_nvp("address", this->Address),
       cereal::make_nvp("state", this->State),
       cereal::make_nvp("share", this->Share),
       cereal::make_nvp("connection_quota", this->ConnectionQuota));
  }
};

} // namespace acaciacross::operatorcli

#endif
