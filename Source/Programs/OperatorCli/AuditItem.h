#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_AUDITITEM_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_AUDITITEM_H

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace acaciacross::operatorcli {

/// One entry of the audit trail.
struct AuditItem {
  std::uint64_t Sequence = 0;
  std::uint64_t AtUnixMs = 0;
  std::string Cause;
  std::string Subject;
  std::string Text;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("sequence", this->Sequence),
       cereal::make_nvp("at_unix_ms", this->AtUnixMs),
       cereal::make_nvp("cause", this->Cause),
       cereal::make_nvp("subject", this->Subject),
       cereal::make_nvp("text", this->Text));
  }
};

} // namespace acaciacross::operatorcli

#endif
