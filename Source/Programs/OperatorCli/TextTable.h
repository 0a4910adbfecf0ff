#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_TEXTTABLE_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_TEXTTABLE_H

#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// Columns aligned with spaces.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Head);

  void add(std::vector<std::string> Row);
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace acaciacross::operatorcli

#endif
