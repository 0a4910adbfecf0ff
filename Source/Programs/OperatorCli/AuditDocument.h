#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_AUDITDOCUMENT_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_AUDITDOCUMENT_H

#include "Programs/OperatorCli/AuditItem.h"

#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>

#include <vector>

namespace acaciacross::operatorcli {

/// Response of an entry VM to GET /v1/audit.
struct AuditDocument {
  std::vector<AuditItem> Entries;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("entries", this->Entries));
  }
};

} // namespace acaciacross::operatorcli

#endif
