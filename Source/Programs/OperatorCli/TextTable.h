#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_TEXTTABLE_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_TEXTTABLE_H

#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// A table of text with columns aligned by spaces.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header);

  void addRow(std::vector<std::string> Row);
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace acaciacross::operatorcli

#endif
