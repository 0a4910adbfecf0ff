#ifndef ACACIACROSS_SYSTEMTESTS_JSONNODE_H
#define ACACIACROSS_SYSTEMTESTS_JSONNODE_H

#include <cstddef>
#include <memory>
#include <string>

namespace acaciacross::systemtests {

/// A value of a JSON text. Members that are not there read as empty nodes;
/// those read as "", 0, or an array without elements.
class JsonNode {
public:
  static JsonNode parse(const std::string &Text);

  JsonNode operator[](const std::string &Name) const;
  JsonNode element(std::size_t Index) const;
  std::size_t size() const;

  std::string string() const;
  double number() const;
  bool boolean() const;

private:
  struct Tree;
  std::shared_ptr<const Tree> Whole;
  const void *Value = nullptr;
};

} // namespace acaciacross::systemtests

#endif
