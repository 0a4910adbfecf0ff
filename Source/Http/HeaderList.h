#ifndef ACACIACROSS_HTTP_HEADERLIST_H
#define ACACIACROSS_HTTP_HEADERLIST_H

#include "Http/Header.h"

#include <string>
#include <string_view>
#include <vector>

namespace acaciacross::http {

/// Header fields in the order received. Names are compared case-insensitively.
class HeaderList {
public:
  void add(std::string Name, std::string Value);

  /// Returns the first value with this name; null when there is none.
  const std::string *find(std::string_view Name) const;
  /// Returns the list without the fields that apply to a single connection
  /// only: those that HTTP/1.1 defines, and those that the Connection field
  /// lists.
  HeaderList endToEndFields() const;

  const std::vector<Header> &fields() const;

  /// Whether a field has the syntax of RFC 9110: a token as its name, and no
  /// control characters but tabs in its value.
  static bool isValidField(std::string_view Name, std::string_view Value);
  /// Compares two field names case-insensitively.
  static bool equalNames(std::string_view Left, std::string_view Right);

private:
  bool isConnectionField(std::string_view Name) const;

  std::vector<Header> Fields;
};

} // namespace acaciacross::http

#endif
