#ifndef ACACIACROSS_HTTP_HEADERLIST_H
#define ACACIACROSS_HTTP_HEADERLIST_H

#include "Http/Header.h"

#include <string>
#include <string_view>
#include <vector>

namespace acaciacross::http {

/// Header fields in the order received; names compare without case.
class HeaderList {
public:
  void add(std::string Name, std::string Value);

  /// The first value of that name; null when there is none.
  const std::string *find(std::string_view Name) const;
  /// The list without fields that concern one connection only: those that
  /// HTTP/1.1 names, and those that the Connection field names.
  HeaderList endToEnd() const;

  const std::vector<Header> &fields() const;

  static bool equalNames(std::string_view Left, std::string_view Right);

private:
  bool isConnectionField(std::string_view Name) const;

  std::vector<Header> Fields;
};

} // namespace acaciacross::http

#endif
