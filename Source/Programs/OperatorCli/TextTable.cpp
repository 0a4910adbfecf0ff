#include "Programs/OperatorCli/TextTable.h"

#include <algorithm>

namespace acaciacross::operatorcli {

TextTable::TextTable(std::vector<std::string> Header) {
  this->Rows.push_back(std::move(Header));
}

void TextTable::addRow(std::vector<std::string> Row) {
  this->Rows.push_back(std::move(Row));
}

std::string TextTable::text() const {
  std::vector<std::size_t> Widths(this->Rows.front().size(), 0);
  for (const auto &Row : this->Rows)
    for (std::size_t I = 0; I < Widths.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Text;
  for (const auto &Row : this->Rows) {
    for (std::size_t I = 0; I + 1 < Widths.size(); ++I) {
      Text += Row[I];
      Text.append(Widths[I] + 2 - Row[I].size(), ' ');
    }
    Text += Row.back() + '\n';
  }
  return Text;
}

} // namespace acaciacross::operatorcli
