#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_OPTIONALMEMBER_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_OPTIONALMEMBER_H

#include <cereal/cereal.hpp>

namespace acaciacross::operatorcli {

/// Reads a member that may be absent. Value is then set to its default.
template <typename Archive, typename T>
void readOptional(Archive &Ar, const char *Name, T &Value) {
  try {
    Ar(cereal::make_nvp(Name, Value));
  } catch (const cereal::Exception &) {
    Value = T();
  }
}

} // namespace acaciacross::operatorcli

#endif
